package gateway

import (
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rockcleat/backend"
	"rockcleat/clock/clocktest"
)

// A readinessSink records whether the list counted as known when its servers first arrived.
type readinessSink struct {
	list  *serverList
	early bool
}

// SetServers implements serverSink.
func (s *readinessSink) SetServers(*backend.Snapshot) {
	s.early = s.early || s.list.isListed() && s.list.knowsEvacuations()
}

// TestNotReadyBeforeDispatcherKnowsServers guards against a gateway that says that it is ready and refuses requests, because its
// dispatcher has not got the servers yet.
func TestNotReadyBeforeDispatcherKnowsServers(t *testing.T) {
	readList := func(l *serverList) {
		l.replace([]backend.Server{{ID: "a", Service: "app", Addr: "127.0.0.1:1", Slots: 1}})
	}
	readEvacuations := func(l *serverList) { l.setEvacuated(nil) }
	for name, steps := range map[string][]func(*serverList){
		"list last": {readEvacuations, readList}, "evacuations last": {readList, readEvacuations},
	} {
		t.Run(name, func(t *testing.T) {
			sink := &readinessSink{}
			sink.list = newServerList(plainDecoder{}, clocktest.Real{}, zap.NewNop(), sink)
			for _, step := range steps {
				step(sink.list)
			}
			assert.Assert(t, sink.list.isListed() && sink.list.knowsEvacuations())
			assert.Assert(t, !sink.early, "ready before the sink got the servers")
		})
	}
}
