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

// maxMessageSize is the maximum size of a response's body, in bytes.
const maxMessageSize = 16 << 20

// ErrNotSent is returned when no connection could be made, so that nothing was sent.
var ErrNotSent = errors.New("wire: not sent")

// A StatusError is a response with a status other than 200.
type StatusError struct {
	Status int
	Body   []byte
}

// Error returns the status and the first 200 characters of the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("wire: status %d: %.200s", e.Status, strings.TrimSpace(string(e.Body)))
}

// A Client exchanges JSON messages with other processes of the system, authorized by the shared secret.
type Client struct {
	http   *http.Client
	secret string
}

// NewClient returns a Client that uses the transport t, usually a NewTransport. secret is empty if the
// processes share none.
func NewClient(secret string, t http.RoundTripper) *Client {
	return &Client{http: &http.Client{Transport: t, CheckRedirect: NoRedirects}, secret: secret}
}

// Get requests http://ADDR/PATH and decodes the JSON response into out.
func (c *Client) Get(ctx context.Context, addr, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return eris.Wrap(err, "wire: create request")
	}
	return c.do(req, out, readBody)
}

// Post sends in as JSON to http://ADDR/PATH and decodes the response into out, unless out is nil.
func (c *Client) Post(ctx context.Context, addr, path string, in, out any) error {
	req, err := newPost(ctx, addr, path, in)
	if err != nil {
		return err
	}
	return c.do(req, out, readBody)
}

// PostWithStallTimeout is Post with a bound on stalls instead of the total duration: neither the response's start
// nor the wait for more of its body may take longer than maxStall.
func (c *Client) PostWithStallTimeout(ctx context.Context, maxStall time.Duration, addr, path string, in, out any) error {
	ctx, watchdog := transfer.StartWatchdog(ctx, maxStall, maxStall)
	defer watchdog.Stop()
	req, err := newPost(ctx, addr, path, in)
	if err != nil {
		return err
	}
	return c.do(req, out, func(body io.Reader) ([]byte, error) {
		return watchdog.ReadAll(ctx, body, maxMessageSize)
	})
}

// newPost returns a request that posts in as JSON to http://ADDR/PATH.
func newPost(ctx context.Context, addr, path string, in any) (*http.Request, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, eris.Wrap(err, "wire: encode request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "wire: create request")
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// readBody reads a response's body of at most maxMessageSize bytes.
func readBody(body io.Reader) ([]byte, error) { return transfer.ReadAll(body, maxMessageSize) }

// do sends a request and decodes the response body that read returns.
func (c *Client) do(req *http.Request, out any, read func(body io.Reader) ([]byte, error)) error {
	// Omitting the User-Agent header makes each message smaller.
	req.Header["User-Agent"] = nil
	req.Header.Set("Accept-Encoding", encodingZstd)
	if c.secret != "" {
		req.Header.Set("Authorization", "Bearer "+c.secret)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return wrapSendError(transfer.Cause(req.Context(), err))
	}
	defer resp.Body.Close()
	data, err := read(resp.Body)
	if err != nil {
		return eris.Wrap(err, "wire: read response")
	}
	if data, err = decompress(data, resp.Header.Get("Content-Encoding")); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Status: resp.StatusCode, Body: data}
	}
	if out == nil {
		return nil
	}
	return eris.Wrap(json.Unmarshal(data, out), "wire: decode response")
}

// wrapSendError wraps the error of a call, with ErrNotSent if nothing was sent.
func wrapSendError(err error) error {
	if IsNotSent(err) {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return eris.Wrap(err, "wire: call")
}

// Authorized reports whether a request carries the shared secret. The comparison takes constant time.
func Authorized(r *http.Request, secret string) bool {
	got := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	return subtle.ConstantTimeCompare([]byte(got), []byte(secret)) == 1
}
