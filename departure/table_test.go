package departure_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/clock/clocktest"
	"rockcleat/departure"
)

func TestFirstAnnouncementIsReported(t *testing.T) {
	var reported []departure.Announcement
	c := clocktest.New(time.Unix(0, 0))
	table := departure.New(departure.Options{Clock: c, OnAnnouncement: func(a departure.Announcement) { reported = append(reported, a) }})
	assert.Assert(t, !table.HasAnnounced("a"))
	assert.Assert(t, table.Observe("a"))
	assert.Assert(t, !table.Observe("a"))
	assert.Assert(t, table.HasAnnounced("a"))
	assert.Assert(t, !table.HasAnnounced("b"))
	assert.DeepEqual(t, reported, []departure.Announcement{{Server: "a", Origin: departure.OriginLocal}})
}

// TestAnnouncementOutlastsItsListing checks that an announcement is dropped some time after its server has left the
// list, and not while the server is listed.
func TestAnnouncementOutlastsItsListing(t *testing.T) {
	tests := map[string]struct {
		isListed bool
		after    time.Duration
		want     bool
	}{
		"listed for long":  {isListed: true, after: time.Hour, want: true},
		"just delisted":    {after: 30 * time.Second, want: true},
		"delisted earlier": {after: 3 * time.Minute, want: false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := clocktest.New(time.Unix(0, 0))
			table := departure.New(departure.Options{Clock: c})
			table.Observe("a")
			c.Advance(test.after)
			table.Expire(func(string) bool { return test.isListed })
			assert.Equal(t, table.HasAnnounced("a"), test.want)
		})
	}
}
