// Package route chooses the backend server that an entry sends a request to.
//
// Requests with the same prefix prefer the same server, chosen by rendezvous hashing, unless its
// load exceeds a bound above the mean (consistent hashing with bounded loads, Mirrokni et al., SODA
// 2018). All other requests go to the less loaded of two servers picked at random (Mitzenmacher,
// 2001). The load of a server is the greater of the value in its last response and the number of
// requests that this process has outstanding there.
//
// A Table holds these loads by server ID, for one process. Callers report the loads in responses
// and remove servers that no longer exist. Without recent reports, only the process's own requests
// count. The package decides the order in which servers are tried; package fairqueue queues
// requests at the server. For engines that have no such queue, package dispatch does both.
//
// Loads are in requests.
package route
