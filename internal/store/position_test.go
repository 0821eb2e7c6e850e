package store_test

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/store"
)

// TestPositionsAreOrderedByEraThenRevision checks the order of positions, also beyond the
// highest era and revision.
func TestPositionsAreOrderedByEraThenRevision(t *testing.T) {
	g := NewWithT(t)
	g.Expect(store.At(2, 48) > store.At(1, 52)).To(BeTrue())
	g.Expect(store.At(2, 0) > store.At(1, math.MaxUint64)).To(BeTrue())
	g.Expect(store.At(1, 52) > store.At(1, 48)).To(BeTrue())
	g.Expect(store.At(math.MaxUint64, 5) >= store.At(65_535, 5)).To(BeTrue())
	rapid.Check(t, func(t *rapid.T) {
		era := rapid.Uint64Range(0, 65_535)
		revision := rapid.Uint64Range(0, 1<<48-1)
		e1, r1, e2, r2 := era.Draw(t, "era"), revision.Draw(t, "revision"), era.Draw(t, "other era"), revision.Draw(t, "other revision")
		after := e1 > e2 || e1 == e2 && r1 > r2
		if a, b := store.At(e1, r1), store.At(e2, r2); (a > b) != after || a.Era() != e1 || a.Revision() != r1 || a.SameEra(b) != (e1 == e2) {
			t.Fatalf("wrong order or parts of positions %s and %s", a, b)
		}
	})
}
