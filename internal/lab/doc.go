// Package lab runs a complete system on the loopback interface, each part as a separate
// process: entries, which take the requests of clients, agents, each of which serves one
// backend server, and the stand-ins of package standin for the backend servers and the
// platform's services. Tests, measurements and `make run` use it.
//
// A System owns the processes that it started until Stop. The programs must have
// been built; see Build. Settings files and logs go to the folder Options.Dir.
//
// Functions that wait take a context that bounds the wait. The daemons do not import
// this package.
package lab
