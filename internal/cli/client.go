package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"

	"rockcleat/internal/wire"
	"rockcleat/table"
)

// Tries of a save whose outcome is unknown.
const (
	saveTries = 4
	savePause = 300 * time.Millisecond
)

// client returns a client with the shared secret.
func (a *app) client() (*wire.Client, error) {
	secret := a.secret
	if a.file != "" {
		data, err := os.ReadFile(a.file)
		if err != nil {
			return nil, err
		}
		secret = strings.TrimSpace(string(data))
	}
	return wire.NewClient(secret, &wire.Traffic{}), nil
}

func (a *app) entries() []string { return strings.Split(a.entry, ",") }

// get asks the entries in turn until one answers.
func (a *app) get(ctx context.Context, path string, out any) error {
	c, err := a.client()
	if err != nil {
		return err
	}
	for _, addr := range a.entries() {
		if err = c.Get(ctx, addr, path, out); err == nil {
			return nil
		}
	}
	return err
}

// save saves the changes as one edit and returns the version that holds it.
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
