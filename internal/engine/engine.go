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
	"rockcleat/internal/wire"
	"rockcleat/ledger"
)

// Paths of an engine's API.
const (
	PathStatus = "/v1/engine"
	PathOrders = "/v1/engine/orders"
)

// Headers of requests to an engine, in addition to those of package wire that an agent forwards.
const (
	// HeaderAccelerator is the index of the accelerator that runs the request.
	HeaderAccelerator = "X-Accelerator"
	// HeaderPriority is the weight of the request in the engine's queue.
	HeaderPriority = "X-Priority"
)

// Status is an engine's report of its own state.
type Status struct {
	// Fence is the highest fencing token of the orders that the engine has accepted.
	Fence int64 `json:"fence"`
	// Slots is the maximum number of concurrent requests per accelerator.
	Slots int `json:"slots"`
	// MemoryMiB is the memory of each accelerator.
	MemoryMiB []int            `json:"memory_mib"`
	Residents []fleet.Resident `json:"residents"`
	// Finished lists the IDs of the latest finished orders.
	Finished []string `json:"finished"`
	// Running is the number of running requests.
	Running int `json:"running"`
}

// An Order instructs an engine to load or unload a model or adapter.
type Order struct {
	ID string `json:"id"`
	// Fence is the fencing token of the agent that sends the order.
	Fence int64     `json:"fence"`
	Op    ledger.Op `json:"op"`
	Name  string    `json:"name"`
	// Base is the base model of an adapter.
	Base string `json:"base,omitempty"`
	// Accelerator is the index of the accelerator.
	Accelerator int `json:"accelerator"`
	MemoryMiB   int `json:"memory_mib"`
}

// ErrFenced means that the engine has rejected an order because it has seen a higher fencing token.
var ErrFenced = errors.New("engine: order rejected: the engine has seen a higher fencing token")

// callTimeout is the maximum duration of a call.
const callTimeout = 2 * time.Second

// maxStatusBytes is the maximum size of a status response, in bytes.
const maxStatusBytes = 4 << 20

// A Client sends orders to one engine and reads its status. Responses do not name their call, so each call uses a connection
// of its own.
type Client struct {
	baseURL string
	http    *http.Client
}

// NewClient returns a Client that calls the engine at the given base URL. Its connections have the settings of t.
func NewClient(baseURL string, t *http.Transport) *Client {
	return &Client{baseURL: baseURL, http: &http.Client{Transport: wire.SingleUse(t), CheckRedirect: wire.NoRedirects}}
}

// Status returns the engine's current status.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+PathStatus, nil)
	if err != nil {
		return s, eris.Wrap(err, "engine: create status request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return s, eris.Wrap(err, "engine: send status request")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, eris.Errorf("engine: status request failed with HTTP status %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&s)
	return s, eris.Wrap(err, "engine: decode status")
}

// SendOrder sends an order. After an error other than ErrFenced it is unknown whether the engine has
// received the order.
func (c *Client) SendOrder(ctx context.Context, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return eris.Wrap(err, "engine: encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+PathOrders, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "engine: create order request")
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
	return eris.Errorf("engine: order failed with HTTP status %d", resp.StatusCode)
}
