package gateway

import (
	"context"
	"sync"
	"time"

	"rockcleat/quarantine"
)

// suspects keeps copies of a request under which a server has ended apart: while one is on its way to a server the
// others wait for what becomes of it. Several that were sent together ended the next server under each of them, and
// what the first one showed came too late for the rest.
//
// Its zero value holds none. It is safe for concurrent use.
type suspects struct {
	mu sync.Mutex
	// busy is closed when the copy that is on its way has ended.
	busy map[quarantine.Key]chan struct{}
}

// enter waits until no other copy is on its way, or until ctx ends, and returns what lets the next one go.
func (s *suspects) enter(ctx context.Context, key quarantine.Key) (leave func()) {
	for {
		ended, ok := s.take(key)
		if ok {
			return func() { s.leave(key) }
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return func() {}
		}
	}
}

// take makes the caller's copy the one on its way if there is none; otherwise it returns what is closed when that
// one has ended.
func (s *suspects) take(key quarantine.Key) (ended chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ended, taken := s.busy[key]; taken {
		return ended, false
	}
	if s.busy == nil {
		s.busy = make(map[quarantine.Key]chan struct{})
	}
	s.busy[key] = make(chan struct{})
	return nil, true
}

func (s *suspects) leave(key quarantine.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.busy[key])
	delete(s.busy, key)
}

// suspectRest is how long after a copy that a server did not answer the next one is kept back: by then it is known
// whether the server has ended.
const suspectRest = 500 * time.Millisecond

// leaveSuspects lets the next copy go, at once if this one was answered or not sent.
func (f *forwarder) leaveSuspects(leave func()) {
	if f.record.runs == 0 || f.record.outcome == outcomeAnswered {
		leave()
		return
	}
	f.proxy.clock.AfterFunc(suspectRest, leave)
}
