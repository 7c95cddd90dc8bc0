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

// Attempts of a save.
const (
	// maxSaveAttempts is the maximum number of attempts.
	maxSaveAttempts = 4
	// saveRetryDelay is the delay between two attempts.
	saveRetryDelay = 300 * time.Millisecond
)

// save saves the changes as one edit and returns the table version that contains it. A save without
// a response may have taken effect. It is retried at the next entry with the same edit id, which takes
// effect at most once. After an attempt that may have taken effect, a later rejection does not prove
// that the edit was not saved, so the outcome stays unknown.
func (a *app) save(ctx context.Context, changes []table.Change) (uint64, error) {
	c, err := a.client()
	if err != nil {
		return 0, err
	}
	edit := table.Edit{ID: uuid.NewString(), Author: a.author, Time: time.Now().Unix(), Changes: changes}
	unknown := false
	for attempt := range maxSaveAttempts {
		addr := a.entries()[attempt%len(a.entries())]
		var resp wire.SaveResponse
		err = c.Post(ctx, addr, wire.PathTable, wire.SaveRequest{Edit: edit}, &resp)
		if err == nil {
			return resp.Version, nil
		}
		final, maybeSaved := saveError(err)
		if final != nil && !unknown {
			return 0, final
		}
		unknown = unknown || maybeSaved
		time.Sleep(saveRetryDelay)
	}
	if unknown {
		return 0, fmt.Errorf("%w: edit %s: %w", table.ErrSaveUnknown, edit.ID, err)
	}
	return 0, err
}

// saveError classifies the error of an attempt: final is set if no other attempt is due, and maybeSaved
// reports whether the attempt may have taken effect.
func saveError(err error) (final error, maybeSaved bool) {
	var s *wire.StatusError
	if !errors.As(err, &s) {
		return nil, !errors.Is(err, wire.ErrNotSent)
	}
	var resp wire.SaveResponse
	// If the body cannot be decoded, the message stays empty and the status alone decides.
	_ = json.Unmarshal(s.Body, &resp)
	switch s.Status {
	case http.StatusUnprocessableEntity:
		return &table.InvalidError{Errors: resp.Errors}, false
	case http.StatusConflict:
		return fmt.Errorf("%w: %s", table.ErrRowConflict, resp.Message), false
	case http.StatusUnauthorized:
		return errors.New("the shared secret is missing or wrong; set ROCKCLEAT_SECRET or -secret-file"), false
	case http.StatusServiceUnavailable:
		return nil, false
	}
	return nil, true
}
