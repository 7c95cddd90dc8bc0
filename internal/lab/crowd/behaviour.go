package crowd

import (
	"fmt"
	"strings"
)

// A Behaviour is what a client sends on each of its connections.
type Behaviour struct {
	// begin is sent once, then piece again and again.
	begin, piece string
	// numbered is set if each piece contains a number, at the verb %d.
	numbered bool
	// most is the number of bytes after which the client stops sending and waits; 0 for maxSent.
	most int
	// holds is set if the behaviour takes connections rather than memory.
	holds bool
	// neverReads is set if the client does not read.
	neverReads bool
}

// A Target describes requests that the process under test handles.
type Target struct {
	// Served and Missing are paths of a request that is served and of one that is not.
	Served, Missing string
	// Headers are the lines that each request needs, each with its line end.
	Headers string
	// LargeAnswer is a header line, with its line end, that asks for a large response; empty if there is none.
	LargeAnswer string
	// BodyLimit is the highest permitted length of a body.
	BodyLimit int
}

// blockSize is the approximate size of repeated pieces.
const blockSize = 4 << 10

// moderateHead is the size of heads that net/http reads by default, and the daemons' settings do not permit.
const moderateHead = 120_000

// headBegin returns the beginning of a request with an unfinished head.
func (t Target) headBegin(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\n" + t.Headers
}

// bodyBegin returns a complete head that announces a body.
func (t Target) bodyBegin(path, framing string) string {
	return t.headBegin("POST", path) + framing + "\r\n\r\n"
}

func repeat(s string) string { return strings.Repeat(s, max(1, blockSize/len(s))) }

// Heads returns behaviours by name that exceed what a request's head may be.
func (t Target) Heads() map[string]Behaviour {
	begin := t.headBegin("GET", t.Served)
	return map[string]Behaviour{
		"a request line without end":              {begin: "GET /", piece: repeat("x")},
		"a header value without end":              {begin: begin + "X-Long: ", piece: repeat("x")},
		"header lines without end":                {begin: begin, piece: repeat("X-More: some\r\n")},
		"different header lines without end":      {begin: begin, piece: "%d:\r\n", numbered: true},
		"empty lines without end":                 {piece: repeat("\r\n")},
		"line feeds without end":                  {piece: repeat("\n")},
		"empty lines without end after a request": {begin: t.bodyBegin(t.Missing, "Content-Length: 0"), piece: repeat("\r\n")},
		"a long header value, never finished":     {begin: begin + "X-Long: ", piece: repeat("x"), most: moderateHead},
		"short header lines, never finished":      {begin: begin, piece: "%d:\r\n", numbered: true, most: moderateHead},
	}
}

// LargestHeads returns those of Heads that make a process hold most.
func (t Target) LargestHeads() map[string]Behaviour {
	all, largest := t.Heads(), make(map[string]Behaviour)
	for _, name := range []string{"a header value without end", "different header lines without end", "short header lines, never finished"} {
		largest[name] = all[name]
	}
	return largest
}

// Bodies returns behaviours by name with bodies that are too long, that do not come or that do not end.
func (t Target) Bodies() map[string]Behaviour {
	announced := func(path string, length int) string {
		return t.bodyBegin(path, fmt.Sprint("Content-Length: ", length))
	}
	const chunked = "Transfer-Encoding: chunked"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", blockSize, strings.Repeat("x", blockSize))
	return map[string]Behaviour{
		"a body that does not come":                     {begin: announced(t.Served, 100), holds: true, most: 1},
		"a body that does not come, for no route":       {begin: announced(t.Missing, 100), holds: true, most: 1},
		"a body over the limit that does not come":      {begin: announced(t.Served, t.BodyLimit+1), holds: true, most: 1},
		"a body that does not come, expects a continue": {begin: t.bodyBegin(t.Served, "Expect: 100-continue\r\nContent-Length: 100"), holds: true, most: 1},
		"a body that does not come, unknown expectation": {
			begin: t.bodyBegin(t.Served, "Expect: 7\r\nContent-Length: 100"), holds: true, most: 1,
		},
		"a body of the permitted length, never finished": {begin: announced(t.Served, t.BodyLimit), piece: repeat("x"), most: t.BodyLimit - blockSize},
		"a chunk extension without end":                  {begin: t.bodyBegin(t.Served, chunked) + "1;", piece: repeat("x")},
		"chunks without end":                             {begin: t.bodyBegin(t.Served, chunked), piece: chunk},
		"chunks without end, for no route":               {begin: t.bodyBegin(t.Missing, chunked), piece: chunk},
		"trailer lines without end":                      {begin: t.bodyBegin(t.Served, chunked) + "0\r\n", piece: repeat("X-More: some\r\n")},
	}
}

// Connections returns behaviours by name that keep connections, or send more on one than is answered.
func (t Target) Connections() map[string]Behaviour {
	all := map[string]Behaviour{
		"connections that send nothing":            {holds: true, most: 1},
		"connections kept after a request":         {begin: t.headBegin("GET", t.Missing) + "\r\n", holds: true, most: 1},
		"connections that send one byte":           {begin: "G", holds: true, most: 1},
		"requests without end, responses not read": {piece: repeat(t.headBegin("GET", t.Missing) + "\r\n"), neverReads: true},
	}
	if t.LargeAnswer != "" {
		all["large responses that are not read"] = Behaviour{begin: t.headBegin("GET", t.Served) + t.LargeAnswer + "\r\n", most: 1, neverReads: true}
	}
	return all
}

// All returns all behaviours by name.
func (t Target) All() map[string]Behaviour {
	all := t.Heads()
	for _, more := range []map[string]Behaviour{t.Bodies(), t.Connections()} {
		for name, b := range more {
			all[name] = b
		}
	}
	return all
}
