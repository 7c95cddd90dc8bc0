// Package entry is the process behind the platform's balancer that callers and
// operators speak to.
//
// It keeps no state that must last. It chooses the backend server of each
// request and sends it again elsewhere when it was surely not run, keeps the
// records of requests that may not be repeated, spreads the table and the
// servers' records to other entries, and plays the planner role for the cells
// that it holds.
package entry
