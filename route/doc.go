// Package route chooses the backend server that a request is sent to.
//
// Requests with the same prefix prefer the same server, by rendezvous hashing,
// as long as its load stays within a bound of the mean (consistent hashing with
// bounded loads, Mirrokni et al., SODA 2018); others go to the less loaded of
// two servers picked at random (Mitzenmacher, 2001). Load is what a server said
// on its last answer plus what this process has sent it since.
package route
