package responseconn_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/internal/responseconn"
)

// heads are the beginnings of responses. malformed tells whether the status or the name of a field is not one, or a line ends in
// another way than the status line.
var heads = map[string]struct {
	text      string
	malformed bool
}{
	"without fields":                    {text: "HTTP/1.1 200 OK\r\n\r\n"},
	"fields":                            {text: "HTTP/1.1 200 OK\r\nA: 1\r\nb-C!#$%&'*+-.^_`|~9:2\r\n\r\n"},
	"lines end with a line feed":        {text: "HTTP/1.1 200 OK\nA: 1\n\n"},
	"no reason":                         {text: "HTTP/1.1 200\r\nA:\r\n\r\n"},
	"informational before":              {text: "HTTP/1.1 103 Early\r\nA: 1\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA: 1\r\n\r\n"},
	"body that looks like a bad line":   {text: "HTTP/1.1 200 OK\r\nA: 1\r\n\r\n folded\nA B: 1\r\n"},
	"other protocol":                    {text: "HTTP/1.1 101 Switching\r\nA: 1\r\n\r\n\x00\n", malformed: true},
	"status 000":                        {text: "HTTP/1.1 000 \r\nA: 1\r\n\r\n", malformed: true},
	"status with a sign":                {text: "HTTP/1.1 +20 OK\r\nA: 1\r\n\r\n", malformed: true},
	"status of two digits":              {text: "HTTP/1.1 20 OK\r\nA: 1\r\n\r\n", malformed: true},
	"no status":                         {text: "HTTP/1.1\r\nA: 1\r\n\r\n", malformed: true},
	"status above 599":                  {text: "HTTP/1.1 600 OK\r\n\r\n", malformed: true},
	"version 2.0":                       {text: "HTTP/2.0 200 OK\r\n\r\n", malformed: true},
	"version 1.0":                       {text: "HTTP/1.0 200 OK\r\n\r\n"},
	"two blanks before the status":      {text: "HTTP/1.1  200 OK\r\n\r\n", malformed: true},
	"long reason":                       {text: "HTTP/1.1 200 " + strings.Repeat("fine ", 100) + "\r\nA: 1\r\n\r\n"},
	"blank before a name":               {text: "HTTP/1.1 200 OK\r\nA: 1\r\n B: 1\r\n\r\n", malformed: true},
	"tab before a name":                 {text: "HTTP/1.1 200 OK\r\nA: 1\r\n\tB: 1\r\n\r\n", malformed: true},
	"blank before the first name":       {text: "HTTP/1.1 200 OK\r\n A: 1\r\n\r\n", malformed: true},
	"blank in a name":                   {text: "HTTP/1.1 200 OK\r\nA B: 1\r\n\r\n", malformed: true},
	"blank after a name":                {text: "HTTP/1.1 200 OK\r\nA : 1\r\n\r\n", malformed: true},
	"control character in a name":       {text: "HTTP/1.1 200 OK\r\nA\x01: 1\r\n\r\n", malformed: true},
	"no name":                           {text: "HTTP/1.1 200 OK\r\n: 1\r\n\r\n", malformed: true},
	"no colon":                          {text: "HTTP/1.1 200 OK\r\nA\r\n\r\n", malformed: true},
	"line feed before a name":           {text: "HTTP/1.1 200 OK\r\nA: 1\r\n\nB: 1\r\n\r\n", malformed: true},
	"line feed in a value":              {text: "HTTP/1.1 200 OK\r\nA: 1\nB: 1\r\n\r\n", malformed: true},
	"return before a name":              {text: "HTTP/1.1 200 OK\r\nA: 1\r\n\rB: 1\r\n\r\n", malformed: true},
	"return only after a line feed":     {text: "HTTP/1.1 200 OK\nA: 1\r\n\r\n", malformed: true},
	"bad name in an informational head": {text: "HTTP/1.1 103 Early\r\nA B: 1\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", malformed: true},
	"bad name behind an informational":  {text: "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nA B: 1\r\n\r\n", malformed: true},
}

// TestHead checks which heads are malformed, however their bytes are divided among reads.
func TestHead(t *testing.T) {
	for name, test := range heads {
		t.Run(name, func(t *testing.T) {
			for _, size := range []int{1, 2, 3, 1000} {
				client, server := net.Pipe()
				go func() {
					_, _ = io.WriteString(server, test.text)
					server.Close()
				}()
				got, err := readInPieces(responseconn.New(client), size)
				client.Close()
				var headErr *responseconn.HeadError
				assert.Equal(t, errors.As(err, &headErr), test.malformed, "in pieces of %d: %v", size, err)
				assert.Assert(t, test.malformed || got == test.text, "in pieces of %d: %q", size, got)
			}
		})
	}
}

// readInPieces reads to the end, up to size bytes at a time.
func readInPieces(r io.Reader, size int) (string, error) {
	var text strings.Builder
	piece := make([]byte, size)
	for {
		n, err := r.Read(piece)
		text.Write(piece[:n])
		if err == io.EOF {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
	}
}

// TestMalformedHeadStaysMalformed checks that a read after the error fails too, while the server sends nothing more.
func TestMalformedHeadStaysMalformed(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	go func() { _, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nA B: 1\r\n\r\n") }()
	assert.NilError(t, client.SetReadDeadline(time.Now().Add(10*time.Second)))
	c := responseconn.New(client)
	_, err := c.Read(make([]byte, 18))
	assert.NilError(t, err)
	for range 3 {
		_, err := c.Read(make([]byte, 18))
		assert.ErrorContains(t, err, `"A "`)
	}
}

// TestTransport checks that the head of each response on a connection is checked, and that connections are used again.
func TestTransport(t *testing.T) {
	for name, malformed := range map[string]int{"none": 0, "first": 1, "third": 3} {
		t.Run(name, func(t *testing.T) {
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
				for n := 1; ; n++ {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					blank := ""
					if n == malformed {
						blank = " "
					}
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length%s: 4\r\n\r\nbody", blank)
				}
			}()
			client := &http.Client{Transport: responseconn.NewTransport(&http.Transport{DialContext: responseconn.Dial((&net.Dialer{}).DialContext)})}
			defer client.CloseIdleConnections()
			for n := 1; n <= 3; n++ {
				resp, err := client.Post("http://"+l.Addr().String(), "", nil)
				if n == malformed {
					assert.ErrorContains(t, err, "invalid name of a field")
					return
				}
				assert.NilError(t, err)
				body, err := io.ReadAll(resp.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(body), "body")
			}
		})
	}
}
