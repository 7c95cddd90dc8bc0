// Package dispatch decides which backend server a request goes to and which
// request waits.
//
// A Dispatcher counts what this process has sent where, takes in what other
// processes have sent, and gives each request the server with the least expected
// time to its first answer. A request that no server can take now waits in the
// order of priority and arrival. It knows neither network nor clock.
package dispatch
