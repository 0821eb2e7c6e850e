package store

import (
	"fmt"
	"log/slog"
)

// Position identifies a state of a store that may be restored from an older copy. It
// consists of the era, which increases with each restore, and the revision within the era.
// After a restore the store assigns revisions a second time, so revisions alone are neither
// unique nor increasing; positions are both. The era is in the high bits and the revision in
// the low bits, so that positions can be compared as numbers (<, max) and take 8 bytes in
// memory and in messages, as a revision does. 0 stands for no position.
type Position uint64

// Bit widths of the parts of a Position. They suffice for one restore a day for 179 years,
// and for 89,000 changes a second for 100 years.
const (
	eraBits      = 16
	revisionBits = 64 - eraBits

	maxEra      = 1<<eraBits - 1
	maxRevision = 1<<revisionBits - 1
)

// At returns the position of a revision in an era. Values that exceed their width are
// replaced by the highest value.
func At(era, revision uint64) Position {
	return Position(min(era, maxEra)<<revisionBits | min(revision, maxRevision))
}

// Era returns the number of restores that the store has counted; 0 if the store doesn't
// count them.
func (p Position) Era() uint64 { return uint64(p >> revisionBits) }

// Revision returns the revision, which is meaningful only within its era.
func (p Position) Revision() uint64 { return uint64(p & maxRevision) }

// SameEra reports whether both positions are of the same era, so that their revisions can be
// compared.
func (p Position) SameEra(o Position) bool { return p.Era() == o.Era() }

// String returns the era and the revision, such as "2/48".
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era(), p.Revision()) }

// LogValue implements slog.LogValuer.
func (p Position) LogValue() slog.Value { return slog.StringValue(p.String()) }
