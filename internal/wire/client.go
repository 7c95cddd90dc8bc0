package wire

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"rockcleat/internal/transfer"
)

// maxMessage bounds a message between the system's processes, in bytes.
const maxMessage = 16 << 20

// ErrNotSent says that a message did not leave the process.
var ErrNotSent = errors.New("wire: not sent")

// A StatusError is an answer with a status other than 200.
type StatusError struct {
	Status int
	Body   []byte
}

// Error returns the status with the start of the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("wire: status %d: %.200s", e.Status, strings.TrimSpace(string(e.Body)))
}

// A Client sends messages between the system's processes with the shared secret.
type Client struct {
	http   *http.Client
	secret string
}

// NewClient returns a Client whose calls a transport carries, mostly a NewTransport; secret is
// empty where processes share none.
func NewClient(secret string, t http.RoundTripper) *Client {
	return &Client{http: &http.Client{Transport: t}, secret: secret}
}

// Get reads JSON from http://ADDR/PATH into out.
func (c *Client) Get(ctx context.Context, addr, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return eris.Wrap(err, "wire: make request")
	}
	return c.do(req, out, readWhole)
}

// Post sends in as JSON to http://ADDR/PATH and decodes the answer into out, if that is not nil.
func (c *Client) Post(ctx context.Context, addr, path string, in, out any) error {
	req, err := newPost(ctx, addr, path, in)
	if err != nil {
		return err
	}
	return c.do(req, out, readWhole)
}

// PostWithin is Post, bounded by progress: the answer must begin within a time and then go on
// without a pause that is longer.
func (c *Client) PostWithin(ctx context.Context, pause time.Duration, addr, path string, in, out any) error {
	ctx, watch := transfer.Start(ctx, pause, pause)
	defer watch.Stop()
	req, err := newPost(ctx, addr, path, in)
	if err != nil {
		return err
	}
	return c.do(req, out, func(body io.Reader) ([]byte, error) {
		return watch.ReadAll(ctx, body, maxMessage)
	})
}

// newPost returns a request that sends in as JSON to http://ADDR/PATH.
func newPost(ctx context.Context, addr, path string, in any) (*http.Request, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, eris.Wrap(err, "wire: encode")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "wire: make request")
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// readWhole reads an answer's body.
func readWhole(body io.Reader) ([]byte, error) {
	return io.ReadAll(io.LimitReader(body, maxMessage))
}

// do sends a request and decodes the answer that read returns.
func (c *Client) do(req *http.Request, out any, read func(body io.Reader) ([]byte, error)) error {
	// An absent User-Agent spares some 25 bytes of each control message.
	req.Header["User-Agent"] = nil
	if c.secret != "" {
		req.Header.Set("Authorization", "Bearer "+c.secret)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return sendError(transfer.Cause(req.Context(), err))
	}
	defer resp.Body.Close()
	data, err := read(resp.Body)
	if err != nil {
		return eris.Wrap(err, "wire: read answer")
	}
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Status: resp.StatusCode, Body: data}
	}
	if out == nil {
		return nil
	}
	return eris.Wrap(json.Unmarshal(data, out), "wire: decode answer")
}

// sendError returns the error of a call: ErrNotSent if nothing was sent.
func sendError(err error) error {
	if IsNotSent(err) {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return eris.Wrap(err, "wire: call")
}

// Authorized reports whether a request carries the shared secret.
func Authorized(r *http.Request, secret string) bool {
	got := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	return subtle.ConstantTimeCompare([]byte(got), []byte(secret)) == 1
}
