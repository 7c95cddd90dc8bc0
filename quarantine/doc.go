// Package quarantine stops requests that crash backend servers (poison messages) from being sent again. The
// caller of such a request repeats it with a new request ID, possibly at another process, and every server that
// runs it crashes.
//
// A Table records which server instances have crashed while they ran which requests. A request is identified by
// its Key, a hash of its content, so that repeated requests have the same Key. A request is in quarantine once
// Options.Ends server instances have crashed with it. No process sends it then until a time has passed that
// doubles with each further crash. All requests that run on a server when it crashes are suspected, although
// usually only one of them is the cause; a request that completes successfully is cleared.
//
// Each process has its own Table and exchanges changes with other processes by Messages, with one Link for each
// peer. Records can be merged in any order and repeatedly, so lost, delayed and duplicate messages are harmless,
// and a restarted peer receives all records. Processes exchange ages instead of times because their clocks
// differ.
//
// The package owns the tables and the rules of quarantine. The caller reports crashes (Ended) and successful
// requests (Void), calls Until before each send, transports the messages and calls Expire regularly. A Table is
// kept in memory only; a caller that needs its records after a restart has to store them.
package quarantine
