package quarantine

import "time"

// DefaultCrashThreshold is the default number of server instances that must crash with a trait before it is
// quarantined. With a lower number, harmless requests that are repeated while servers crash for other reasons would
// be refused; with a higher number, each poison message would crash more servers. docs/design/0013 computes the
// probability.
const DefaultCrashThreshold = 3

// DefaultDuration is the default duration of a first quarantine of a Content. A caller that repeats a request each second
// crashes three servers in that time instead of some 600.
const DefaultDuration = 10 * time.Minute

// A kindRule says which crashes and answers count for the traits of one kind.
type kindRule struct {
	// minTrials is the number of crashes in trials that a quarantine needs. A trait that many requests share rides on
	// every server that crashes, for whatever reason, but rarely on one that crashes during its trial.
	minTrials int
	// durationDivisor divides Options.Duration. A quarantine that many sound requests share is tested earlier.
	durationDivisor int
	// sharedMinCrashes is the number of crashes from which on all processes learn of the trait.
	sharedMinCrashes int
	// remembersAnswers reports whether an answer is remembered for some time, in case a crash is reported later.
	remembersAnswers bool
}

// kindRules holds the rule of each kind.
var kindRules = map[Kind]kindRule{
	// No process acts on a single crash with a Content, and each crash leaves as many of them as requests were running.
	Content: {durationDivisor: 1, sharedMinCrashes: 2},
	// Requests with a suspected Part come to all processes, which must not send them together.
	Part: {minTrials: 2, durationDivisor: 5, sharedMinCrashes: 1, remembersAnswers: true},
}

// ruleOf returns the rule of a kind. A kind of a newer version of the program gets the rule of Content.
func ruleOf(k Kind) kindRule {
	if r, ok := kindRules[k]; ok {
		return r
	}
	return kindRules[Content]
}

// maxCrashes is the maximum number of crashes that a record keeps, and of those in trials.
const maxCrashes = 8

// maxDoublings limits how often the quarantine time of a trait doubles, to 32 times the first.
const maxDoublings = 5

// A Scope selects the records that are sent to a peer.
type Scope bool

const (
	// AllRecords selects all records. It is for peers that combine the records of several processes: the leader,
	// a planner or another entry.
	AllRecords Scope = false
	// SharedRecords leaves out records on which no other process acts yet.
	SharedRecords Scope = true
)

// includes reports whether the scope includes an entry.
func (s Scope) includes(e *entry) bool {
	return s == AllRecords || e.generation > 0 || len(e.servers) >= ruleOf(e.kind).sharedMinCrashes
}

// maxRecords is the maximum number of traits in a table. Traits with the fewest crashes, and among these the
// oldest, are removed first. A full table takes 0.8 MB if each trait has one crash. 146 servers of 24 slots that
// crash together leave 3,504 requests.
const maxRecords = 4096

// recordsAfterEviction is the number of traits that remain when a table that exceeds maxRecords is reduced. It is
// lower than maxRecords so that a full table is not sorted for every new trait.
const recordsAfterEviction = maxRecords * 3 / 4

// maxMessageRecords is the maximum number of records in a message, which limits it to some 21 KB: a record takes 84 bytes
// with one crash. The others follow in the next messages.
const maxMessageRecords = 256

// isConfirmed reports whether the crashes of an entry suffice for a quarantine.
func (o *Options) isConfirmed(e *entry) bool {
	return len(e.servers) >= o.CrashThreshold && len(e.trials) >= ruleOf(e.kind).minTrials
}

// quarantineTime returns how long a quarantine lasts after the last crash. It doubles with each crash beyond the least
// number that suffices.
func (o *Options) quarantineTime(e *entry) time.Duration {
	rule := ruleOf(e.kind)
	excess := len(e.servers) - o.CrashThreshold
	if rule.minTrials > 0 {
		excess = len(e.trials) - rule.minTrials
	}
	return o.Duration / time.Duration(rule.durationDivisor) << min(max(excess, 0), maxDoublings)
}

// retentionTime returns how long a record is kept after its last crash. The record of a quarantined trait is kept
// for twice the quarantine time, so that a single further crash in the second half starts the next quarantine. Other
// records are kept for the duration of a first quarantine.
func (o *Options) retentionTime(e *entry) time.Duration {
	if !o.isConfirmed(e) {
		return o.Duration / time.Duration(ruleOf(e.kind).durationDivisor)
	}
	return 2 * o.quarantineTime(e)
}
