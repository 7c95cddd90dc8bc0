package kv

import (
	"time"

	"rockcleat/clock"
)

// listProgressTime is how long a list by the service counts as in progress, and how long a transfer counts
// as in progress after the last check that it goes on. Other processes then stop waiting for it: the service
// may not respond.
const listProgressTime = 1500 * time.Millisecond

// Listing returns those of the prefixes that another process uses of which this process is about to know
// all entries: its first list of them is in progress.
func (f *Fanout) Listing(used Progress) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock.Now()
	var prefixes []string
	for prefix := range used.Revisions {
		if l := f.logs[prefix]; l != nil && l.isListing(now) {
			prefixes = append(prefixes, prefix)
		}
	}
	return prefixes
}

// IsListing reports whether the first list of any prefix is in progress.
func (f *Fanout) IsListing() bool { return len(f.Listing(f.Progress())) > 0 }

// ExtendListWait lets the first list of each of the given prefixes wait for forwarded data until the given
// time, because another process is about to forward them. A time that has passed ends an earlier extension.
func (f *Fanout) ExtendListWait(prefixes []string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, prefix := range prefixes {
		if l := f.logs[prefix]; l != nil {
			l.waitUntil = until
		}
	}
}

// BeginTransfer records that another process begins to send all entries of a prefix. The first list of the
// prefix waits until EndTransfers, however long that takes.
func (f *Fanout) BeginTransfer(prefix string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.logs[prefix]; l != nil {
		l.transferring = true
	}
}

// EndTransfers records that all transfers have failed or their entries have been applied.
func (f *Fanout) EndTransfers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.logs {
		l.transferring = false
	}
}

// listWaitEnd returns the time until which a first list that began at a given time waits for forwarded data.
// f.mu must be held.
func (f *Fanout) listWaitEnd(l *changeLog, began, now time.Time) time.Time {
	end := began.Add(f.listWait())
	if l.transferring {
		return clock.Later(end, now.Add(listProgressTime))
	}
	// Data that is older than maxAge would be read from the service in any case.
	return clock.Later(end, clock.Earlier(l.waitUntil, began.Add(f.maxAge())))
}

// isListing reports whether the first list of the prefix is in progress and may end soon.
func (l *changeLog) isListing(now time.Time) bool {
	return l.to == 0 && !l.listFailed && now.Before(l.listingUntil)
}

// beginServiceList records that the service is asked for a list of a prefix.
func (f *Fanout) beginServiceList(prefix string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log(prefix).listingUntil = now.Add(listProgressTime)
}

// recordListFailed records that the service has failed to list a prefix.
func (f *Fanout) recordListFailed(prefix string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log(prefix).listFailed = true
}
