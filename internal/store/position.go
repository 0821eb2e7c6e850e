package store

import (
	"fmt"
	"log/slog"
)

// Position is a point in the history of a store that may come back from an older copy
// of itself: the era, which rises with each such return, and the revision within it.
// Revisions alone go back and are given out twice; positions never do. They are compared
// as numbers, with <, max and the like: the era is in the high bits, the revision in the
// low ones, so that a position takes the 8 bytes of a revision wherever one is kept or
// sent. 0 stands for none.
type Position uint64

// Widths of the parts of a Position: a return a day for 179 years, and 89,000 changes a
// second for 100 years.
const (
	eraBits      = 16
	revisionBits = 64 - eraBits

	maxEra      = 1<<eraBits - 1
	maxRevision = 1<<revisionBits - 1
)

// At returns the position of a revision in an era. What is beyond the widths counts as
// the highest.
func At(era, revision uint64) Position {
	return Position(min(era, maxEra)<<revisionBits | min(revision, maxRevision))
}

// Era returns how often the store came back, as it counts that; 0 where it does not.
func (p Position) Era() uint64 { return uint64(p >> revisionBits) }

// Revision returns the revision, which says something within its era alone.
func (p Position) Revision() uint64 { return uint64(p & maxRevision) }

// SameEra reports whether the revisions of both can be compared with each other.
func (p Position) SameEra(o Position) bool { return p.Era() == o.Era() }

// String returns the era and the revision, such as "2/48".
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era(), p.Revision()) }

// LogValue implements slog.LogValuer.
func (p Position) LogValue() slog.Value { return slog.StringValue(p.String()) }
