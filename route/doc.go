// Package route chooses the backend server that an entry sends a request to.
//
// Requests with the same prefix prefer the same server, by rendezvous hashing, as long as its
// load stays within a bound of the mean (consistent hashing with bounded loads, Mirrokni et
// al., SODA 2018); others go to the less loaded of two servers picked at random (Mitzenmacher,
// 2001). Load is what a server reported on its last answer or what this process has sent it
// since, whichever is more.
//
// A Table owns that load, by server id, in one process; it relies on its callers to report
// answers and to drop servers that are gone. Without reports it goes by its own requests. It
// decides the order in which to try servers; who waits there is decided at the server by
// package fairqueue. On the users' platform, where gateways send to engines without a queue
// of ours, package dispatch decides both.
package route
