package table_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/clock/clocktest"
	"rockcleat/internal/standin"
	"rockcleat/internal/standin/standintest"
	"rockcleat/kv"
	"rockcleat/table"
)

func mustSave(t *testing.T, l *table.Log, id string, changes ...table.Change) *table.Table {
	t.Helper()
	tab, err := l.Save(context.Background(), table.Edit{ID: id, Changes: changes})
	assert.NilError(t, err)
	return tab
}

func TestSaveConflicts(t *testing.T) {
	_, store := standintest.KV(t)
	l := table.NewLog(store, clocktest.Real{}, nil)
	mustSave(t, l, "first", rowChange("a", 1, 0), rowChange("b", 1, 0))
	tests := map[string]struct {
		change table.Change
		want   error
	}{
		"row seen as it is":       {rowChange("a", 2, 1), nil},
		"row changed since":       {rowChange("a", 3, 1), table.ErrRowConflict},
		"other row":               {rowChange("b", 2, 1), nil},
		"row thought absent":      {rowChange("b", 9, 0), table.ErrRowConflict},
		"removal of changed row":  {table.Change{Name: "a", Seen: 1}, table.ErrRowConflict},
		"table that fails checks": {rowChange("a b", 1, 0), table.ErrInvalid},
	}
	for _, name := range []string{
		"row seen as it is", "row changed since", "other row", "row thought absent", "removal of changed row",
		"table that fails checks",
	} {
		t.Run(name, func(t *testing.T) {
			before, _, err := l.Load(context.Background(), &table.Table{})
			assert.NilError(t, err)
			_, err = l.Save(context.Background(), table.Edit{ID: name, Changes: []table.Change{tests[name].change}})
			assert.ErrorIs(t, err, tests[name].want)
			after, _, err := l.Load(context.Background(), &table.Table{})
			assert.NilError(t, err)
			if tests[name].want != nil {
				assert.Equal(t, before.Version(), after.Version())
			}
		})
	}
}

// TestSaveLostAnswer guards against an edit that is applied twice because the response of a
// successful write was lost or the edit was saved again under its ID.
func TestSaveLostAnswer(t *testing.T) {
	for lost := range 4 {
		t.Run(fmt.Sprint(lost, " lost"), func(t *testing.T) {
			s, store := standintest.KV(t)
			l := table.NewLog(store, clocktest.Real{}, nil)
			mustSave(t, l, "first", rowChange("a", 1, 0))
			s.SetFaults(standin.Faults{LoseAnswers: lost})
			tab := mustSave(t, l, "second", rowChange("a", 2, 1))
			assert.Equal(t, tab.Version(), uint64(2))
			assert.Equal(t, mustSave(t, l, "second", rowChange("a", 2, 1)).Version(), uint64(2))
			edits, err := l.History(context.Background())
			assert.NilError(t, err)
			assert.Equal(t, len(edits), 2)
		})
	}
}

// lossyStore loses the response of the first write, which takes effect only if takesEffect is set.
// It calls afterWrite before the write returns.
type lossyStore struct {
	kv.Store
	takesEffect bool
	afterWrite  func()
	lost        bool
}

func (s *lossyStore) Put(ctx context.Context, w kv.Write) (kv.Revision, error) {
	if s.lost {
		return s.Store.Put(ctx, w)
	}
	s.lost = true
	if s.takesEffect {
		if _, err := s.Store.Put(ctx, w); err != nil {
			return 0, err
		}
	}
	s.afterWrite()
	return 0, kv.ErrUnknown
}

// TestSaveLostAnswerThenOther guards against a wrong outcome or a lost edit when another
// operator saves between a write whose response was lost and the next attempt.
func TestSaveLostAnswerThenOther(t *testing.T) {
	tests := map[string]struct {
		effect bool
		other  table.Change
		want   error
		weight int
	}{
		"took effect, other row":    {true, rowChange("b", 5, 0), nil, 2},
		"no effect, other row":      {false, rowChange("b", 5, 0), nil, 2},
		"took effect, same row":     {true, rowChange("a", 5, 2), nil, 5},
		"no effect, same row first": {false, rowChange("a", 5, 1), table.ErrRowConflict, 5},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, store := standintest.KV(t)
			l := table.NewLog(store, clocktest.Real{}, nil)
			mustSave(t, l, "first", rowChange("a", 1, 0))
			lossy := &lossyStore{Store: store, takesEffect: tc.effect, afterWrite: func() { mustSave(t, l, "other", tc.other) }}
			mine := table.Edit{ID: "mine", Changes: []table.Change{rowChange("a", 2, 1)}}
			_, err := table.NewLog(lossy, clocktest.Real{}, nil).Save(context.Background(), mine)
			assert.ErrorIs(t, err, tc.want)
			tab, _, err := l.Load(context.Background(), &table.Table{})
			assert.NilError(t, err)
			r, _ := tab.Row("a")
			assert.Equal(t, r.Weight, tc.weight)
		})
	}
}

func TestSaveReportsUnknownOutcome(t *testing.T) {
	store := &unknownStore{}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := table.NewLog(store, clocktest.Real{}, nil).Save(ctx, table.Edit{ID: "e", Changes: []table.Change{rowChange("a", 1, 0)}})
	assert.ErrorIs(t, err, table.ErrSaveUnknown)
}

// unknownStore loses the response of every write.
type unknownStore struct{ kv.Store }

func (*unknownStore) Get(context.Context, string) (kv.Entry, error) {
	return kv.Entry{}, kv.ErrNotFound
}
func (*unknownStore) Put(context.Context, kv.Write) (kv.Revision, error) {
	return 0, kv.ErrUnknown
}

// TestSaveRace guards against edits lost to concurrent saves of different rows.
func TestSaveRace(t *testing.T) {
	_, store := standintest.KV(t)
	const operators, edits = 4, 30
	var wg sync.WaitGroup
	for o := range operators {
		wg.Add(1)
		go func() {
			defer wg.Done()
			l := table.NewLog(store, clocktest.Real{}, nil)
			seen := uint64(0)
			for i := range edits {
				name := fmt.Sprintf("row-%d", o)
				e := table.Edit{ID: fmt.Sprintf("%d-%d", o, i), Changes: []table.Change{rowChange(name, i+1, seen)}}
				tab, err := l.Save(context.Background(), e)
				if !assert.Check(t, err) {
					return
				}
				r, _ := tab.Row(name)
				seen = r.Version
			}
		}()
	}
	wg.Wait()
	tab, _, err := table.NewLog(store, clocktest.Real{}, nil).Load(context.Background(), &table.Table{})
	assert.NilError(t, err)
	assert.Equal(t, tab.Version(), uint64(operators*edits))
	assert.Equal(t, tab.Len(), operators)
	for _, r := range tab.Rows() {
		assert.Equal(t, r.Weight, edits)
	}
}

// TestLoadAcrossSnapshots checks that Load returns the same table whichever older version
// the caller has.
func TestLoadAcrossSnapshots(t *testing.T) {
	_, store := standintest.KV(t)
	l := table.NewLog(store, clocktest.Real{}, nil)
	versions := []*table.Table{{}}
	for i := range 150 {
		r, _ := versions[i].Row("m")
		versions = append(versions, mustSave(t, l, fmt.Sprint(i), rowChange("m", i%1000+1, r.Version)))
	}
	newest := versions[150]
	for _, have := range versions {
		got, _, err := l.Load(context.Background(), have)
		assert.NilError(t, err)
		assert.Equal(t, got.Version(), newest.Version())
		assert.DeepEqual(t, got.Rows(), newest.Rows())
	}
}
