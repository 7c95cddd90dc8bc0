package gateway

import (
	"context"
	"slices"
	"time"

	"rockcleat/backend"
	"rockcleat/clock"
	"rockcleat/kv"
	"rockcleat/resumption"
)

const (
	// originHolders is the number of other gateways that a record of a stream's origin is sent to. It keeps most records
	// after the loss of over half of the gateways.
	originHolders = 3
	// askedHolders is the number of gateways that are asked for an origin. It is one more, since the list of gateways may
	// have changed by one since the record was sent.
	askedHolders = originHolders + 1
	// originListWait is how long a gateway that has just started waits for the list of gateways before it looks for an
	// origin. It exceeds the time until it reads the stored list.
	originListWait = 600 * time.Millisecond
	// currentListWait is how long an attempt waits for a current list of servers if its stream may have begun at a version
	// that this gateway does not know. A gateway that is no longer cut off has one within that time.
	currentListWait = time.Second
	// currentListPoll is the interval at which it looks for one.
	currentListPoll = 20 * time.Millisecond
)

// An originSource tells how the origin of a stream was found.
type originSource string

// The sources of origins, as used in log lines and metrics.
const (
	// originOwn: this gateway holds the record.
	originOwn originSource = "own"
	// originPeer: another gateway sent the record.
	originPeer originSource = "peer"
	// originOnlyVersion: no gateway that was asked holds a record, but the service has had one version only.
	originOnlyVersion originSource = "only_version"
	// originUnknown: none of these.
	originUnknown originSource = "unknown"
)

// An originLookup is the result of a search for the origin of a stream.
type originLookup struct {
	resumption.Origin
	source originSource
	// age is the time since the holder got the record.
	age time.Duration
	// asked are the gateways that were asked, answered the number of them that replied.
	asked    []string
	answered int
	// listAge is the age of this gateway's list of servers.
	listAge time.Duration
}

// An originQuery asks a gateway for the origin of a stream.
type originQuery struct {
	Key resumption.Key `json:"key"`
	// Service is the service whose recent versions are asked for; empty if it is not known.
	Service string `json:"service,omitempty"`
}

// An originReply is the reply to an originQuery.
type originReply struct {
	// Origin is nil if the gateway holds no record.
	Origin *resumption.Origin `json:"origin,omitempty"`
	// AgeMs is the time since the gateway got the record, in milliseconds.
	AgeMs int64 `json:"age,omitempty"`
	// Versions are the versions that servers of the service have run recently. Complete is set if they cover the time for
	// which records are kept, Behind if the gateway's list of servers is out of date.
	Versions []string `json:"versions,omitempty"`
	Complete bool     `json:"complete,omitempty"`
	Behind   bool     `json:"behind,omitempty"`
}

// originPeers sends messages about the origins of streams to other gateways.
type originPeers interface {
	// sendOrigins sends records to a gateway, findOrigin asks it for one.
	sendOrigins(ctx context.Context, gateway string, records []resumption.Record) error
	findOrigin(ctx context.Context, gateway string, q originQuery) (originReply, error)
}

// streamOrigins records at which service and software version the streams of this and other gateways began.
type streamOrigins struct {
	self     string
	table    *resumption.Table
	versions *backend.VersionHistory
	gateways *directory
	peers    originPeers
	sender   *originSender
	clock    clock.Service
	servers  serverView
}

// A serverView tells how recent a gateway's list of servers is.
type serverView interface {
	// currentAt returns the latest time at which the list is known to have been current.
	currentAt() time.Time
	// maxAge returns the age above which the list is out of date.
	maxAge() time.Duration
}

func (p *components) newStreamOrigins(ctx context.Context, o Options) *streamOrigins {
	return &streamOrigins{
		self: o.Settings.ID, table: resumption.New(o.Clock), versions: p.servers.versions, gateways: p.gateways, peers: p.peers,
		sender: newOriginSender(ctx, p.peers, p.requestLog), clock: o.Clock,
		servers: storeView{fanout: p.leader.fanout, prefix: o.Decoder.ServerPrefix(), configuredMaxAge: p.configMaxAge(o.Settings)},
	}
}

// A storeView is the serverView of the list that a gateway follows in the store or through other gateways.
type storeView struct {
	fanout           *kv.Fanout
	prefix           string
	configuredMaxAge func() time.Duration
}

func (v storeView) currentAt() time.Time { return v.fanout.CurrentAt(v.prefix) }

func (v storeView) maxAge() time.Duration { return v.configuredMaxAge() }

// record records the origin of a stream whose first event has arrived, here and at its holders.
func (s *streamOrigins) record(k resumption.Key, o resumption.Origin) {
	r := resumption.Record{Key: k, Origin: o}
	s.table.Add(r)
	if holders := s.holders(k, askedHolders); len(holders) > 0 {
		s.sender.send(r, holders)
	}
}

// holders returns the first n other gateways that hold the record of a stream.
func (s *streamOrigins) holders(k resumption.Key, n int) []string {
	holders := resumption.Holders(s.gateways.nodes(), k, n+1)
	holders = slices.DeleteFunc(holders, func(id string) bool { return id == s.self })
	return holders[:min(n, len(holders))]
}

// merge adds records of other gateways.
func (s *streamOrigins) merge(records []resumption.Record) {
	for _, r := range records {
		s.table.Add(r)
	}
}

// answer returns the reply to another gateway's query.
func (s *streamOrigins) answer(q originQuery) originReply {
	var reply originReply
	if o, age, ok := s.table.Lookup(q.Key); ok {
		reply.Origin, reply.AgeMs = &o, age.Milliseconds()
	}
	reply.Versions, reply.Complete = s.versions.Versions(q.Service, s.clock.Now())
	reply.Behind = s.isBehind()
	return reply
}

// isBehind reports whether this gateway's list of servers is out of date.
func (s *streamOrigins) isBehind() bool {
	return s.listAge() > s.servers.maxAge()
}

// listAge returns the time since this gateway's list of servers was last known to be current.
func (s *streamOrigins) listAge() time.Duration { return s.clock.Now().Sub(s.servers.currentAt()) }

// find finds the origin of a stream. It asks the holders if this gateway has no record. If they have none either, it
// returns the only version that the service has had recently, if that is certain. service is empty if the stream may have
// begun at several services.
func (s *streamOrigins) find(ctx context.Context, k resumption.Key, service string) originLookup {
	if o, age, ok := s.table.Lookup(k); ok {
		return originLookup{Origin: o, source: originOwn, age: age}
	}
	s.gateways.awaitList(ctx, s.clock, originListWait)
	l, certain := s.askHolders(ctx, k, service)
	if !certain && s.awaitCurrentList(ctx) {
		// The list of gateways may have changed, too.
		l, certain = s.askHolders(ctx, k, service)
	}
	if !certain {
		l.Origin, l.source = resumption.Origin{}, originUnknown
	}
	l.listAge = s.listAge()
	return l
}

// askHolders asks the holders for the origin of a stream. certain is false if the origin is a version that may not be the only
// one.
func (s *streamOrigins) askHolders(ctx context.Context, k resumption.Key, service string) (l originLookup, certain bool) {
	l = originLookup{source: originUnknown, asked: s.holders(k, askedHolders)}
	replies := s.ask(ctx, l.asked, originQuery{Key: k, Service: service})
	l.answered = len(replies)
	for _, r := range replies {
		if r.Origin != nil {
			l.Origin, l.source, l.age = *r.Origin, originPeer, time.Duration(r.AgeMs)*time.Millisecond
			s.table.Add(resumption.Record{Key: k, Origin: l.Origin})
			return l, true
		}
	}
	version, ok := s.onlyVersion(service, l, replies)
	if !ok {
		return l, true
	}
	l.Origin, l.source = resumption.Origin{Service: service, Version: version}, originOnlyVersion
	return l, s.isKnownCurrent(l, replies)
}

// isKnownCurrent reports whether the list of servers of this gateway or of one that replied is up to date. If none of them
// is, the store may be down for all, so that no server of another version can have joined, or these gateways may be cut off
// from the others: then some of those that were asked do not reply, or none is listed any more.
func (s *streamOrigins) isKnownCurrent(l originLookup, replies []originReply) bool {
	if !s.isBehind() || slices.ContainsFunc(replies, func(r originReply) bool { return !r.Behind }) {
		return true
	}
	return len(l.asked) > 0 && l.answered == len(l.asked)
}

// awaitCurrentList waits until this gateway's list of servers is known to have been current after the call, and reports whether it
// is.
func (s *streamOrigins) awaitCurrentList(ctx context.Context) bool {
	asked := s.clock.Now()
	for s.servers.currentAt().Before(asked) {
		if ctx.Err() != nil || s.clock.Now().Sub(asked) > currentListWait {
			return false
		}
		clock.Sleep(ctx, s.clock, currentListPoll)
	}
	return true
}

// ask asks gateways in parallel and returns their replies. It stops at the first reply that has the origin.
func (s *streamOrigins) ask(ctx context.Context, gateways []string, q originQuery) []originReply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	received := make(chan *originReply, len(gateways))
	for _, id := range gateways {
		go func() {
			reply, err := s.peers.findOrigin(ctx, id, q)
			if err != nil {
				received <- nil
				return
			}
			received <- &reply
		}()
	}
	var replies []originReply
	for range gateways {
		r := <-received
		if r == nil {
			continue
		}
		replies = append(replies, *r)
		if r.Origin != nil {
			break
		}
	}
	return replies
}

// onlyVersion returns the only version that the servers of a service have run for as long as a stream may last. It is not
// certain before this gateway knows the others, nor if none of them answers, since this gateway may be cut off from
// the store's list.
func (s *streamOrigins) onlyVersion(service string, l originLookup, replies []originReply) (string, bool) {
	if service == "" || !s.gateways.knowsOthers() || len(l.asked) > 0 && l.answered == 0 {
		return "", false
	}
	versions, complete := s.versions.Versions(service, s.clock.Now())
	for _, r := range replies {
		versions = append(versions, r.Versions...)
		complete = complete || r.Complete
	}
	slices.Sort(versions)
	versions = slices.Compact(versions)
	if !complete || len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}
