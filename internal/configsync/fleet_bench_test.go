package configsync

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkHandOn measures what handing changes on to all gateways costs, without decoding them:
// bytes that each gateway receives, bytes that the leader sends, and processor time of all.
// Without patches each gateway receives the value as base64 at least once a change: 1.2 MB at 4,400
// routes, 14 MB for twelve changes; with them 0.6 KB and 7 KB.
func BenchmarkHandOn(b *testing.B) {
	const storm = 12
	for _, routes := range []int{400, 4400} {
		versions := make([][]byte, storm+1)
		for i := range versions {
			versions[i] = config(i+1, routes, i)
		}
		for _, gateways := range []int{24, 340} {
			for name, changes := range map[string]int{"one change": 1, "a storm of twelve": storm} {
				b.Run(fmt.Sprintf("%s/%d routes/%d gateways", name, routes, gateways), func(b *testing.B) {
					sent := 0
					for b.Loop() {
						sent = handOn(b, versions[:changes+1], gateways)
					}
					b.ReportMetric(float64(sent), "bytes_sent")
					b.ReportMetric(float64(sent)/float64(gateways), "bytes_received")
				})
			}
		}
	}
}

// handOn hands all versions but the first, which all hold, on to a number of gateways, one after
// the other, and returns the bytes sent.
func handOn(b *testing.B, versions [][]byte, gateways int) int {
	var leader, other history
	leader.add(1, versions[0])
	other.add(1, versions[0])
	sent := 0
	for i, value := range versions[1:] {
		have := uint64(i + 1)
		leader.add(have+1, value)
		for range gateways {
			t, err := leader.transfer(Request{Have: have})
			assert.NilError(b, err)
			message, err := json.Marshal(t)
			assert.NilError(b, err)
			sent += len(message)
			restored, err := other.restore(t)
			assert.NilError(b, err)
			assert.Equal(b, len(restored), len(value))
		}
		other.add(have+1, value)
	}
	return sent
}
