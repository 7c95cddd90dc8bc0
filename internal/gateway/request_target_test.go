package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/internal/config"
)

// TestTargetIsSentUnchanged guards against servers that get another request target than the caller has sent. Targets that
// cannot be sent unchanged are refused.
func TestTargetIsSentUnchanged(t *testing.T) {
	server := newFakeServer(t, "a", respond(http.StatusOK, "yes"))
	env := prepareTestEnv(t, func(*config.Gateway) {}, server)
	all := env.routing.Routes[1]
	all.Name, all.Prefix = "all", "/"
	env.routing.Routes = append(env.routing.Routes, all)
	env.putConfig()
	env.awaitReady(http.StatusOK)
	tests := map[string]struct {
		target string
		status int
	}{
		"plain":                        {target: "/check/2f", status: 200},
		"two slashes":                  {target: "//check/2f", status: 200},
		"three slashes":                {target: "///2f", status: 200},
		"only slashes":                 {target: "//", status: 200},
		"slashes and a query":          {target: "//check/2f?q=//%20&q", status: 200},
		"slashes and an empty query":   {target: "//check?", status: 200},
		"slashes and question marks":   {target: "//check??a?", status: 200},
		"slashes and escapes":          {target: "//%2f%2F/%41?%zz", status: 200},
		"slashes and a user":           {target: "//user:secret@check:80/x", status: 200},
		"slashes and an IPv6 address":  {target: "//[::1]/x", status: 200},
		"two slashes later":            {target: "/a//b", status: 200},
		"escaped slashes":              {target: "/%2f", status: 200},
		"empty query":                  {target: "/a?", status: 200},
		"parameters":                   {target: "/;x", status: 200},
		"other characters":             {target: `/a|b"c`, status: 200},
		"dots":                         {target: "/a/../b/.", status: 200},
		"slashes and other characters": {target: `//a|b`, status: 400},
		"absolute form":                {target: "http://check/2f", status: 404},
		"asterisk":                     {target: "*", status: 404},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			before := server.count()
			conn, err := net.Dial("tcp", env.front)
			assert.NilError(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: id-1\r\nConnection: close\r\n\r\n", test.target, host, names.RequestID)
			assert.NilError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			defer resp.Body.Close()
			_, err = io.Copy(io.Discard, resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, test.status)
			if test.status != http.StatusOK {
				assert.Equal(t, server.count(), before, "no server gets it")
				return
			}
			assert.Equal(t, server.call(before).RequestURI, test.target)
		})
	}
}
