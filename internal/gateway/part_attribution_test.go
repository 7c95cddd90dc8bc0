package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPartQuarantineOverGateways checks that few requests with a crashing part reach servers later than 3 s after the
// fifth crash, however many gateways get them, and that no sound part is quarantined.
func TestPartQuarantineOverGateways(t *testing.T) {
	const seeds, duration = 3, 20 * time.Second
	rates := map[string]partWorkload{
		"burst of 40":      {burst: 40, crashingPerSecond: 10},
		"one in 2 s":       {crashingPerSecond: 0.5},
		"10 a second":      {crashingPerSecond: 10},
		"60 a second":      {crashingPerSecond: 60},
		"some are cut off": {crashingPerSecond: 10, cutOff: 1},
	}
	for _, gateways := range []int{6, 24, 103, 356, 712} {
		for name, w := range rates {
			w.gateways, w.servers, w.soundPerSecond, w.resend = gateways, max(12, min(2*gateways, 625)), float64(10*gateways), 0.5
			if !isSimulated(w.soundPerSecond * duration.Seconds()) {
				continue
			}
			t.Run(fmt.Sprintf("%d gateways/%s", gateways, name), func(t *testing.T) {
				t.Parallel()
				most, bytes := 0, 0
				for seed := range uint64(seeds) {
					s := newPartSimulation(w, seed)
					s.run(duration)
					most, bytes = max(most, len(s.crashedAt)), max(bytes, s.bytes)
					assert.Assert(t, s.lateSends(3*time.Second) <= 3, "seed %d: %d late of %d", seed, s.lateSends(3*time.Second), len(s.sentAt))
					assert.Equal(t, len(s.wronglyQuarantined()), 0, "seed %d: %v", seed, s.wronglyQuarantined())
				}
				t.Logf("at most %d crashes, %d bytes exchanged", most, bytes)
			})
		}
	}
}

// TestPartAttribution checks that crashes of other causes put no sound part in quarantine, while a crashing part is.
func TestPartAttribution(t *testing.T) {
	const seeds, duration = 5, 15 * time.Second
	for _, servers := range []int{12, 57, 180, 625} {
		for _, perServer := range []int{8, 64} {
			for _, oneIn := range []float64{10, 100} {
				sound := float64(servers*perServer) / simulatedStream.Seconds()
				if !isSimulated(sound * duration.Seconds()) {
					continue
				}
				t.Run(fmt.Sprintf("%d servers/%d requests each/1 in %v crashes", servers, perServer, oneIn), func(t *testing.T) {
					t.Parallel()
					w := partWorkload{
						gateways: max(6, servers/2), servers: servers, soundPerSecond: sound, crashingPerSecond: sound / oneIn,
						otherCrashEvery: 500 * time.Millisecond, resend: 0.5,
					}
					var wrong []string
					crashes := 0
					for seed := range uint64(seeds) {
						s := newPartSimulation(w, seed)
						s.run(duration)
						wrong = append(wrong, s.wronglyQuarantined()...)
						crashes = max(crashes, len(s.crashedAt))
						assert.Assert(t, s.lateSends(3*time.Second) <= 3, "seed %d: %d late of %d", seed, s.lateSends(3*time.Second), len(s.sentAt))
					}
					t.Logf("at most %d crashes under the part; %d sound parts quarantined: %v", crashes, len(wrong), wrong)
					assert.Equal(t, len(wrong), 0)
				})
			}
		}
	}
}

// TestPartAttributionAtFewServers guards against sound parts in quarantine since their trials ran at the servers that the
// crashing part made crash: with few servers, trials of different parts meet.
func TestPartAttributionAtFewServers(t *testing.T) {
	const seeds, duration = 100, 10 * time.Second
	for _, servers := range []int{2, 3, 6} {
		for _, gateways := range []int{3, 9} {
			t.Run(fmt.Sprintf("%d servers/%d gateways", servers, gateways), func(t *testing.T) {
				t.Parallel()
				w := partWorkload{
					gateways: gateways, servers: servers, soundPerSecond: 20 * float64(servers), crashingPerSecond: 2,
					resend: 0.5, sharedParts: 5, downtime: 700 * time.Millisecond,
				}
				wrong := make(map[uint64][]string)
				crashes := 0
				for seed := range uint64(seeds) {
					s := newPartSimulation(w, seed)
					s.run(duration)
					if parts := s.wronglyQuarantined(); len(parts) > 0 {
						wrong[seed] = parts
					}
					crashes = max(crashes, len(s.crashedAt))
					assert.Assert(t, s.lateSends(3*time.Second) <= 3, "seed %d: %d late of %d", seed, s.lateSends(3*time.Second), len(s.sentAt))
				}
				t.Logf("at most %d crashes under the part", crashes)
				assert.Equal(t, len(wrong), 0, "sound parts in quarantine by seed: %v", wrong)
			})
		}
	}
}
