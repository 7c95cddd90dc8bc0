package wire_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/internal/wire"
)

// bodies returns the forms of a request's body.
func bodies() map[string]func() io.Reader {
	return map[string]func() io.Reader{
		"no body":    func() io.Reader { return nil },
		"NoBody":     func() io.Reader { return http.NoBody },
		"empty body": func() io.Reader { return bytes.NewReader(nil) },
		"body":       func() io.Reader { return strings.NewReader("body") },
	}
}

var methods = []string{"GET", "HEAD", "OPTIONS", "TRACE", "POST", "PUT", "DELETE"}

// TestNothingIsSentTwice guards against a request that net/http repeats when a reused connection breaks, whatever its method,
// body and headers: its server may have run it.
func TestNothingIsSentTwice(t *testing.T) {
	for _, method := range methods {
		for name, body := range bodies() {
			for _, key := range []string{"X-Other", wire.HeaderIdempotencyKey, "X-Idempotency-Key"} {
				t.Run(fmt.Sprint(method, " ", name, " ", key), func(t *testing.T) {
					var calls atomic.Int64
					s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
						if r.Header.Get(key) == "k" && calls.Add(1) == 1 {
							panic(http.ErrAbortHandler)
						}
					}))
					defer s.Close()
					client := &http.Client{Transport: wire.NewTransport(&wire.TrafficCounter{})}
					warm, err := client.Get(s.URL)
					assert.NilError(t, err)
					assert.NilError(t, warm.Body.Close())
					req, err := http.NewRequest(method, s.URL, body())
					assert.NilError(t, err)
					req.Header.Set(key, "k")
					wire.DisableRetry(req)
					resp, err := client.Do(req)
					if err == nil {
						assert.NilError(t, resp.Body.Close())
					}
					assert.Assert(t, err != nil)
					assert.Equal(t, calls.Load(), int64(1))
				})
			}
		}
	}
}

// sentBytes returns what a request looks like on the wire.
func sentBytes(t *testing.T, req *http.Request) string {
	t.Helper()
	client, server := net.Pipe()
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return client, nil }}
	sent := make(chan string, 1)
	go func() {
		defer server.Close()
		var b bytes.Buffer
		r, err := http.ReadRequest(bufio.NewReader(io.TeeReader(server, &b)))
		if err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		sent <- b.String()
		_, _ = io.WriteString(server, "HTTP/1.1 204 No Content\r\n\r\n")
	}()
	resp, err := transport.RoundTrip(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return <-sent
}

// TestDisableRetryKeepsTheRequest guards against a request that reaches its server in another form, such as with an empty
// chunked body.
func TestDisableRetryKeepsTheRequest(t *testing.T) {
	for _, method := range methods {
		for name, body := range bodies() {
			t.Run(method+" "+name, func(t *testing.T) {
				request := func() *http.Request {
					req, err := http.NewRequest(method, "http://server.example/path", body())
					assert.NilError(t, err)
					return req
				}
				want, req := sentBytes(t, request()), request()
				wire.DisableRetry(req)
				assert.Equal(t, sentBytes(t, req), want)
			})
		}
	}
}

// TestSingleUse guards against a connection that carries a second request, and against a request that asks its server to
// close the connection.
func TestSingleUse(t *testing.T) {
	conns := make(map[string]bool)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		conns[r.RemoteAddr] = true
		assert.Check(t, !r.Close)
	}))
	defer s.Close()
	client := &http.Client{Transport: wire.SingleUse(wire.NewDirectTransport(0))}
	for range 5 {
		resp, err := client.Get(s.URL)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
	}
	assert.Equal(t, len(conns), 5)
}

// TestBrokenConnectionIsNotTakenForUnsent guards against the error of a second try, which met a closed port, that is taken for
// the one of the first, which the server received.
func TestBrokenConnectionIsNotTakenForUnsent(t *testing.T) {
	for _, method := range methods {
		t.Run(method, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				r := bufio.NewReader(c)
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
				_, _ = http.ReadRequest(r)
				l.Close()
			}()
			client := &http.Client{Transport: wire.NewTransport(&wire.TrafficCounter{})}
			url := "http://" + l.Addr().String()
			warm, err := client.Get(url)
			assert.NilError(t, err)
			assert.NilError(t, warm.Body.Close())
			req, err := http.NewRequest(method, url, nil)
			assert.NilError(t, err)
			wire.DisableRetry(req)
			resp, err := client.Do(req)
			if err == nil {
				resp.Body.Close()
			}
			assert.Assert(t, err != nil)
			assert.Assert(t, !wire.IsNotSent(err), "%v", err)
		})
	}
}

// TestClientFollowsNoRedirects guards against a message that reaches a process other than the one it is meant for.
func TestClientFollowsNoRedirects(t *testing.T) {
	for _, status := range []int{301, 302, 303, 307, 308} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			closed := httptest.NewServer(nil)
			closed.Close()
			s := httptest.NewServer(http.RedirectHandler(closed.URL, status))
			defer s.Close()
			c := wire.NewClient("", wire.NewTransport(&wire.TrafficCounter{}))
			err := c.Post(t.Context(), s.Listener.Addr().String(), "/", struct{}{}, nil)
			var got *wire.StatusError
			assert.Assert(t, errors.As(err, &got), "%v", err)
			assert.Equal(t, got.Status, status)
		})
	}
}
