package configsync

import (
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

// Sizes of configurations and patches, in bytes.
const (
	// maxConfigSize bounds a decompressed configuration. The store accepts values of up to 1 MB.
	maxConfigSize = 8 << 20
	// windowSize is the zstd window. It covers a base of 1 MB and the value after it.
	windowSize = 4 << 20
	// dictID is the zstd dictionary ID of the base; any nonzero value works.
	dictID = 1
)

// makePatch compresses value with base as the zstd dictionary; base may be empty.
//
// It uses the fastest level, which also yields the smallest patches for configurations.
func makePatch(base, value []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(windowSize),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictID, base))
	}
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, eris.Wrap(err, "configsync: make patch")
	}
	defer e.Close()
	return e.EncodeAll(value, nil), nil
}

// applyPatch returns the value that patch encodes against base. zstd verifies the value's checksum.
func applyPatch(base, patch []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxConfigSize),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictID, base))
	}
	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, eris.Wrap(err, "configsync: apply patch")
	}
	defer d.Close()
	value, err := d.DecodeAll(patch, nil)
	return value, eris.Wrap(err, "configsync: apply patch")
}
