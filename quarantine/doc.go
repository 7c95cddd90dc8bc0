// Package quarantine tells copies of one request from other requests, whatever their ids: a request
// that ends the servers which run it (a poison message) comes again as a new request, at any process.
//
// A Key is computed from the content that makes two requests copies of each other. The package keeps
// no state and relies on nothing.
package quarantine
