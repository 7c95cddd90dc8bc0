package quarantine

import "time"

// DefaultCrashThreshold is the default number of server instances that must crash with a request before it is
// quarantined. With a lower number, harmless requests that are repeated while servers crash for other reasons would
// be refused; with a higher number, each poison message would crash more servers. docs/design/0013 computes the
// probability.
const DefaultCrashThreshold = 3

// DefaultDuration is the default duration of a first quarantine. A caller that repeats a request each second crashes
// three servers in that time instead of some 600.
const DefaultDuration = 10 * time.Minute

// maxCrashes is the maximum number of crashes that a record keeps. It also limits how often the quarantine time of a
// request doubles: five times with DefaultCrashThreshold, to 32 times the first.
const maxCrashes = 8

// Minimum numbers of crashes of a request for its record to be sent to a peer.
const (
	// AllRecords selects all records. It is for peers that combine the records of several processes: the leader,
	// a planner or another entry.
	AllRecords = 0
	// SharedMinCrashes leaves out requests with a single crash, which no process acts on. Each crash of a server
	// leaves as many of them as requests were running on it.
	SharedMinCrashes = 2
)

// maxRecords is the maximum number of requests in a table. Requests with the fewest crashes, and among these the
// oldest, are removed first. A full table takes 0.54 MB if each request has one crash. 146 servers of 24 slots that
// crash together leave 3,504 requests.
const maxRecords = 4096

// recordsAfterEviction is the number of requests that remain when a table that exceeds maxRecords is reduced. It is
// lower than maxRecords so that a full table is not sorted for every new request.
const recordsAfterEviction = maxRecords * 3 / 4

// maxMessageRecords is the maximum number of records in a message, which limits it to some 21 KB: a record takes 84 bytes
// with one crash. The others follow in the next messages.
const maxMessageRecords = 256

// quarantineTime returns how long a quarantine lasts after the last crash: the time first for threshold crashes,
// doubled for each further one up to maxCrashes.
func quarantineTime(first time.Duration, crashes, threshold int) time.Duration {
	return first << max(min(crashes, maxCrashes)-threshold, 0)
}

// retentionTime returns how long a record is kept after its last crash. The record of a quarantined request is kept
// for twice the quarantine time, so that a single further crash in the second half starts the next quarantine. Other
// records are kept for the duration of a first quarantine.
func retentionTime(first time.Duration, crashes, threshold int) time.Duration {
	if crashes < threshold {
		return first
	}
	return 2 * quarantineTime(first, crashes, threshold)
}
