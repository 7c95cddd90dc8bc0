package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"rockcleat/internal/standin"
	"rockcleat/internal/wire"
	"rockcleat/table"
)

// Fault replaces the faults that the stand-in at url injects.
func Fault(ctx context.Context, url string, f standin.Faults) error {
	return sendJSON(ctx, http.MethodPut, url+standin.PathFault, f, nil)
}

// Fetch gets url from a stand-in and decodes the JSON response into out.
func Fetch(ctx context.Context, url string, out any) error {
	return sendJSON(ctx, http.MethodGet, url, nil, out)
}

// sendJSON sends in as JSON, if it is not nil, and decodes the response into out, if that is not
// nil. Any status other than 200 is an error.
func sendJSON(ctx context.Context, method, url string, in, out any) error {
	var body bytes.Buffer
	if in != nil {
		if err := json.NewEncoder(&body).Encode(in); err != nil {
			return eris.Wrap(err, "lab: encode request body")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, &body)
	if err != nil {
		return eris.Wrap(err, "lab: create request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "lab: send request")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("lab: %s %s: unexpected status %d", method, url, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return eris.Wrap(json.NewDecoder(resp.Body).Decode(out), "lab: decode response")
}

// NewControlClient returns a new client for the control interfaces of entries and agents.
func NewControlClient() *wire.Client {
	return wire.NewClient(Secret, wire.NewTransport(&wire.TrafficCounter{}))
}

// SaveChanges saves changes as one edit through the first entry and returns its table version.
func (s *System) SaveChanges(ctx context.Context, changes []table.Change) (uint64, error) {
	e := table.Edit{ID: uuid.NewString(), Author: "lab", Time: time.Now().Unix(), Changes: changes}
	return s.SaveEdit(ctx, s.Entries[0], e)
}

// SaveEdit saves an edit through an entry and returns the table version that the entry reports.
func (s *System) SaveEdit(ctx context.Context, n *Node, e table.Edit) (uint64, error) {
	var a wire.SaveResponse
	err := NewControlClient().Post(ctx, n.Control, wire.PathTable, wire.SaveRequest{Edit: e}, &a)
	return a.Version, err
}

// Status returns the status of an entry. If versions is set, it includes the table version of
// each VM.
func (s *System) Status(ctx context.Context, n *Node, versions bool) (wire.StatusResponse, error) {
	path := wire.PathStatus
	if versions {
		path += "?versions=1"
	}
	var a wire.StatusResponse
	err := NewControlClient().Get(ctx, n.Control, path, &a)
	return a, err
}

// AwaitRowsReady waits until every running entry lists a ready server for every row.
func (s *System) AwaitRowsReady(ctx context.Context) error {
	for _, e := range s.Entries {
		if e.Exited() {
			continue
		}
		if err := WaitUntil(ctx, "every row has a place in the eyes of "+e.ID, func() bool { return s.allRowsReady(ctx, e) }); err != nil {
			return err
		}
	}
	return nil
}

// allRowsReady reports whether an entry lists a ready server for every row.
func (s *System) allRowsReady(ctx context.Context, e *Node) bool {
	st, err := s.Status(ctx, e, false)
	if err != nil {
		return false
	}
	ready := make(map[string]bool)
	for _, srv := range st.Servers {
		for _, r := range srv.Residents {
			if r.State == "ready" && !srv.Leaving {
				ready[r.Name] = true
			}
		}
		for _, n := range srv.Services {
			ready[n] = true
		}
	}
	for _, r := range s.opts.Rows {
		if !ready[r.Name] {
			return false
		}
	}
	return true
}

// AwaitTableVersion waits until every running daemon has applied the table version or a later one.
func (s *System) AwaitTableVersion(ctx context.Context, version uint64) error {
	return WaitUntil(ctx, fmt.Sprintf("version %d is in force on every VM", version), func() bool {
		return s.allApplied(ctx, version)
	})
}

// allApplied reports whether every running daemon responds with the table version or a later one.
func (s *System) allApplied(ctx context.Context, version uint64) bool {
	for _, n := range s.nodes() {
		var v wire.VersionResponse
		if n.Exited() {
			continue
		}
		if err := NewControlClient().Get(ctx, n.Control, wire.PathStatus, &v); err != nil || v.TableVersion < version {
			return false
		}
	}
	return true
}
