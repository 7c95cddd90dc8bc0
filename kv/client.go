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
)

// maxAnswer bounds what a Client reads of one answer, in bytes; values are at
// most 1 MB, in base64 within JSON, and a list holds several.
const maxAnswer = 16 << 20

// defaultTimeout bounds one call that is not a watch.
const defaultTimeout = 3 * time.Second

// Options configure a Client.
type Options struct {
	// URL is the service's base, such as http://10.0.0.5:7000.
	URL string
	// Timeout bounds one call that is not a watch; zero means 3 s.
	Timeout time.Duration
	// HTTP is the client to use; nil means one of its own.
	HTTP *http.Client
	// Counted, if not nil, is called with read or write for each call.
	Counted func(kind string)
}

// A Client is a Store over HTTP with JSON.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	counted func(kind string)
}

// Kinds of calls that Options.Counted tells apart.
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
	err := c.call(ctx, c.timeout, http.MethodGet, "/v1/kv?key="+url.QueryEscape(key), nil, &e)
	return e, err
}

// ListAnswer is the service's answer to a list.
type ListAnswer struct {
	Entries []Entry `json:"entries"`
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	var a ListAnswer
	err := c.call(ctx, c.timeout, http.MethodGet, "/v1/list?prefix="+url.QueryEscape(prefix), nil, &a)
	return a.Entries, err
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, w Write) (Revision, error) {
	var e Entry
	err := c.call(ctx, c.timeout, http.MethodPut, "/v1/kv", w, &e)
	return e.Revision, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expect Revision) error {
	path := "/v1/kv?key=" + url.QueryEscape(key) + "&expect=" + strconv.FormatInt(int64(expect), 10)
	return c.call(ctx, c.timeout, http.MethodDelete, path, nil, nil)
}

// LeaseMessage is the body of lease calls and answers.
type LeaseMessage struct {
	ID  LeaseID `json:"id,omitempty"`
	TTL int64   `json:"ttl_ms,omitempty"`
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var a LeaseMessage
	err := c.call(ctx, c.timeout, http.MethodPost, "/v1/lease", LeaseMessage{TTL: ttl.Milliseconds()}, &a)
	return a.ID, err
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) error {
	return c.call(ctx, c.timeout, http.MethodPost, "/v1/lease/keepalive", LeaseMessage{ID: id}, nil)
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	return c.call(ctx, c.timeout, http.MethodPost, "/v1/lease/revoke", LeaseMessage{ID: id}, nil)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, after Revision, wait time.Duration) (Entry, error) {
	var e Entry
	q := url.Values{}
	q.Set("key", key)
	q.Set("after", strconv.FormatInt(int64(after), 10))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	err := c.call(ctx, wait+c.timeout, http.MethodGet, "/v1/watch?"+q.Encode(), nil, &e)
	return e, err
}

// call sends one request and decodes the answer into out.
func (c *Client) call(ctx context.Context, limit time.Duration, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return eris.Wrap(err, "kv: encode request")
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return eris.Wrap(err, "kv: make request")
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	c.count(method)
	resp, err := c.http.Do(req)
	if err != nil {
		return transportError(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return eris.Wrap(ErrUnknown, err.Error())
	}
	if err := statusError(resp.StatusCode); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
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

// transportError tells a call that never left from one whose answer was lost.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	return eris.Wrap(ErrUnknown, err.Error())
}

// statusError maps the service's status codes to outcomes.
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
	return eris.Wrapf(ErrUnknown, "status %d", code)
}
