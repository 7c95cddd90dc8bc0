package admission

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httputil"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// steadyPair returns a pair whose channel has long been in use, so that its IDs have five digits, and whose epochs are as
// long as random ones.
func steadyPair() *pair {
	p := &pair{now: time.Unix(1000, 0), box: NewOutbox("rockcleat-gateway-712", 8446744073709551615)}
	p.restartOwner(8446744073709551616)
	p.box.channel(owner).next = 54321
	p.exchange()
	return p
}

// encodedSize returns the number of bytes of the JSON encoding of a value.
func encodedSize(t *testing.T, value any) int {
	t.Helper()
	data, err := json.Marshal(value)
	assert.NilError(t, err)
	return len(data)
}

// TestMessageSizes guards against messages that exceed the control traffic of a gateway, 5 KB/s: each request adds an
// account to its admission request and an Ack to the reply, and one notice with its Ack.
func TestMessageSizes(t *testing.T) {
	tests := map[string]struct {
		play func(*pair)
		most int
	}{
		"account of an ask":            {play: func(p *pair) { p.ask() }, most: 80},
		"account of an ask with 1 end": {play: func(p *pair) { p.begin(); p.exchange(); p.ask(); p.box.End(owner, 54321); p.ask() }, most: 80},
		"notice of 1 end, others run": {play: func(p *pair) {
			p.begin()
			id := p.begin()
			p.exchange()
			p.box.End(owner, id)
		}, most: 95},
		"notice of 1 begin": {play: func(p *pair) { p.begin() }, most: 135},
		"full message of 24 requests": {play: func(p *pair) {
			for range 24 {
				p.begin()
			}
			p.box.channel(owner).requireFull()
		}, most: 1400},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := steadyPair()
			test.play(p)
			size := encodedSize(t, p.make())
			t.Logf("%d bytes", size)
			assert.Assert(t, size <= test.most, "%d bytes", size)
		})
	}
	t.Run("ack", func(t *testing.T) {
		size := encodedSize(t, steadyPair().ledger.Apply(Message{Sender: gateway, Epoch: 1}, time.Time{}))
		t.Logf("%d bytes", size)
		assert.Assert(t, size <= 40, "%d bytes", size)
	})
}

// TestNoticeSize guards against a notice whose headers are far larger than its content. It measures a notice and its reply
// with the headers that package net/http adds.
func TestNoticeSize(t *testing.T) {
	p := steadyPair()
	id := p.begin()
	p.exchange()
	p.box.End(owner, id)
	m := p.make()
	body, err := json.Marshal(m)
	assert.NilError(t, err)
	call, err := http.NewRequest(http.MethodPost, "http://10.0.112.213:8080/v1/places", bytes.NewReader(body))
	assert.NilError(t, err)
	request, err := httputil.DumpRequestOut(call, true)
	assert.NilError(t, err)
	ack, err := json.Marshal(p.ledger.Apply(m, p.now))
	assert.NilError(t, err)
	header := http.Header{"Content-Type": {"application/json"}, "Date": {"Mon, 02 Jan 2006 15:04:05 GMT"}}
	reply := http.Response{StatusCode: 200, ProtoMajor: 1, ProtoMinor: 1, Header: header, ContentLength: int64(len(ack)), Body: io.NopCloser(bytes.NewReader(ack))}
	response, err := httputil.DumpResponse(&reply, true)
	assert.NilError(t, err)
	t.Logf("notice %d bytes, reply %d bytes", len(request), len(response))
	assert.Assert(t, len(request)+len(response) <= 420)
}

// BenchmarkRequest measures what one request costs at its sender and at its owner: an ask, an admission, a notice of its
// end, with their encodings.
func BenchmarkRequest(b *testing.B) {
	p := newPair()
	pass := func(m Message) {
		data, err := json.Marshal(m)
		assert.NilError(b, err)
		var received Message
		assert.NilError(b, json.Unmarshal(data, &received))
		p.box.Acknowledged(owner, m, p.ledger.Apply(received, p.now))
	}
	for range b.N {
		id := p.ask()
		pass(p.box.Message(owner, p.now))
		p.admit(id)
		p.box.End(owner, id)
		pass(p.box.Message(owner, p.now))
	}
}
