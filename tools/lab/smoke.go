package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"rockcleat/internal/inventory"
	"rockcleat/internal/lab"
	"rockcleat/internal/openai"
	"rockcleat/internal/standin"
	"rockcleat/internal/wire"
	"rockcleat/table"
)

// smokeTimeout is the timeout of the whole smoke test.
const smokeTimeout = 2 * time.Minute

// Lengths of the smoke test's streams, in tokens.
const (
	shortStream = 20
	longStream  = 300
)

// A smokeTest runs a small system and uses each of its parts once.
type smokeTest struct {
	*lab.System
	caller *lab.Caller
	notes  []string
}

func smoke(ctx context.Context, bin, dir string) error {
	ctx, cancel := context.WithTimeout(ctx, smokeTimeout)
	defer cancel()
	started := time.Now()
	s, err := lab.Start(ctx, lab.SmallOptions(bin, dir))
	if err != nil {
		return eris.Wrapf(err, "logs in %s", dir)
	}
	defer s.Stop()
	t := &smokeTest{System: s, caller: lab.NewCaller()}
	t.note("placed %.1fs", time.Since(started).Seconds())
	for _, step := range []func(context.Context) error{t.stream, t.adapter, t.repeatedCall, t.edit, t.stopEntry, t.stopAll} {
		if err := step(ctx); err != nil {
			return eris.Wrapf(err, "logs in %s", dir)
		}
	}
	fmt.Print("smoke: ok")
	for _, n := range t.notes {
		fmt.Print("; ", n)
	}
	fmt.Println()
	return nil
}

func (t *smokeTest) note(format string, args ...any) {
	t.notes = append(t.notes, fmt.Sprintf(format, args...))
}

// chat sends a streamed chat request and checks that the response is complete and belongs to the request.
func (t *smokeTest) chat(ctx context.Context, addr, model, prompt string, tokens int) (lab.Response, error) {
	body := lab.ChatBody(model, prompt, tokens, true)
	a := t.caller.Send(ctx, lab.Request{Addr: addr, Body: body})
	req, err := openai.ParseRequest(body)
	if err != nil {
		return a, err
	}
	if !a.Complete || a.Outcome != wire.OutcomeAnswered || a.Text != standin.ResponseText(req, tokens) {
		return a, eris.Errorf("smoke: %s: incomplete or wrong response: status %d, outcome %q, %d of %d tokens, error %v",
			model, a.Status, a.Outcome, a.Tokens, tokens, a.Err)
	}
	return a, nil
}

func (t *smokeTest) stream(ctx context.Context) error {
	a, err := t.chat(ctx, t.Entries[0].Addr, lab.SmallModel, "four letters, a river", shortStream)
	t.note("first token %s", a.FirstToken.Round(time.Millisecond))
	return err
}

func (t *smokeTest) adapter(ctx context.Context) error {
	_, err := t.chat(ctx, t.Entries[1].Addr, lab.SmallAdapter, "five letters, a bridge", shortStream)
	return err
}

// repeatedCall sends a non-idempotent call with the same idempotency key through both entries and checks
// that it takes effect once.
func (t *smokeTest) repeatedCall(ctx context.Context) error {
	const key = "household-7"
	path := lab.SmallPath + "/7"
	first := t.caller.Send(ctx, lab.Request{Addr: t.Entries[0].Addr, Path: path, Body: []byte("year"), Key: key})
	second := t.caller.Send(ctx, lab.Request{Addr: t.Entries[1].Addr, Path: path, Body: []byte("year"), Key: key})
	if first.Outcome != wire.OutcomeAnswered || !second.Replayed || first.Body != second.Body {
		return eris.Errorf("smoke: service call: first %+v, second %+v", first, second)
	}
	var e standin.EffectsResponse
	i := slices.IndexFunc(t.Backends, func(b *lab.Backend) bool { return b.Service })
	if err := lab.Fetch(ctx, t.Backends[i].URL+"/effects", &e); err != nil {
		return err
	}
	if e.Total != 1 || e.Effects[key] != 1 {
		return eris.Errorf("smoke: service call sent twice did not take effect exactly once: effects %+v", e)
	}
	t.note("two calls with one key, %d effect", e.Total)
	return nil
}

// edit saves a row and waits until every process uses the new table version.
func (t *smokeTest) edit(ctx context.Context) error {
	st, err := t.Status(ctx, t.Entries[0], false)
	if err != nil {
		return err
	}
	row := table.NewRow("hint")
	row.Weight, row.Organisation = 7, "guild"
	started := time.Now()
	version, err := t.SaveChanges(ctx, []table.Change{{Name: row.Name, ExpectedVersion: st.TableVersion, Row: &row}})
	if err != nil {
		return err
	}
	if err := t.AwaitTableVersion(ctx, version); err != nil {
		return err
	}
	t.note("edit in force everywhere in %s", time.Since(started).Round(time.Millisecond))
	return nil
}

// stopEntry stops an entry gracefully while it relays a long stream, and checks that the stream is complete.
func (t *smokeTest) stopEntry(ctx context.Context) error {
	n := t.Entries[1]
	result := make(chan error, 1)
	go func() {
		_, err := t.chat(ctx, n.Addr, lab.SmallModel, "a long one", longStream)
		result <- err
	}()
	inProgress := func() bool {
		st, err := t.Status(ctx, n, false)
		return err == nil && st.InProgress > 0
	}
	if err := lab.WaitUntil(ctx, "the stream runs", inProgress); err != nil {
		return err
	}
	if err := t.SetVM(ctx, n, inventory.RoleEntry, inventory.VMLeaving); err != nil {
		return err
	}
	n.Terminate()
	if err := <-result; err != nil {
		return err
	}
	code, err := n.Wait(ctx)
	if err != nil || code != 0 {
		return eris.Errorf("smoke: stopped entry exited with code %d: %v", code, err)
	}
	t.note("stream of %d tokens whole under a stopping entry", longStream)
	return nil
}

// stopAll stops the remaining processes gracefully and checks that none is left.
func (t *smokeTest) stopAll(ctx context.Context) error {
	nodes := []*lab.Node{t.Entries[0]}
	for _, b := range t.Backends {
		nodes = append(nodes, b.Agent)
	}
	for _, n := range nodes {
		n.Terminate()
	}
	for _, n := range nodes {
		if code, err := n.Wait(ctx); err != nil || code != 0 {
			return eris.Errorf("smoke: %s exited with code %d: %v", n.ID, code, err)
		}
	}
	t.Stop()
	if left := t.RunningProcesses(); len(left) > 0 {
		return eris.Errorf("smoke: processes still running: %v", left)
	}
	t.note("no process left")
	return nil
}
