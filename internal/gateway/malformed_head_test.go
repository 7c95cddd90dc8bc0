package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A headFault changes the name of the field in a line of a response's head.
type headFault func(name, value string) string

// headFaults are changes after which a line is not that of a field.
var headFaults = map[string]headFault{
	"blank before the name":    func(name, value string) string { return " " + name + ": " + value },
	"tab before the name":      func(name, value string) string { return "\t" + name + ": " + value },
	"blank in the name":        func(name, value string) string { return name[:3] + " " + name[4:] + ": " + value },
	"blank added to the name":  func(name, value string) string { return name[:3] + " " + name[3:] + ": " + value },
	"blank after the name":     func(name, value string) string { return name + " : " + value },
	"tab after the name":       func(name, value string) string { return name + "\t: " + value },
	"line feed before":         func(name, value string) string { return "\n" + name + ": " + value },
	"line feed in the name":    func(name, value string) string { return name[:3] + "\n" + name[4:] + ": " + value },
	"line feed after the name": func(name, value string) string { return name + "\n: " + value },
	"return before":            func(name, value string) string { return "\r" + name + ": " + value },
	"return in the name":       func(name, value string) string { return name[:3] + "\r" + name[4:] + ": " + value },
	"NUL before":               func(name, value string) string { return "\x00" + name + ": " + value },
	"NUL in the name":          func(name, value string) string { return name[:3] + "\x00" + name[4:] + ": " + value },
	"bell after the name":      func(name, value string) string { return name + "\a: " + value },
	"escape in the name":       func(name, value string) string { return name[:3] + "\x1b" + name[4:] + ": " + value },
	"delete in the name":       func(name, value string) string { return name[:3] + "\x7f" + name[4:] + ": " + value },
	"no name":                  func(_, value string) string { return ": " + value },
	"no colon":                 func(name, _ string) string { return name },
}

// headFields returns the fields of a response to a call whose body has the given length, in the order in which they are sent.
func headFields(c *call, length int, chunks bool) [][2]string {
	fields := [][2]string{
		{names.RequestID, c.id()}, {names.Signature, "seal"}, {"X-More", "kept"}, {"Content-Type", "text/event-stream"},
	}
	if chunks {
		return append(fields, [2]string{"Transfer-Encoding", "chunked"})
	}
	return append(fields, [2]string{"Content-Length", fmt.Sprint(length)})
}

// writeWithFault writes a whole response in which one field has a fault.
func (c *call) writeWithFault(field string, fault headFault, chunks, last bool) {
	body := payload(c.id())
	fields := headFields(c, len(body), chunks)
	if last {
		slices.Reverse(fields)
	}
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\n")
	for _, f := range fields {
		line := f[0] + ": " + f[1]
		if f[0] == field {
			line = fault(f[0], f[1])
		}
		head.WriteString(line + "\r\n")
	}
	head.WriteString("\r\n")
	if chunks {
		body = chunk(body) + lastChunk
	}
	c.write(head.String(), body)
}

// warm begins the paths of requests that get a whole response.
const warm = "warm"

// TestMalformedNamesInHeads checks that a response in whose head the name of a field holds a blank or a control character is
// not passed on: neither with that line or without it, nor with a body whose length another line would state. It comes on a
// new connection or on one that has carried a whole response.
func TestMalformedNamesInHeads(t *testing.T) {
	for faultName, fault := range headFaults {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprint(faultName, ", reused ", reused), func(t *testing.T) {
				t.Parallel()
				var field string
				var chunks, last bool
				respond := func(c *call) bool {
					if strings.HasSuffix(c.URL.Path, warm) {
						return c.writeFramed(http.StatusOK, framed)
					}
					c.writeWithFault(field, fault, chunks, last)
					return false
				}
				env := newTestEnv(t, newFakeServer(t, "a", respond), newFakeServer(t, "b", respond))
				env.awaitServers(2)
				n := 0
				for _, chunks = range []bool{false, true} {
					for _, last = range []bool{false, true} {
						for _, f := range headFields(&call{Request: &http.Request{}}, 0, chunks) {
							for _, path := range []string{pathUnsafe, pathSafe, pathStream, pathResume} {
								field, n = f[0], n+1
								if reused {
									got := env.post(path+warm, "", names.RequestID, requestID(1000+n))
									assert.Equal(t, got.status, http.StatusOK, "%s", got.body)
								}
								got := env.post(path, "", names.RequestID, requestID(n))
								assert.Check(t, got.status != http.StatusOK, "%s, %s, chunks %v, reversed %v: %d %q %v", field, path, chunks, last,
									got.status, got.body, got.err)
							}
						}
					}
				}
			})
		}
	}
}
