package configsync

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"rockcleat/internal/telemetry"
)

// errNothingNewer says that a gateway that should hold a newer version does not.
var errNothingNewer = eris.New("configsync: the gateway holds nothing newer")

// errBadPatch says that a patch does not fit what this gateway holds.
var errBadPatch = eris.New("configsync: the patch does not fit")

// fetch fetches the newest version from the gateway at an address: as a patch, and as a whole if
// that does not fit. If it fails, the store is read next.
func (s *Syncer) fetch(ctx context.Context, addr string) {
	have := s.history.newest()
	err := s.fetchOn(ctx, addr, have)
	if errors.Is(err, errBadPatch) {
		err = s.fetchOn(ctx, addr, 0)
	}
	if ctx.Err() != nil {
		return
	}
	if err == nil && s.history.newest() == have {
		err = errNothingNewer
	}
	s.setFetchFailed(err != nil)
	if err != nil {
		s.opts.Log.Warn("configuration not fetched", zap.String("addr", addr), telemetry.Error(err))
	}
}

// fetchOn fetches a patch on a version, or all of the configuration if that is 0.
func (s *Syncer) fetchOn(ctx context.Context, addr string, have uint64) error {
	t, err := s.opts.Peers.FetchConfig(ctx, addr, Request{Have: have})
	s.noteTransfer(FromGateway, len(t.Patch), err)
	if err != nil {
		return err
	}
	if len(t.Patch) == 0 {
		return errNothingNewer
	}
	value, err := s.history.restore(t)
	if err != nil {
		return eris.Wrap(errBadPatch, err.Error())
	}
	version, err := s.hold(value, FromGateway)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.merge(newest{version: version, source: addr})
	return nil
}
