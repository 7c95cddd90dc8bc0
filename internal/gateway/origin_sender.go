package gateway

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"

	"rockcleat/resumption"
)

// An originSender sends records to other gateways in the background. It has one call at a time in progress to each
// gateway; records that arrive meanwhile are sent together by the next one.
type originSender struct {
	ctx   context.Context
	peers originPeers
	log   *requestLog

	mu sync.Mutex
	// queues holds the unsent records by gateway; a gateway without a call in progress has none.
	queues map[string][]originDelivery
}

// An originDelivery is a record to be sent to one gateway.
type originDelivery struct {
	record resumption.Record
	// fallback is the gateway that gets the record if this one cannot be reached; empty if there is none.
	fallback string
}

// maxQueuedOrigins is the maximum number of unsent records for one gateway. Further ones are not sent.
const maxQueuedOrigins = 1000

// errOriginQueueFull reports a record that is not sent because of maxQueuedOrigins.
var errOriginQueueFull = eris.New("gateway: too many unsent records of streams")

func newOriginSender(ctx context.Context, peers originPeers, log *requestLog) *originSender {
	return &originSender{ctx: ctx, peers: peers, log: log, queues: make(map[string][]originDelivery)}
}

// send sends a record to the first originHolders of the gateways; the next one replaces one that cannot be reached.
func (s *originSender) send(r resumption.Record, gateways []string) {
	fallback := ""
	if len(gateways) > originHolders {
		fallback = gateways[originHolders]
		gateways = gateways[:originHolders]
	}
	for _, id := range gateways {
		s.enqueue(id, originDelivery{record: r, fallback: fallback})
	}
}

// enqueue adds a record to the queue of a gateway and starts a call if none is in progress.
func (s *originSender) enqueue(gateway string, d originDelivery) {
	if !s.tryEnqueue(gateway, d) {
		s.log.originsNotSent(gateway, 1, errOriginQueueFull)
	}
}

// tryEnqueue is enqueue, but reports whether the queue has room.
func (s *originSender) tryEnqueue(gateway string, d originDelivery) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue, sending := s.queues[gateway]
	if len(queue) >= maxQueuedOrigins {
		return false
	}
	s.queues[gateway] = append(queue, d)
	if !sending {
		go s.run(gateway)
	}
	return true
}

// run sends the queue of a gateway until it is empty.
func (s *originSender) run(gateway string) {
	for batch := s.take(gateway); len(batch) > 0; batch = s.take(gateway) {
		records := make([]resumption.Record, len(batch))
		for i, d := range batch {
			records[i] = d.record
		}
		err := s.peers.sendOrigins(s.ctx, gateway, records)
		if err == nil || s.ctx.Err() != nil {
			continue
		}
		s.log.originsNotSent(gateway, len(batch), err)
		for _, d := range batch {
			if d.fallback != "" {
				s.enqueue(d.fallback, originDelivery{record: d.record})
			}
		}
	}
}

// take returns and empties the queue of a gateway. If it is empty, it records that no call is in progress.
func (s *originSender) take(gateway string) []originDelivery {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := s.queues[gateway]
	if len(batch) == 0 {
		delete(s.queues, gateway)
		return nil
	}
	s.queues[gateway] = []originDelivery{}
	return batch
}
