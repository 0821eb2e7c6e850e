// Package record is the value under which the store keeps the configuration:
// the operators' file as it was written, what it says in parsed form, and the
// ids of the recent changes, by which a writer whose answer was lost learns
// what became of its change.
package record

import (
	"encoding/json"
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/store"
)

// Key is the store's key of the configuration.
const Key = "saltbend/config"

// MaxRecent bounds the ids of former changes. A writer can be told its outcome
// until that many later changes were accepted.
const MaxRecent = 256

// format is the version of the encoding.
const format = 1

// maxDecodedBytes bounds what a value may unpack to: a file of the largest
// size whose every byte needs an escape of six, its parsed form, and the ids.
const maxDecodedBytes = 16 * store.MaxValueBytes

// ChangeID names one change; its writer draws it at random.
type ChangeID string

// Change is a former change with the revision that it got.
type Change struct {
	ID       ChangeID `json:"id"`
	Revision uint64   `json:"revision"`
}

// Record is one accepted change. The revision is not part of it: the store
// assigns one with the write.
type Record struct {
	ID       ChangeID  `json:"id"`
	Operator string    `json:"operator"`
	Time     time.Time `json:"time"`
	// Sequence counts the changes since the key was made, this one included.
	Sequence uint64 `json:"sequence"`
	// Recent are the changes before this one, newest first.
	Recent []Change `json:"recent,omitempty"`
	// Retired are the faces that services gave up lately.
	Retired []Retired `json:"retired,omitempty"`
	// Text is the operators' file.
	Text string `json:"text"`
	// Config is what Text says. Processes adopt it without parsing the text,
	// which costs several times the work and memory.
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

// Encode returns the value to store; store.ErrTooLarge where it exceeds the
// store's limit.
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

// Decode reads a stored value.
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

// decode unpacks a stored value into out.
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

// Draft is a change that is to be written.
type Draft struct {
	ID       ChangeID
	Operator string
	Time     time.Time
	Text     []byte
	// Config is what Text says.
	Config *config.Config
}

// First returns the record of the first change.
func First(d Draft) Record {
	return Record{ID: d.ID, Operator: d.Operator, Time: d.Time.UTC(), Sequence: 1, Text: string(d.Text), Config: d.Config}
}

// Next returns the record of a change made to this one, which has the given
// revision.
func (r Record) Next(revision uint64, d Draft) Record {
	next := First(d)
	next.Sequence = r.Sequence + 1
	next.Retired = r.retire(d.Config, next.Time)
	next.Recent = append([]Change{{ID: r.ID, Revision: revision}}, r.Recent...)
	if len(next.Recent) > MaxRecent {
		next.Recent = next.Recent[:MaxRecent]
	}
	return next
}

// Find returns the revision that a change got, where the record still knows
// it. own is the revision of the record itself.
func (r Record) Find(id ChangeID, own uint64) (revision uint64, found bool) {
	if r.ID == id {
		return own, true
	}
	for _, c := range r.Recent {
		if c.ID == id {
			return c.Revision, true
		}
	}
	return 0, false
}

// Covers reports whether the record knows every change since a revision, 0
// being the time before the first change.
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
