package serverlimit

// An update is one state of a server's limit, with its place in the sequence of states.
type update struct {
	// sequence is one above the sequence of the update that this one replaces.
	sequence uint64
	limited  bool
	// perSecond is the limit if limited is true, in requests per second.
	perSecond float64
}

// isNewerThan reports whether u replaces other. Of two updates with the same sequence, made by different processes, the
// one with the lower limit replaces the other, and one with a limit replaces one without. The next response of the
// server corrects the result if necessary.
func (u update) isNewerThan(other update) bool {
	if u.sequence != other.sequence {
		return u.sequence > other.sequence
	}
	if u.limited != other.limited {
		return u.limited
	}
	return u.limited && u.perSecond < other.perSecond
}

// transition returns how the next update changes the limit; changed is false if the limit remains the same.
func (u update) transition(next update) (s State, changed bool) {
	switch {
	case next.limited && !u.limited:
		return Began, true
	case !next.limited && u.limited:
		return Ended, true
	case next.limited && next.perSecond != u.perSecond:
		return Changed, true
	}
	return "", false
}
