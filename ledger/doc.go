// Package ledger keeps the memory account of one backend server's accelerators.
//
// Every order that may still take effect counts from before it is sent until
// the server is seen to have finished it, so the sum of what is and what may
// come to be resident never exceeds an accelerator's memory.
package ledger
