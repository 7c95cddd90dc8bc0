package quota

import "slices"

// maxHeadrooms bounds the entries of a headroomHistory.
const maxHeadrooms = 256

// A headroomHistory holds by how much a bucket could have been fuller, since each of its grants, without overflowing. What
// a grant has taken can be returned up to that amount: the rest would have overflowed meanwhile, had it not been taken.
//
// The lowest headroom since a grant is the lowest of its entry and all later ones. An entry whose headroom is not below
// that of a later one is redundant and removed, so the headrooms increase with the numbers, and the first entry from a
// grant's number on has its lowest headroom. Beyond maxHeadrooms the oldest entries share the lower headroom of the two.
type headroomHistory struct {
	entries []headroom
}

// A headroom is the lowest difference between the burst and the amount in the bucket from a grant to the next entry's.
type headroom struct {
	number uint64
	lowest float64
}

// addGrant adds a grant after which the bucket has the given headroom.
func (h *headroomHistory) addGrant(number uint64, room float64) {
	h.entries = append(h.entries, headroom{number, room})
	if len(h.entries) > maxHeadrooms {
		h.entries[1].lowest = h.entries[0].lowest
		h.entries = slices.Delete(h.entries, 0, 1)
	}
}

// observe records that the bucket was filled up to the given headroom.
func (h *headroomHistory) observe(room float64) {
	if n := len(h.entries); n > 0 {
		h.entries[n-1].lowest = min(h.entries[n-1].lowest, room)
		h.removeRedundant(n - 1)
	}
}

// takeBack returns how much of an amount that a grant has taken can be returned, and records that it was.
func (h *headroomHistory) takeBack(number uint64, amount float64) float64 {
	i := slices.IndexFunc(h.entries, func(x headroom) bool { return x.number >= number })
	if i < 0 {
		return 0
	}
	amount = min(amount, max(h.entries[i].lowest, 0))
	for j := i; j < len(h.entries); j++ {
		h.entries[j].lowest -= amount
	}
	h.removeRedundant(i)
	return amount
}

// removeRedundant removes the entries before entry i whose headroom is not below that of entry i.
func (h *headroomHistory) removeRedundant(i int) {
	first := i
	for first > 0 && h.entries[first-1].lowest >= h.entries[i].lowest {
		first--
	}
	h.entries = slices.Delete(h.entries, first, i)
}
