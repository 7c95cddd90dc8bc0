// Package quarantine stops requests that crash backend servers (poison messages) from being sent again. Their callers
// repeat them with new request IDs, or send others that have the crashing property in common, possibly to another process.
//
// A Table records which server instances have crashed while they ran requests with which traits: their whole content, or a
// part of their prompts. kindRules says what counts for each kind of trait. A trait is in quarantine once enough server
// instances have crashed with it. No process then sends a request with it until a time has passed that doubles with each
// further crash. All requests that run on a server when it crashes are suspected, although usually only one of them is the
// cause; a trait is cleared when a request with it is answered.
//
// Sound requests may share all traits but one of a request that crashes servers. A trait of a kind that many requests share
// is therefore quarantined only after crashes in trials, in which the caller sends no other request with the trait.
//
// Each process has its own Table and exchanges changes with other processes by Messages, with one Link for each
// peer. Records can be merged in any order and repeatedly, so lost, delayed and duplicate messages are harmless,
// and a restarted peer receives all records. Processes exchange ages instead of times because their clocks
// differ.
//
// The package owns the tables and the rules of quarantine. The caller reports crashes (RecordCrash) and answered
// requests (RecordAnswer), calls Quarantine and Suspects before each send, sends requests with suspected traits one at a
// time, transports the messages and calls Expire regularly. A Table is
// kept in memory only; a caller that needs its records after a restart has to store them.
package quarantine
