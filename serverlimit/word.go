package serverlimit

// A word is an update of a server's limit.
type update struct {
	// sequence is one above the sequence of the update that this one replaces.
	sequence uint64
	limited  bool
	// perSecond is the limit if limited is true, in requests per second.
	perSecond float64
}

// isNewerThan reports whether w replaces o. Of two updates with the same sequence, made by different processes, the
// one with the lower limit replaces the other, and one with a limit replaces one without. The next response of the
// server corrects the result if necessary.
func (w update) isNewerThan(o update) bool {
	if w.sequence != o.sequence {
		return w.sequence > o.sequence
	}
	if w.limited != o.limited {
		return w.limited
	}
	return w.limited && w.perSecond < o.perSecond
}

// transition returns how the next update changes the limit; changed is false if the limit remains the same.
func (w update) transition(next update) (s State, changed bool) {
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
