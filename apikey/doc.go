// Package apikey maps API keys to the organisations that hold them.
//
// A Directory is built from one version of the configuration and is immutable; a newer version gets a new
// Directory. FromHeader extracts the key from a request's Authorization headers. The package does no I/O, and
// its functions and types are safe for concurrent use.
//
// Keys are stored and compared as digests only. A key is in memory in plain text only while a configuration
// or a request header is decoded. Errors and output of this package never contain a key. The caller decides
// whether a Directory is recent enough to use.
package apikey
