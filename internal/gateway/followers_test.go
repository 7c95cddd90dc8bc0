package gateway

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"rockcleat/backend"
	"rockcleat/clock/clocktest"
	"rockcleat/dispatch"
	"rockcleat/internal/placer"
	"rockcleat/kv"
	"rockcleat/table"
)

// undecodable is a value that cannot be decoded.
const undecodable = "spoiled"

// plainDecoder uses the key as the server's id.
type plainDecoder struct{}

func (plainDecoder) ConfigKey() string    { return "config" }
func (plainDecoder) ServerPrefix() string { return "servers/" }

func (plainDecoder) EvacuationPrefix() string { return "evacuated/" }

func (plainDecoder) EvacuatedHall(key string) string { return key }

func (plainDecoder) Routing([]byte) (*table.Routing, error) { return nil, nil }

func (plainDecoder) Server(key string, value []byte) (backend.Server, error) {
	if string(value) == undecodable {
		return backend.Server{}, errors.New("undecodable value")
	}
	return backend.Server{ID: key, Service: "app"}, nil
}

func (plainDecoder) IsOlderServerEntry([]byte, []byte) (older, known bool) { return false, false }

func (plainDecoder) ServerID(key string) string { return key }

// TestNewListLogsRemovedServers checks that a server that was removed while the store was not watched is logged once.
func TestNewListLogsRemovedServers(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	d := dispatch.New(dispatch.Options{Clock: clocktest.Real{}, CacheTokens: func(string) int { return 0 }})
	log := zap.New(core)
	f := newServerFollower(newStoreHealth(t.Context(), log), newServerList(plainDecoder{}, clocktest.Real{}, log, d))
	entry := func(key string) kv.Entry { return kv.Entry{Key: key} }
	f.Replace([]kv.Entry{entry("s1"), entry("s2")})
	f.Apply([]kv.Event{{Entry: entry("s3")}, {Entry: entry("s2"), Deleted: true}})
	f.Replace([]kv.Entry{entry("s3")})
	f.Replace([]kv.Entry{entry("s3")})
	var removed []string
	for _, l := range logs.FilterMessage("server gone").All() {
		removed = append(removed, l.ContextMap()["server"].(string))
	}
	assert.DeepEqual(t, removed, []string{"s2", "s1"})
}

// TestUndecodableEntries checks that an undecodable entry removes only its own server, in lists and changes, that the
// server returns when the entry is valid again, and that the log has one line per occurrence, not one per heartbeat.
func TestUndecodableEntries(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	d := dispatch.New(dispatch.Options{Clock: clocktest.Real{}, CacheTokens: func(string) int { return 0 }})
	log := zap.New(core)
	list := newServerList(plainDecoder{}, clocktest.Real{}, log, d)
	f := newServerFollower(newStoreHealth(t.Context(), log), list)
	good := func(key string) kv.Entry { return kv.Entry{Key: key} }
	bad := func(key string, rev kv.Revision) kv.Entry {
		return kv.Entry{Key: key, Value: []byte(undecodable), Revision: rev}
	}
	check := func(lines int, want ...string) {
		t.Helper()
		var names []string
		for _, s := range list.registry.Snapshot().Service("app") {
			names = append(names, s.ID)
		}
		assert.DeepEqual(t, names, want)
		assert.Equal(t, logs.FilterMessage("server entry not usable").Len(), lines)
	}
	f.Replace([]kv.Entry{good("s1"), bad("s2", 1), good("s3")})
	check(1, "s1", "s3")
	f.Apply([]kv.Event{{Entry: bad("s1", 2)}, {Entry: bad("s1", 3)}, {Entry: bad("s2", 4)}})
	check(2, "s3")
	f.Apply([]kv.Event{{Entry: good("s1")}, {Entry: bad("s1", 5)}, {Entry: good("s2")}})
	check(3, "s2", "s3")
	f.Replace([]kv.Entry{bad("s1", 5), good("s2"), bad("s3", 6)})
	check(4, "s2")
	assert.Equal(t, list.digest("servers/", bad("s1", 5)), list.digest("servers/", bad("s1", 6)), "heartbeats are not handed on")
}

// TestDigestOfResidentsWithoutLeader checks that the digest of a server depends on what its engine has loaded only
// while no leader publishes residency. Otherwise gateways without a leader would send requests to engines that no
// longer have the model loaded.
func TestDigestOfResidentsWithoutLeader(t *testing.T) {
	d := dispatch.New(dispatch.Options{Clock: clocktest.Real{}, CacheTokens: func(string) int { return 0 }})
	list := newServerList(residentDecoder{}, clocktest.Real{}, zap.NewNop(), d)
	entry := func(model string) kv.Entry { return kv.Entry{Key: "s1", Value: []byte(model)} }
	assert.Assert(t, list.digest("servers/", entry("m1")) != list.digest("servers/", entry("m2")))
	assert.Equal(t, list.digest("servers/", entry("m1")), list.digest("servers/", entry("m1")))
	list.setResidency(placer.Reply{Residency: map[string]backend.Residency{"s1": {}}, Full: true})
	assert.Equal(t, list.digest("servers/", entry("m1")), list.digest("servers/", entry("m2")))
}

// residentDecoder uses the entry's value as the loaded model.
type residentDecoder struct{ plainDecoder }

func (residentDecoder) Server(key string, value []byte) (backend.Server, error) {
	return backend.Server{ID: key, Service: "llm", Residents: []backend.Resident{{Model: string(value)}}}, nil
}

// TestLinesAboutNewServersAreBounded checks that the number of log lines of one gateway does not grow with the number of
// servers that it sees at once.
func TestLinesAboutNewServersAreBounded(t *testing.T) {
	lines := make(map[int]int)
	for _, servers := range []int{625, 1250} {
		core, logs := observer.New(zap.InfoLevel)
		d := dispatch.New(dispatch.Options{Clock: clocktest.Real{}, CacheTokens: func(string) int { return 0 }})
		log := zap.New(core)
		f := newServerFollower(newStoreHealth(t.Context(), log), newServerList(plainDecoder{}, clocktest.New(time.Unix(0, 0)), log, d))
		var events []kv.Event
		for i := range servers {
			events = append(events, kv.Event{Entry: kv.Entry{Key: fmt.Sprint("s", i)}})
		}
		f.Apply(events)
		lines[servers] = logs.FilterMessage("server seen").Len()
	}
	assert.Equal(t, lines[625], seenBurst)
	assert.Equal(t, lines[1250], lines[625])
}

// TestResidencyOfReplies checks that a reply to a report does not replace the residency that a later poll has brought,
// unless it is newer or of another term.
func TestResidencyOfReplies(t *testing.T) {
	const term, nextTerm = int64(1) << 40, int64(2) << 40
	polled := backend.Residency{Residents: []backend.Resident{{Model: "polled"}}}
	replied := backend.Residency{Residents: []backend.Resident{{Model: "replied"}}}
	tests := map[string]struct {
		polledAt, repliedAt int64
		want                string
	}{
		"the reply is older":           {polledAt: term + 5, repliedAt: term + 4, want: "polled"},
		"the reply is as new":          {polledAt: term + 5, repliedAt: term + 5, want: "replied"},
		"the reply is newer":           {polledAt: term + 5, repliedAt: term + 6, want: "replied"},
		"the reply is of another term": {polledAt: nextTerm + 5, repliedAt: term + 6, want: "replied"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var n newerResidency
			n.add(map[string]backend.Residency{"e1": polled}, test.polledAt)
			got := n.merge(map[string]backend.Residency{"e1": replied, "e2": replied}, test.repliedAt)
			assert.Equal(t, got["e1"].Residents[0].Model, test.want)
			assert.Equal(t, got["e2"].Residents[0].Model, "replied")
		})
	}
}
