package gateway

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// A countingMessage counts how many messages are being encoded. Its encoding ends only after all are requested.
type countingMessage struct {
	encoding, most *atomic.Int64
	allRequested   <-chan struct{}
}

// MarshalJSON implements json.Marshaler.
func (m countingMessage) MarshalJSON() ([]byte, error) {
	m.most.Store(max(m.most.Load(), m.encoding.Add(1)))
	<-m.allRequested
	m.encoding.Add(-1)
	return json.Marshal("x")
}

// TestLargeMessagesAreEncodedOneByOne checks that the memory for encoding does not grow with the number of gateways that
// request a large message at once.
func TestLargeMessagesAreEncodedOneByOne(t *testing.T) {
	for _, gateways := range []int{24, 356} {
		var encoding, most atomic.Int64
		allRequested := make(chan struct{})
		p := &peerServer{}
		var started, all sync.WaitGroup
		started.Add(gateways)
		for range gateways {
			all.Go(func() {
				started.Done()
				_, err := p.encode(http.Header{}, countingMessage{encoding: &encoding, most: &most, allRequested: allRequested})
				assert.NilError(t, err)
			})
		}
		started.Wait()
		close(allRequested)
		all.Wait()
		assert.Equal(t, most.Load(), int64(1))
	}
}
