package serverconn_test

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"rockcleat/clock/clocktest"
	"rockcleat/internal/serverconn"
	"rockcleat/internal/wire"
)

// BenchmarkSend measures one request and its response over a reused connection, through a Transport and through the
// http.Transport that it uses.
func BenchmarkSend(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerAll(c, bufio.NewReader(c))
		}
	}()
	request, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+"/", nil)
	if err != nil {
		b.Fatal(err)
	}
	base := wire.NewDirectTransport(time.Minute)
	b.Run("http.Transport", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			resp, err := base.RoundTrip(request)
			if err != nil {
				b.Fatal(err)
			}
			resp.Body.Close()
		}
	})
	transport := serverconn.New(serverconn.Options{Base: base, Clock: clocktest.Real{}})
	b.Run("serverconn.Transport", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var h serverconn.History
			resp, x, err := transport.Send(request, nil, &h)
			if err != nil {
				b.Fatal(err)
			}
			x.Accept()
			resp.Body.Close()
		}
	})
}
