package gateway

import (
	"context"
	"sync"
	"time"

	"rockcleat/quarantine"
)

// suspects serialises the copies of a request under which a server has terminated: only one copy is sent at a time, so
// that copies sent together cannot terminate several servers before the first termination is detected.
//
// Its zero value is ready to use. It is safe for concurrent use.
type suspects struct {
	mu sync.Mutex
	// busy maps a request to a channel that is closed when its active copy has finished.
	busy map[quarantine.Key]chan struct{}
}

// enter waits until no other copy is active or ctx ends. leave lets the next copy proceed.
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

// take makes the caller's copy the active one if there is none. Otherwise it returns a channel that is closed when the
// active copy has finished.
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

// suspectRest is how long the next copy is delayed after one that was not answered. By then it is known whether the
// server has terminated.
const suspectRest = 500 * time.Millisecond

// leaveSuspects lets the next copy proceed: immediately if this one was answered or has not run, else after suspectRest.
func (f *forwarder) leaveSuspects(leave func()) {
	if f.record.runs == 0 || f.record.outcome == outcomeAnswered {
		leave()
		return
	}
	f.proxy.clock.AfterFunc(suspectRest, leave)
}
