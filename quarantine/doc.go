// Package quarantine keeps requests from backend servers under which servers have ended (poison
// messages): such a request comes again as a new one, with an id of its own, at any process, and ends
// each server that runs it.
//
// A Table holds which servers have ended under which requests. A request is known by its Key, computed
// from the content that makes two requests copies of each other. Once the servers that ended under
// copies of a request are as many as Options.Ends, the request is in quarantine: no process sends it any
// more, for a time that doubles with each further end. A copy that runs well voids the ends, since all
// requests that run at a server when it ends are suspected alike, and all but one are innocent.
//
// Each process has a Table and tells others of its changes by Messages, with a Link a peer. Records merge
// in any order and any number of times, so a message that is lost, late or doubled does no harm, and a
// peer that starts anew gets everything. Ages, not times, go between processes: their clocks differ.
//
// The package owns the tables and their rules. It relies on its caller to say when a server ended and
// under which requests, to ask Until before each send, to carry the messages and to call Expire. Nothing
// of a Table outlives its process unless the caller keeps its records.
package quarantine
