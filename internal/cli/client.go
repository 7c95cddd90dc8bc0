package cli

import (
	"context"
	"os"
	"strings"

	"rockcleat/internal/wire"
)

// client returns a client that authenticates with the shared secret.
func (a *app) client() (*wire.Client, error) {
	secret := a.secret
	if a.secretFile != "" {
		data, err := os.ReadFile(a.secretFile)
		if err != nil {
			return nil, err
		}
		secret = strings.TrimSpace(string(data))
	}
	return wire.NewClient(secret, wire.NewTransport(&wire.TrafficCounter{})), nil
}

// entries returns the control addresses in the order in which they are tried.
func (a *app) entries() []string { return strings.Split(a.entryAddrs, ",") }

// getFromEntries decodes the response of the first entry that responds into out. If none does, it
// returns the error of the last one.
func (a *app) getFromEntries(ctx context.Context, path string, out any) error {
	c, err := a.client()
	if err != nil {
		return err
	}
	for _, addr := range a.entries() {
		if err = c.Get(ctx, addr, path, out); err == nil {
			return nil
		}
	}
	return err
}
