// Package serverlimit keeps the limits that backend servers name for themselves: a server in need says
// in its answers how many requests a second it takes from all processes together, for as long as it says so.
//
// A Table holds, for each run of a server, the newest word on its limit. It hears that word from the
// process's own answers (Observe) and from other processes (Merge): what a server says reaches one process
// with one answer, and binds all of them. Each word has a sequence number one above that of the word it
// replaces, so that records merge in any order and any number of times, and a word that is late or doubled
// does no harm. Ages, not times, go between processes: their clocks differ.
//
// Answers overtake each other. An answer ends or raises a limit only if its request was sent after the
// newest word had come, and brings a limit back only if its request was sent after the limit's end was
// known; what it says would otherwise perhaps be older. A lower limit counts at once.
//
// The package owns the words and their order. It relies on its caller to pass every answer of a server on,
// to carry the messages between processes (package exchange) and to call Expire. That all processes
// together keep a limit is the task of package quota. Nothing of a Table outlives its process: the next
// answer of the server says it again. Rates are requests a second.
package serverlimit
