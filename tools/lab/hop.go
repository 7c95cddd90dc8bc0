package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"rockcleat/fleet"
	"rockcleat/internal/engine"
	"rockcleat/internal/lab"
)

// hopCalls is the number of calls of each kind that are compared.
const hopCalls = 1000

// printHop measures what an entry and an agent add to a direct call, the two
// kinds of call in turn in one run.
func printHop(ctx context.Context, bin, dir string) error {
	d := filepath.Join(dir, "hop")
	if err := os.MkdirAll(d, 0o700); err != nil {
		return eris.Wrap(err, "slopes: make folder")
	}
	o := lab.Small(bin, d)
	o.Engine.Step = 10 * time.Millisecond
	sys, err := lab.Start(ctx, o)
	if err != nil {
		return err
	}
	defer sys.Stop()
	url, acc, err := findCopy(ctx, sys, "hint")
	if err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	var direct, through []time.Duration
	for range hopCalls {
		body := lab.ChatBody("hint", uuid.NewString(), 1, false)
		a, err := timeCall(ctx, client, url, acc, body)
		if err != nil {
			return err
		}
		b, err := timeCall(ctx, client, "http://"+sys.Entries[0].Addr, acc, body)
		if err != nil {
			return err
		}
		direct, through = append(direct, a), append(through, b)
	}
	slices.Sort(direct)
	slices.Sort(through)
	for _, q := range []struct {
		name string
		i    int
	}{{"p50", hopCalls / 2}, {"p99", hopCalls * 99 / 100}} {
		a, b := direct[q.i], through[q.i]
		fmt.Printf("data path %s: direct %s, through entry and agent %s, ratio %.3f, added %s\n",
			q.name, a.Round(time.Microsecond), b.Round(time.Microsecond), float64(b)/float64(a), (b - a).Round(time.Microsecond))
	}
	return nil
}

// findCopy returns an engine and accelerator that has the model ready.
func findCopy(ctx context.Context, sys *lab.System, name string) (url, acc string, err error) {
	for _, b := range sys.Backends {
		var st engine.Status
		if b.Service || lab.Fetch(ctx, b.URL+engine.PathStatus, &st) != nil {
			continue
		}
		for _, r := range st.Residents {
			if r.Name == name && r.State == fleet.StateReady {
				return b.URL, fmt.Sprint(r.Accelerator), nil
			}
		}
	}
	return "", "", eris.Errorf("slopes: no copy of %s", name)
}

func timeCall(ctx context.Context, c *http.Client, base, acc string, body []byte) (time.Duration, error) {
	began := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, eris.Wrap(err, "slopes: make request")
	}
	req.Header.Set(engine.HeaderAccelerator, acc)
	resp, err := c.Do(req)
	if err != nil {
		return 0, eris.Wrap(err, "slopes: call")
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, eris.Wrap(err, "slopes: read answer")
	}
	if resp.StatusCode != http.StatusOK {
		return 0, eris.Errorf("slopes: status %d", resp.StatusCode)
	}
	return time.Since(began), nil
}
