// Package confdelta shortens a configuration on its way to a process that has
// an earlier one: the new text is compressed with the old text as dictionary.
// It is pure.
package confdelta

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

// sumBytes is the length of a checksum in front of a delta: of the text that
// it starts from, then of the text that it leads to.
const sumBytes = 8

const headerBytes = 2 * sumBytes

// dictionaryID stands in the frame; both sides know which text it means.
const dictionaryID = 1

// minWindow is the least window of the compression. A window spans the text
// and what may precede it, since a match reaches back into the base.
const minWindow = 64 << 10

// Errors of Decode.
var (
	// ErrBase says that the delta starts from another text; ask for the whole.
	ErrBase = errors.New("confdelta: the difference starts from another text")
	// ErrDamaged says that the delta does not lead to the text it promises.
	ErrDamaged = errors.New("confdelta: the difference is damaged")
)

// Encode returns what leads from base to text. An empty base gives the whole
// text, compressed.
func Encode(base, text []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(windowFor(len(base) + len(text))),
		zstd.WithLowerEncoderMem(true),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	enc, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "confdelta: encoder")
	}
	defer enc.Close()
	header := binary.BigEndian.AppendUint64(nil, xxhash.Sum64(base))
	header = binary.BigEndian.AppendUint64(header, xxhash.Sum64(text))
	return enc.EncodeAll(text, header), nil
}

// windowFor returns the least power of two that is no less than n bytes.
func windowFor(n int) int {
	window := minWindow
	for window < n {
		window *= 2
	}
	return window
}

// Decode applies a delta to the base; the result has at most limit bytes.
func Decode(base, delta []byte, limit int) ([]byte, error) {
	if len(delta) < headerBytes {
		return nil, ErrDamaged
	}
	if binary.BigEndian.Uint64(delta) != xxhash.Sum64(base) {
		return nil, ErrBase
	}
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(uint64(limit))}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	dec, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "confdelta: decoder")
	}
	defer dec.Close()
	text, err := dec.DecodeAll(delta[headerBytes:], nil)
	if err != nil {
		return nil, errors.Wrap(ErrDamaged, err.Error())
	}
	if binary.BigEndian.Uint64(delta[sumBytes:]) != xxhash.Sum64(text) {
		return nil, ErrDamaged
	}
	return text, nil
}
