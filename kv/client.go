package kv

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"rockcleat/internal/transfer"
)

// maxResponseBytes is the maximum size of a response, in bytes. A value is at most 1 MB, encoded in
// base64 within JSON, and a list holds several.
const maxResponseBytes = 16 << 20

// defaultTimeout is the default of Options.Timeout.
const defaultTimeout = 3 * time.Second

// Options configure a Client.
type Options struct {
	// URL is the base URL of the service, such as http://10.0.0.5:7000.
	URL string
	// Timeout bounds the time until a call is answered, beyond the wait of a watch, and each
	// interval in which no more of the response arrives; zero means 3 s.
	Timeout time.Duration
	// HTTP is the client to use; nil means a new one.
	HTTP *http.Client
	// Counted, if not nil, is called with CallRead or CallWrite for each call.
	Counted func(kind string)
}

// A Client is a Store that calls the service over HTTP with JSON.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	counted func(kind string)
}

// Kinds of calls passed to Options.Counted.
const (
	CallRead  = "read"
	CallWrite = "write"
)

// NewClient returns a Client of the service at o.URL.
func NewClient(o Options) *Client {
	c := &Client{base: o.URL, timeout: o.Timeout, http: o.HTTP, counted: o.Counted}
	if c.timeout <= 0 {
		c.timeout = defaultTimeout
	}
	if c.http == nil {
		c.http = &http.Client{}
	}
	return c
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var e Entry
	err := c.call(ctx, request{method: http.MethodGet, path: "/v1/kv?key=" + url.QueryEscape(key), out: &e})
	return e, err
}

// ListAnswer is the body of the response to a list.
type ListAnswer struct {
	Entries []Entry `json:"entries"`
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	var a ListAnswer
	err := c.call(ctx, request{method: http.MethodGet, path: "/v1/list?prefix=" + url.QueryEscape(prefix), out: &a})
	return a.Entries, err
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, w Write) (Revision, error) {
	var e Entry
	err := c.call(ctx, request{method: http.MethodPut, path: "/v1/kv", in: w, out: &e})
	return e.Revision, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expect Revision) error {
	path := "/v1/kv?key=" + url.QueryEscape(key) + "&expect=" + strconv.FormatInt(int64(expect), 10)
	return c.call(ctx, request{method: http.MethodDelete, path: path})
}

// LeaseMessage is the body of requests and responses of lease calls. TTL is in milliseconds.
type LeaseMessage struct {
	ID  LeaseID `json:"id,omitempty"`
	TTL int64   `json:"ttl_ms,omitempty"`
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var a LeaseMessage
	err := c.call(ctx, request{method: http.MethodPost, path: "/v1/lease", in: LeaseMessage{TTL: ttl.Milliseconds()}, out: &a})
	return a.ID, err
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) error {
	return c.call(ctx, request{method: http.MethodPost, path: "/v1/lease/keepalive", in: LeaseMessage{ID: id}})
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	return c.call(ctx, request{method: http.MethodPost, path: "/v1/lease/revoke", in: LeaseMessage{ID: id}})
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, after Revision, wait time.Duration) (Entry, error) {
	var e Entry
	q := url.Values{}
	q.Set("key", key)
	q.Set("after", strconv.FormatInt(int64(after), 10))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	err := c.call(ctx, request{method: http.MethodGet, path: "/v1/watch?" + q.Encode(), out: &e, serverWait: wait})
	return e, err
}

// A request is one call to the service.
type request struct {
	method, path string
	// in, if not nil, is sent as JSON. The response is decoded into out, if not nil.
	in, out any
	// serverWait is how long the service may hold the call, in addition to the client's timeout.
	serverWait time.Duration
}

// call sends a request and decodes its response.
func (c *Client) call(ctx context.Context, r request) error {
	ctx, watch := transfer.Start(ctx, r.serverWait+c.timeout, c.timeout)
	defer watch.Stop()
	var body io.Reader
	if r.in != nil {
		b, err := json.Marshal(r.in)
		if err != nil {
			return eris.Wrap(err, "kv: encode request")
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, r.method, c.base+r.path, body)
	if err != nil {
		return eris.Wrap(err, "kv: create request")
	}
	if r.in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	c.count(r.method)
	resp, err := c.http.Do(req)
	if err != nil {
		return TransportError(transfer.Cause(ctx, err))
	}
	defer resp.Body.Close()
	data, err := watch.ReadAll(ctx, resp.Body, maxResponseBytes)
	if err != nil {
		return eris.Wrap(ErrUnknown, err.Error())
	}
	if err := statusError(resp.StatusCode); err != nil {
		return err
	}
	if r.out == nil {
		return nil
	}
	if err := json.Unmarshal(data, r.out); err != nil {
		return eris.Wrap(ErrUnknown, err.Error())
	}
	return nil
}

func (c *Client) count(method string) {
	if c.counted == nil {
		return
	}
	kind := CallWrite
	if method == http.MethodGet {
		kind = CallRead
	}
	c.counted(kind)
}

// TransportError returns the outcome of a call that got no response: ErrUnavailable if the
// connection could not be established, so that nothing was sent, and ErrUnknown otherwise.
func TransportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	return eris.Wrap(ErrUnknown, err.Error())
}

// statusError returns the outcome that a status code of the service stands for.
func statusError(code int) error {
	switch code {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusGone:
		return ErrLeaseGone
	case http.StatusTooManyRequests:
		return ErrRateLimited
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	}
	return eris.Wrapf(ErrUnknown, "kv: unexpected status %d", code)
}
