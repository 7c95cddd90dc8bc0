package quarantine

import (
	"maps"
	"time"
)

// Parameters of an answerMemory.
const (
	// answerWeight is how long an answer outweighs a later crash. Within it, most of the requests that run on a server
	// when it crashes have traits with which others have just been answered.
	answerWeight = 2 * time.Second
	// ignoreWindow is how long after a first crash an earlier answer outweighs further ones, so that servers may crash
	// together. After it, only a new answer outweighs a crash.
	ignoreWindow = 500 * time.Millisecond
	// answerRetention is how long an answer is remembered. It covers the time until other processes report a crash.
	answerRetention = 10 * time.Second
	// maxAnswers is the maximum number of traits that are remembered.
	maxAnswers = 8192
)

// An answerRecord is the last answer to a request with a trait.
type answerRecord struct {
	at time.Time
	// firstCrashAt is when a server first crashed after the answer; zero if none has.
	firstCrashAt time.Time
}

// An answerMemory holds the last answers by trait.
type answerMemory map[Key]answerRecord

// add remembers an answer. A full memory first forgets those that outweigh no further crash, then all.
func (m answerMemory) add(k Key, now time.Time) {
	if _, known := m[k]; !known && len(m) >= maxAnswers {
		m.expireBefore(now.Add(-answerWeight))
		if len(m) >= maxAnswers {
			clear(m)
		}
	}
	m[k] = answerRecord{at: now}
}

// outweigh reports whether an answer outweighs the crash of a server at a time: it came after the crash or shortly
// before it, and no server had crashed since for longer than ignoreWindow.
func (m answerMemory) outweigh(k Key, crashed time.Time) bool {
	r, ok := m[k]
	if !ok || r.at.Before(crashed.Add(-answerWeight)) {
		return false
	}
	if !r.at.Before(crashed) {
		return true
	}
	if r.firstCrashAt.IsZero() {
		r.firstCrashAt = crashed
		m[k] = r
	}
	return crashed.Sub(r.firstCrashAt) <= ignoreWindow
}

// expire removes answers older than answerRetention.
func (m answerMemory) expire(now time.Time) { m.expireBefore(now.Add(-answerRetention)) }

func (m answerMemory) expireBefore(t time.Time) {
	maps.DeleteFunc(m, func(_ Key, r answerRecord) bool { return r.at.Before(t) })
}
