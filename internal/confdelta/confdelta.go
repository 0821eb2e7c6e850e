// Package confdelta encodes a configuration for a process that has an earlier one: the new
// text is compressed with the earlier text as the dictionary. The package does no input or
// output.
package confdelta

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

// checksumBytes is the length of a checksum. A delta starts with two of them: that of the
// base text and that of the new text.
const checksumBytes = 8

const headerBytes = 2 * checksumBytes

// dictionaryID is the dictionary's ID in the zstd frame. It is always the same, as the
// dictionary is always the base text.
const dictionaryID = 1

// minWindow is the smallest compression window. The window must span both the base and the
// text, because matches refer back into the base.
const minWindow = 64 << 10

// Errors of Decode.
var (
	// ErrBase means that the delta was made for another base text. The process that
	// received the delta should request the full text.
	ErrBase = errors.New("confdelta: the delta was made for another base text")
	// ErrDamaged means that the delta can't be decoded, or that the decoded text doesn't
	// match its checksum.
	ErrDamaged = errors.New("confdelta: the delta is damaged")
)

// Encode returns the delta from base to text. With an empty base, the delta contains the
// full text, compressed.
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

// windowFor returns the window size for n bytes: the smallest power of two that is at least
// n and minWindow.
func windowFor(n int) int {
	window := minWindow
	for window < n {
		window *= 2
	}
	return window
}

// Decode applies a delta to base and returns the new text. It returns ErrDamaged if the text
// would exceed limit bytes.
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
	if binary.BigEndian.Uint64(delta[checksumBytes:]) != xxhash.Sum64(text) {
		return nil, ErrDamaged
	}
	return text, nil
}
