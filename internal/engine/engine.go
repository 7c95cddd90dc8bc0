package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"rockcleat/fleet"
	"rockcleat/ledger"
)

// Paths of an engine's interface for orders.
const (
	PathStatus = "/v1/engine"
	PathOrders = "/v1/engine/orders"
)

// Headers of a request to an engine, beside those of package wire that an agent passes on.
const (
	// HeaderAccelerator is the number of the accelerator that the request is for.
	HeaderAccelerator = "X-Accelerator"
	// HeaderPriority is the request's weight against others in the engine's queue.
	HeaderPriority = "X-Priority"
)

// Status is what an engine reports of itself.
type Status struct {
	// Fence is the highest fencing token of an order that the engine has taken.
	Fence int64 `json:"fence"`
	// Slots is the number of requests that one accelerator works on at once.
	Slots int `json:"slots"`
	// MemoryMiB is the memory of each accelerator.
	MemoryMiB []int            `json:"memory_mib"`
	Residents []fleet.Resident `json:"residents"`
	// Finished holds the ids of the orders that ended last.
	Finished []string `json:"finished"`
	Running  int      `json:"running"`
}

// An Order tells an engine to load or unload.
type Order struct {
	ID          string    `json:"id"`
	Fence       int64     `json:"fence"`
	Op          ledger.Op `json:"op"`
	Name        string    `json:"name"`
	Base        string    `json:"base,omitempty"`
	Accelerator int       `json:"accelerator"`
	MemoryMiB   int       `json:"memory_mib"`
}

// ErrFenced says that the engine has seen a higher fencing token.
var ErrFenced = errors.New("engine: order fenced off")

// callTimeout bounds a status call or an order.
const callTimeout = 2 * time.Second

// maxStatus bounds a status answer, in bytes.
const maxStatus = 4 << 20

// A Client issues orders to one engine and reads its status.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a Client of the engine at the base URL.
func NewClient(base string, c *http.Client) *Client { return &Client{base: base, http: c} }

// Status reads the engine's report.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+PathStatus, nil)
	if err != nil {
		return s, eris.Wrap(err, "engine: make request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return s, eris.Wrap(err, "engine: status")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, eris.Errorf("engine: status answered %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxStatus)).Decode(&s)
	return s, eris.Wrap(err, "engine: decode status")
}

// Send sends an order; an error other than ErrFenced leaves open whether the
// engine has it.
func (c *Client) Send(ctx context.Context, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return eris.Wrap(err, "engine: encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+PathOrders, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "engine: make request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrap(err, "engine: send order")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusAccepted:
		return nil
	case http.StatusConflict:
		return ErrFenced
	}
	return eris.Errorf("engine: order answered %d", resp.StatusCode)
}
