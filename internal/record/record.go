// Package record encodes the value that holds the configuration in the store: the
// operators' file as written, its parsed form, and the IDs of recent changes. With these IDs
// a writer that got no response can determine whether its change was accepted.
package record

import (
	"encoding/json"
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/store"
)

// Key is the key of the configuration in the store.
const Key = "saltbend/config"

// MaxRecent is the number of previous changes that a record lists. A writer can determine
// the outcome of its change until that many later changes have been accepted.
const MaxRecent = 256

// format is the version of the encoding.
const format = 1

// maxDecodedBytes limits the decompressed size of a value. It allows for a file of maximum
// size in which every byte is escaped as six bytes, for its parsed form and for the change IDs.
const maxDecodedBytes = 16 * store.MaxValueBytes

// ChangeID identifies a change. Its writer generates it at random.
type ChangeID string

// Change is a previous change with its revision.
type Change struct {
	ID       ChangeID `json:"id"`
	Revision uint64   `json:"revision"`
}

// Record is one accepted change. It doesn't contain its own revision, because the store
// assigns the revision when the record is written.
type Record struct {
	ID       ChangeID  `json:"id"`
	Operator string    `json:"operator"`
	Time     time.Time `json:"time"`
	// Sequence is the number of changes since the key was created, including this one.
	Sequence uint64 `json:"sequence"`
	// Recent lists the changes before this one, newest first.
	Recent []Change `json:"recent,omitempty"`
	// Retired lists the faces that were recently removed from services.
	Retired []Retired `json:"retired,omitempty"`
	// Text is the content of the operators' file.
	Text string `json:"text"`
	// Config is the parsed form of Text. Processes use it instead of parsing Text, which
	// takes several times as much processor time and memory.
	Config *config.Config `json:"config"`
}

type envelope struct {
	Format int `json:"format"`
	Record
}

// Errors of Decode.
var (
	ErrFormat    = errors.New("the configuration in the store has an unknown format")
	ErrDamaged   = errors.New("the configuration in the store is damaged")
	errCodecInit = "zstd: options are constants"
)

// Encode returns the value to write to the store. It returns store.ErrTooLarge if the value
// exceeds the store's limit.
func (r Record) Encode() ([]byte, error) {
	plain, err := json.Marshal(envelope{Format: format, Record: r})
	if err != nil {
		return nil, errors.Wrap(err, "encode the configuration record")
	}
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedBetterCompression), zstd.WithEncoderConcurrency(1))
	if err != nil {
		panic(errCodecInit)
	}
	defer enc.Close()
	value := enc.EncodeAll(plain, nil)
	if len(value) > store.MaxValueBytes {
		return nil, store.ErrTooLarge
	}
	return value, nil
}

// Decode decodes a stored value.
func Decode(value []byte) (Record, error) {
	var e envelope
	if err := decode(value, &e); err != nil {
		return Record{}, err
	}
	if e.Format != format {
		return Record{}, errors.Wrapf(ErrFormat, "format %d", e.Format)
	}
	if e.Config == nil || len(e.Config.Services) == 0 {
		return Record{}, errors.Wrap(ErrDamaged, "no service")
	}
	return e.Record, nil
}

// decode decompresses a stored value and unmarshals it into out.
func decode(value []byte, out any) error {
	dec, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxDecodedBytes), zstd.WithDecoderConcurrency(1))
	if err != nil {
		panic(errCodecInit)
	}
	defer dec.Close()
	plain, err := dec.DecodeAll(value, nil)
	if err != nil {
		return errors.Wrap(ErrDamaged, err.Error())
	}
	if err := json.Unmarshal(plain, out); err != nil {
		return errors.Wrap(ErrDamaged, err.Error())
	}
	return nil
}

// Draft is a change to be written.
type Draft struct {
	ID       ChangeID
	Operator string
	Time     time.Time
	Text     []byte
	// Config is the parsed form of Text.
	Config *config.Config
}

// First returns the record of the first change.
func First(d Draft) Record {
	return Record{ID: d.ID, Operator: d.Operator, Time: d.Time.UTC(), Sequence: 1, Text: string(d.Text), Config: d.Config}
}

// Next returns the record of a change that replaces r. revision is the revision of r.
func (r Record) Next(revision uint64, d Draft) Record {
	next := First(d)
	next.Sequence = r.Sequence + 1
	next.Retired = r.nextRetired(d.Config, next.Time)
	next.Recent = append([]Change{{ID: r.ID, Revision: revision}}, r.Recent...)
	if len(next.Recent) > MaxRecent {
		next.Recent = next.Recent[:MaxRecent]
	}
	return next
}

// Find returns the revision of a change if r is that change or still lists it. ownRevision
// is the revision of r.
func (r Record) Find(id ChangeID, ownRevision uint64) (revision uint64, found bool) {
	if r.ID == id {
		return ownRevision, true
	}
	for _, c := range r.Recent {
		if c.ID == id {
			return c.Revision, true
		}
	}
	return 0, false
}

// Covers reports whether the record lists every change after the base revision;
// store.Create stands for the time before the first change.
func (r Record) Covers(base uint64) bool {
	if base == store.Create {
		return uint64(len(r.Recent))+1 == r.Sequence
	}
	for _, c := range r.Recent {
		if c.Revision == base {
			return true
		}
	}
	return false
}
