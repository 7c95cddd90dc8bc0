package ledger_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/fleet"
	"rockcleat/ledger"
)

var start = time.Unix(1000, 0)

func load(id, name string, mib int) ledger.Intent {
	return ledger.Intent{ID: id, Op: ledger.OpLoad, Name: name, MemoryMiB: mib, Until: start.Add(time.Minute)}
}

func report(finished []string, residents ...fleet.Resident) ledger.Report {
	return ledger.Report{MemoryMiB: []int{100}, Residents: residents, Finished: finished}
}

func resident(name string, state fleet.State, mib int) fleet.Resident {
	return fleet.Resident{Name: name, State: state, MemoryMiB: mib}
}

func TestReserve(t *testing.T) {
	tests := map[string]struct {
		before []ledger.Intent
		report ledger.Report
		at     time.Time
		intent ledger.Intent
		want   error
	}{
		"fits":             {report: report(nil), at: start, intent: load("1", "a", 100)},
		"too large":        {report: report(nil), at: start, intent: load("1", "a", 101), want: ledger.ErrNoMemory},
		"no accelerator":   {report: report(nil), at: start, intent: ledger.Intent{ID: "1", Accelerator: 1}, want: ledger.ErrNoAccelerator},
		"beside resident":  {report: report(nil, resident("b", fleet.StateReady, 60)), at: start, intent: load("1", "a", 41), want: ledger.ErrNoMemory},
		"beside unloading": {report: report(nil, resident("b", fleet.StateUnloading, 60)), at: start, intent: load("1", "a", 41), want: ledger.ErrNoMemory},
		"beside an order of a former agent": {
			before: []ledger.Intent{load("old", "b", 60)}, report: report(nil), at: start,
			intent: load("1", "a", 41), want: ledger.ErrNoMemory,
		},
		"after that order was finished": {
			before: []ledger.Intent{load("old", "b", 60)}, report: report([]string{"old"}), at: start,
			intent: load("1", "a", 41),
		},
		"after that order can no longer arrive": {
			before: []ledger.Intent{load("old", "b", 60)}, report: report(nil), at: start.Add(2 * time.Minute),
			intent: load("1", "a", 41),
		},
		"while that order still loads": {
			before: []ledger.Intent{load("old", "b", 60)}, report: report(nil, resident("b", fleet.StateLoading, 60)),
			at: start.Add(2 * time.Minute), intent: load("1", "b", 1), want: ledger.ErrBusy,
		},
		"same name outstanding": {
			before: []ledger.Intent{load("old", "a", 10)}, report: report(nil), at: start,
			intent: load("1", "a", 10), want: ledger.ErrBusy,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var l ledger.Ledger
			l.Restore(tc.before)
			l.Settle(tc.report, tc.at)
			assert.ErrorIs(t, l.Reserve(tc.intent), tc.want)
		})
	}
}

// TestLoadCountsOnce guards against memory that is counted both for a load order and for the resident
// that it creates.
func TestLoadCountsOnce(t *testing.T) {
	var l ledger.Ledger
	l.Settle(report(nil), start)
	assert.NilError(t, l.Reserve(load("1", "a", 60)))
	assert.Equal(t, l.Reserved(0), 60)
	l.Settle(report(nil, resident("a", fleet.StateLoading, 60)), start)
	assert.Equal(t, l.Reserved(0), 60)
	l.Settle(report([]string{"1"}, resident("a", fleet.StateReady, 60)), start)
	assert.Equal(t, l.Reserved(0), 60)
	assert.Equal(t, len(l.Intents()), 0)
}

// TestFailedLoadFreesMemory guards against memory that stays reserved after a load has failed.
func TestFailedLoadFreesMemory(t *testing.T) {
	var l ledger.Ledger
	l.Settle(report(nil), start)
	assert.NilError(t, l.Reserve(load("1", "a", 60)))
	l.Settle(report(nil, resident("a", fleet.StateLoading, 60)), start)
	l.Settle(report([]string{"1"}), start)
	assert.Equal(t, l.Reserved(0), 0)
}
