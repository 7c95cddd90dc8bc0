package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	"rockcleat/internal/wire"
	"rockcleat/table"
)

// Tries of a save without an answer.
const (
	// saveTries is how often a save is sent at most.
	saveTries = 4
	// savePause is the time between two tries.
	savePause = 300 * time.Millisecond
)

// save saves the changes as one edit and returns the version that holds it. A save without an
// answer may have taken effect; it is sent again, to the next entry, under the same edit id, which
// takes effect once. Once a try may have taken effect, no later refusal says that it has not.
func (a *app) save(ctx context.Context, changes []table.Change) (uint64, error) {
	c, err := a.client()
	if err != nil {
		return 0, err
	}
	edit := table.Edit{ID: uuid.NewString(), Author: a.author, Time: time.Now().Unix(), Changes: changes}
	unknown := false
	for try := range saveTries {
		addr := a.entries()[try%len(a.entries())]
		var ans wire.SaveAnswer
		err = c.Post(ctx, addr, wire.PathTable, wire.SaveRequest{Edit: edit}, &ans)
		if err == nil {
			return ans.Version, nil
		}
		final, mayHave := saveError(err)
		if final != nil && !unknown {
			return 0, final
		}
		unknown = unknown || mayHave
		time.Sleep(savePause)
	}
	if unknown {
		return 0, fmt.Errorf("%w: edit %s: %w", table.ErrSaveUnknown, edit.ID, err)
	}
	return 0, err
}

// saveError returns the error that ends a save, and whether the save may have
// taken effect nevertheless.
func saveError(err error) (final error, mayHave bool) {
	var s *wire.StatusError
	if !errors.As(err, &s) {
		return nil, !errors.Is(err, wire.ErrNotSent)
	}
	var ans wire.SaveAnswer
	// A body that is no answer leaves the message empty; the status decides.
	_ = json.Unmarshal(s.Body, &ans)
	switch s.Status {
	case http.StatusUnprocessableEntity:
		return &table.InvalidError{Errors: ans.Errors}, false
	case http.StatusConflict:
		return fmt.Errorf("%w: %s", table.ErrRowConflict, ans.Message), false
	case http.StatusUnauthorized:
		return errors.New("the shared secret is missing or wrong; set ROCKCLEAT_SECRET or -secret-file"), false
	case http.StatusServiceUnavailable:
		return nil, false
	}
	return nil, true
}
