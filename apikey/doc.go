// Package apikey tells which organisation holds an API key.
//
// A Directory is made of one version of the configuration and does not change; a newer version has a
// Directory of its own. FromHeader finds the key in a request's Authorization headers. Neither does any
// I/O, and both are safe for concurrent use.
//
// Keys are kept and compared as digests only: a key itself is in memory while a configuration is decoded
// and while the header of its request is, and nothing of this package prints one. Whether a directory is
// recent enough to rely on is for the caller to judge.
package apikey
