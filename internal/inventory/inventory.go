package inventory

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"rockcleat/internal/transfer"
	"rockcleat/placement"
)

// A Role says what runs on a VM.
type Role string

// The roles of VMs.
const (
	RoleEntry   Role = "entry"
	RoleBackend Role = "backend"
)

// A VMState is a VM's state in the platform's list.
type VMState string

// The states of VMs.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
	VMGone    VMState = "gone"
)

// A VM is one VM in the platform's list.
type VM struct {
	ID   string `json:"id"`
	Role Role   `json:"role"`
	Hall string `json:"hall"`
	// Addr is the address for requests, Control the one for the system's messages.
	Addr    string  `json:"addr"`
	Control string  `json:"control"`
	State   VMState `json:"state"`
}

// A VMList is the platform's list, or what changed in it since a version.
type VMList struct {
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}

// A Catalogue lists what the weight store holds.
type Catalogue struct {
	Sizes map[string]placement.Size `json:"sizes"`
}

// callTimeout bounds the time until the platform answers a call, and each time in which no more
// of the answer arrives.
const callTimeout = 3 * time.Second

// maxAnswer bounds an answer of the platform, in bytes.
const maxAnswer = 16 << 20

// A Client reads the list of VMs and the weight store's catalogue over HTTP.
type Client struct {
	http    *http.Client
	vms     string
	weights string
}

// NewClient returns a Client of the services at the two base URLs.
func NewClient(c *http.Client, vms, weights string) *Client {
	return &Client{http: c, vms: vms, weights: weights}
}

// Changes returns the VMs that changed in the list after the version.
func (c *Client) Changes(ctx context.Context, since uint64) (VMList, error) {
	var l VMList
	err := c.get(ctx, c.vms+"/v1/vms?since="+strconv.FormatUint(since, 10), &l)
	return l, err
}

// Sizes returns the memory that each model and adapter takes.
func (c *Client) Sizes(ctx context.Context) (map[string]placement.Size, error) {
	var a Catalogue
	err := c.get(ctx, c.weights+"/v1/weights", &a)
	return a.Sizes, err
}

// get reads JSON from a URL into out.
func (c *Client) get(ctx context.Context, url string, out any) error {
	ctx, watch := transfer.Start(ctx, callTimeout, callTimeout)
	defer watch.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(err, "inventory: make request")
	}
	req.Header["User-Agent"] = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrap(transfer.Cause(ctx, err), "inventory: call")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("inventory: status %d", resp.StatusCode)
	}
	data, err := watch.ReadAll(ctx, resp.Body, maxAnswer)
	if err != nil {
		return eris.Wrap(err, "inventory: read answer")
	}
	return eris.Wrap(json.Unmarshal(data, out), "inventory: decode answer")
}
