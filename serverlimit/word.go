package serverlimit

// A word is what is known of a server's limit.
type word struct {
	// sequence is one above that of the word that this one replaces.
	sequence uint64
	limited  bool
	// perSecond is the limit, if there is one.
	perSecond float64
}

// isNewerThan reports whether a word replaces another one. Of two that replaced the same word the one that
// allows less counts: both may be true of the same moment, and the server's next answer decides.
func (w word) isNewerThan(o word) bool {
	if w.sequence != o.sequence {
		return w.sequence > o.sequence
	}
	if w.limited != o.limited {
		return w.limited
	}
	return w.limited && w.perSecond < o.perSecond
}

// stateAfter returns what has become of the limit when another word follows; changed is false if it stands
// as before.
func (w word) stateAfter(next word) (s State, changed bool) {
	switch {
	case next.limited && !w.limited:
		return Began, true
	case !next.limited && w.limited:
		return Ended, true
	case next.limited && next.perSecond != w.perSecond:
		return Changed, true
	}
	return "", false
}
