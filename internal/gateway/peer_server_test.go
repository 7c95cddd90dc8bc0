package gateway

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A countingMessage counts how many messages are being encoded.
type countingMessage struct{ encoding, most *atomic.Int64 }

// MarshalJSON implements json.Marshaler.
func (m countingMessage) MarshalJSON() ([]byte, error) {
	m.most.Store(max(m.most.Load(), m.encoding.Add(1)))
	time.Sleep(time.Millisecond)
	m.encoding.Add(-1)
	return json.Marshal("x")
}

// TestLargeMessagesAreEncodedOneByOne checks that the memory for encoding does not grow with the number of gateways that
// request a large message at once.
func TestLargeMessagesAreEncodedOneByOne(t *testing.T) {
	for _, gateways := range []int{24, 356} {
		var encoding, most atomic.Int64
		p := &peerServer{}
		var all sync.WaitGroup
		for range gateways {
			all.Go(func() {
				_, _, err := p.encode(http.Header{}, countingMessage{encoding: &encoding, most: &most})
				assert.NilError(t, err)
			})
		}
		all.Wait()
		assert.Equal(t, most.Load(), int64(1))
	}
}
