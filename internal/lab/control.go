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

// Fault gives faults to a stand-in.
func Fault(ctx context.Context, url string, f standin.Faults) error {
	return send(ctx, http.MethodPut, url+standin.PathFault, f, nil)
}

// Fetch reads JSON from a stand-in.
func Fetch(ctx context.Context, url string, out any) error {
	return send(ctx, http.MethodGet, url, nil, out)
}

// send sends JSON and decodes the answer.
func send(ctx context.Context, method, url string, in, out any) error {
	var body bytes.Buffer
	if in != nil {
		if err := json.NewEncoder(&body).Encode(in); err != nil {
			return eris.Wrap(err, "lab: encode")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, &body)
	if err != nil {
		return eris.Wrap(err, "lab: make request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "lab: send")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("lab: %s %s: status %d", method, url, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return eris.Wrap(json.NewDecoder(resp.Body).Decode(out), "lab: decode")
}

// NewControlClient returns a client for the processes' control interfaces.
func NewControlClient() *wire.Client {
	return wire.NewClient(Secret, wire.NewTransport(&wire.TrafficCounter{}))
}

// SaveChanges saves changes as one edit through the first live entry.
func (s *System) SaveChanges(ctx context.Context, changes []table.Change) (uint64, error) {
	e := table.Edit{ID: uuid.NewString(), Author: "lab", Time: time.Now().Unix(), Changes: changes}
	return s.SaveEdit(ctx, s.Entries[0], e)
}

// SaveEdit saves an edit through an entry.
func (s *System) SaveEdit(ctx context.Context, n *Node, e table.Edit) (uint64, error) {
	var a wire.SaveResponse
	err := NewControlClient().Post(ctx, n.Control, wire.PathTable, wire.SaveRequest{Edit: e}, &a)
	return a.Version, err
}

// Status returns an entry's status, with the table version of each VM if asked.
func (s *System) Status(ctx context.Context, n *Node, versions bool) (wire.StatusResponse, error) {
	path := wire.PathStatus
	if versions {
		path += "?versions=1"
	}
	var a wire.StatusResponse
	err := NewControlClient().Get(ctx, n.Control, path, &a)
	return a, err
}

// AwaitRowsReady waits until every entry knows a place for every row.
func (s *System) AwaitRowsReady(ctx context.Context) error {
	for _, e := range s.Entries {
		if e.Exited() {
			continue
		}
		if err := WaitUntil(ctx, "every row has a place in the eyes of "+e.ID, func() bool { return s.placed(ctx, e) }); err != nil {
			return err
		}
	}
	return nil
}

// placed reports whether an entry knows a ready place for every row.
func (s *System) placed(ctx context.Context, e *Node) bool {
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

// AwaitTableVersion waits until every VM that answers has the table version in force.
func (s *System) AwaitTableVersion(ctx context.Context, version uint64) error {
	return WaitUntil(ctx, fmt.Sprintf("version %d is in force on every VM", version), func() bool {
		return s.inForce(ctx, version)
	})
}

// inForce reports whether every daemon that runs has the version.
func (s *System) inForce(ctx context.Context, version uint64) bool {
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
