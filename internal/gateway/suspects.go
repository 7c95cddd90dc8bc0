package gateway

import (
	"context"
	"sync"
	"time"

	"rockcleat/quarantine"
)

// A copySerializer serialises the copies of a request under which a server has crashed: only one copy is sent at a
// time, so that copies sent together cannot make several servers crash before the first crash is detected.
//
// Its zero value is ready to use. It is safe for concurrent use.
type copySerializer struct {
	mu sync.Mutex
	// active maps a request to a channel that is closed when its active copy has finished.
	active map[quarantine.Key]chan struct{}
}

// acquire waits until no other copy is active or ctx ends. release lets the next copy proceed.
func (s *copySerializer) acquire(ctx context.Context, key quarantine.Key) (release func()) {
	for {
		ended, ok := s.tryAcquire(key)
		if ok {
			return func() { s.release(key) }
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return func() {}
		}
	}
}

// tryAcquire makes the caller's copy the active one if there is none. Otherwise it returns a channel that is closed
// when the active copy has finished.
func (s *copySerializer) tryAcquire(key quarantine.Key) (ended chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ended, taken := s.active[key]; taken {
		return ended, false
	}
	if s.active == nil {
		s.active = make(map[quarantine.Key]chan struct{})
	}
	s.active[key] = make(chan struct{})
	return nil, true
}

func (s *copySerializer) release(key quarantine.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.active[key])
	delete(s.active, key)
}

// copyDelay is how long the next copy is delayed after one without a response. By then it is known whether the server
// has crashed.
const copyDelay = 500 * time.Millisecond

// releaseCopy lets the next copy proceed: immediately if this one was answered or has not run, else after copyDelay.
func (f *forwarder) releaseCopy(release func()) {
	if f.record.runs == 0 || f.record.outcome == outcomeAnswered {
		release()
		return
	}
	f.proxy.clock.AfterFunc(copyDelay, release)
}
