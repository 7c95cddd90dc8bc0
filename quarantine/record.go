package quarantine

import (
	"slices"
	"time"
)

// A Record is what is known of one request, as processes tell each other.
type Record struct {
	Key Key `json:"k"`
	// Round counts how often the ends were voided. Ends of an earlier round count no more.
	Round uint32 `json:"r,omitempty"`
	// Servers are the ids of the runs that have ended under copies of the request in this round.
	Servers []string `json:"s,omitempty"`
	// AgeMs is the time since the last end, or since the ends were voided, in milliseconds.
	AgeMs int64 `json:"a"`
}

// atResolution is the difference from which on the time of a last end is news. Each process that hands
// a record on makes it younger by the time that the message takes.
const atResolution = time.Second

// An entry is a record in a table.
type entry struct {
	round uint32
	// servers is sorted.
	servers []string
	// at is when the last server ended, or the ends were voided.
	at time.Time
	// version is that of the table at the entry's last change.
	version uint64
}

// add adds the end of a server at a time and reports whether that is news.
func (e *entry) add(server string, at time.Time) bool {
	i, known := slices.BinarySearch(e.servers, server)
	if known {
		return false
	}
	if len(e.servers) < maxEnds {
		e.servers = slices.Insert(e.servers, i, server)
	}
	if at.After(e.at) {
		e.at = at
	}
	return true
}

// void makes the ends count no more.
func (e *entry) void(now time.Time) {
	e.round++
	e.servers = nil
	e.at = now
}

// merge takes in what another process knows, whose last end was at a time, and reports whether that is
// news: a later round replaces this one, ends of the same round add up.
func (e *entry) merge(r Record, at time.Time) (news bool) {
	if r.Round < e.round {
		return false
	}
	if r.Round > e.round {
		e.round, e.servers, e.at = r.Round, nil, at
		news = true
	}
	if at.Sub(e.at) > atResolution {
		e.at = at
		news = true
	}
	for _, server := range r.Servers {
		if len(e.servers) < maxEnds && e.add(server, at) {
			news = true
		}
	}
	return news
}

// record returns the entry as it is sent to others.
func (e *entry) record(k Key, now time.Time) Record {
	return Record{Key: k, Round: e.round, Servers: slices.Clone(e.servers), AgeMs: max(now.Sub(e.at).Milliseconds(), 0)}
}
