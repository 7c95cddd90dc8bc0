package configsync

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"rockcleat/internal/telemetry"
)

// errNoNewerVersion is returned when a peer has no newer version than this gateway.
var errNoNewerVersion = eris.New("configsync: peer holds no newer version")

// errBadPatch is returned when a patch cannot be applied to the version held here.
var errBadPatch = eris.New("configsync: patch cannot be applied to the held version")

// fetch fetches the newest version from the gateway at addr, as a patch first. If the patch does not
// apply, it fetches the full configuration. After a failure the store is read next.
func (s *Syncer) fetch(ctx context.Context, addr string) {
	have := s.history.newest()
	err := s.fetchWithBase(ctx, addr, have)
	if errors.Is(err, errBadPatch) {
		err = s.fetchWithBase(ctx, addr, 0)
	}
	if ctx.Err() != nil {
		return
	}
	if err == nil && s.history.newest() == have {
		err = errNoNewerVersion
	}
	s.setFetchFailed(err != nil)
	if err != nil {
		s.opts.Log.Warn("fetching the configuration from a gateway failed", zap.String("addr", addr), telemetry.Error(err))
	}
}

// fetchWithBase fetches a patch against the version base, or the full configuration if base is 0.
func (s *Syncer) fetchWithBase(ctx context.Context, addr string, base uint64) error {
	t, err := s.opts.Peers.FetchConfig(ctx, addr, Request{Have: base})
	s.reportTransfer(FromGateway, len(t.Patch), err)
	if err != nil {
		return err
	}
	if len(t.Patch) == 0 {
		return errNoNewerVersion
	}
	value, err := s.history.apply(t)
	if err != nil {
		return eris.Wrap(errBadPatch, err.Error())
	}
	version, err := s.apply(value, FromGateway)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.merge(knownVersion{version: version, source: addr})
	return nil
}
