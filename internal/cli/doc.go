// Package cli is the operators' command line.
//
// It speaks to any entry's control address. A save that got no answer is sent
// again, to the next entry if there is one, under the same edit id, so that it
// takes effect once.
package cli
