// Package lab runs a complete system on the loopback interface: entries, agents
// and backend servers as separate processes, with the fakes of package standin in
// place of the platform's services. Tests, measurements and `make run` use it.
//
// A System owns the processes that it started until Stop. The programs must have
// been built; see Build. Settings files and logs go to the folder Options.Dir.
//
// Functions that wait take a context that bounds the wait. The daemons do not import
// this package.
package lab
