package wire_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/internal/wire"
)

// startEndlessServer starts a server that responds to each connection's first request with begin, and then with repeated
// until the connection is closed.
func startEndlessServer(t *testing.T, begin, repeated string) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				for _, err := io.WriteString(c, begin); err == nil; {
					_, err = io.WriteString(c, repeated)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// A countingConn counts the bytes that are read.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// TestHeadWithoutEndIsNotRead guards against a process that reads a response's head until its memory is used up.
func TestHeadWithoutEndIsNotRead(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	heads := map[string]struct{ begin, repeated string }{
		"no status line":                {repeated: "x"},
		"a status line":                 {begin: "HTTP/1.1 200 ", repeated: "OK "},
		"header lines":                  {begin: ok, repeated: "X-More: some\r\n"},
		"one header line":               {begin: ok + "X-More: ", repeated: "some "},
		"header lines of a refusal":     {begin: "HTTP/1.1 503 Service Unavailable\r\n", repeated: "X-More: some\r\n"},
		"informational":                 {repeated: "HTTP/1.1 102 Processing\r\n\r\n"},
		"informational with more":       {repeated: "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"},
		"header lines of informational": {begin: "HTTP/1.1 100 Continue\r\n", repeated: "X-More: some\r\n"},
	}
	transports := map[string]func() *http.Transport{
		"direct":  func() *http.Transport { return wire.NewDirectTransport(time.Minute) },
		"process": func() *http.Transport { return wire.NewTransport(&wire.TrafficCounter{}) },
	}
	for name, head := range heads {
		for kind, newTransport := range transports {
			t.Run(fmt.Sprint(name, ", ", kind), func(t *testing.T) {
				t.Parallel()
				addr := startEndlessServer(t, head.begin, head.repeated)
				transport := newTransport()
				var read atomic.Int64
				dial := transport.DialContext
				transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
					c, err := dial(ctx, network, addr)
					return countingConn{c, &read}, err
				}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/", nil)
				assert.NilError(t, err)
				resp, err := transport.RoundTrip(request)
				if err == nil {
					resp.Body.Close()
				}
				assert.Assert(t, err != nil && ctx.Err() == nil, "%v, %v", err, ctx.Err())
				assert.Assert(t, read.Load() <= 2*wire.MaxResponseHead, "%d bytes read", read.Load())
			})
		}
	}
}

// TestHeadOfAResponseMayRepeatTheRequests guards against a bound below what a server repeats of a request's header.
func TestHeadOfAResponseMayRepeatTheRequests(t *testing.T) {
	const size = 32 << 10
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
	})}
	go server.Serve(l)
	defer server.Close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.Addr().String()+"/", nil)
	assert.NilError(t, err)
	id := fmt.Sprintf("%0*d", size, 1)
	request.Header.Set("X-Id", id)
	resp, err := wire.NewDirectTransport(time.Minute).RoundTrip(request)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.Header.Get("X-Id"), id)
}
