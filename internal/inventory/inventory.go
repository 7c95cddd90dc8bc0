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

// A Role is the kind of process that runs on a VM.
type Role string

// Roles of VMs.
const (
	RoleEntry   Role = "entry"
	RoleBackend Role = "backend"
)

// A VMState is the state of a VM in the platform's list.
type VMState string

// States of VMs.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
	VMGone    VMState = "gone"
)

// A VM is one VM in the platform's list.
type VM struct {
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// Hall is the data hall of the VM.
	Hall string `json:"hall"`
	// Addr is the address for requests of callers.
	Addr string `json:"addr"`
	// Control is the address for messages between processes of the system.
	Control string  `json:"control"`
	State   VMState `json:"state"`
}

// A VMList is the platform's list of VMs, or the entries that changed after some version.
type VMList struct {
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}

// A Catalogue lists the models and adapters in the weight store with their sizes.
type Catalogue struct {
	Sizes map[string]placement.Size `json:"sizes"`
}

// progressTimeout is the maximum time until the platform responds, and the maximum time without
// further data of the response.
const progressTimeout = 3 * time.Second

// maxResponseBytes is the maximum size of a response, in bytes.
const maxResponseBytes = 16 << 20

// A Client reads the list of VMs and the weight store's catalogue over HTTP.
type Client struct {
	http       *http.Client
	vmsURL     string
	weightsURL string
}

// NewClient returns a Client that uses c. The arguments vmsURL and weightsURL are the base URLs of the
// list of VMs and of the weight store.
func NewClient(c *http.Client, vmsURL, weightsURL string) *Client {
	return &Client{http: c, vmsURL: vmsURL, weightsURL: weightsURL}
}

// Changes returns the entries of the list of VMs that changed after the version since.
func (c *Client) Changes(ctx context.Context, since uint64) (VMList, error) {
	var l VMList
	err := c.get(ctx, c.vmsURL+"/v1/vms?since="+strconv.FormatUint(since, 10), &l)
	return l, err
}

// Sizes returns the size of each model and adapter in the weight store, by name.
func (c *Client) Sizes(ctx context.Context) (map[string]placement.Size, error) {
	var catalogue Catalogue
	err := c.get(ctx, c.weightsURL+"/v1/weights", &catalogue)
	return catalogue.Sizes, err
}

// get decodes the JSON document at a URL into out.
func (c *Client) get(ctx context.Context, url string, out any) error {
	ctx, watch := transfer.Start(ctx, progressTimeout, progressTimeout)
	defer watch.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(err, "inventory: create request")
	}
	req.Header["User-Agent"] = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrap(transfer.Cause(ctx, err), "inventory: send request")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("inventory: request failed with HTTP status %d", resp.StatusCode)
	}
	data, err := watch.ReadAll(ctx, resp.Body, maxResponseBytes)
	if err != nil {
		return eris.Wrap(err, "inventory: read response")
	}
	return eris.Wrap(json.Unmarshal(data, out), "inventory: decode response")
}
