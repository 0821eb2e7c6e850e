package registry_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/evacuation"
	"github.com/saltbend/saltbend/internal/packetface/registry"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

func evacuate(dataCentre string, at store.Position) platform.Item {
	return platform.Item{Key: platform.EvacuationKey(dataCentre), At: at, Value: []byte("{}")}
}

func withdraw(dataCentre string, at store.Position) platform.Item {
	item := evacuate(dataCentre, at)
	item.Value, item.Removed = nil, true
	return item
}

func TestListingRecordsEvacuations(t *testing.T) {
	g := NewWithT(t)
	l, unreadable := registry.NewListing([]platform.Item{evacuate("a", 5)}, 7)
	g.Expect(unreadable).To(BeEmpty())
	record := l.Evacuations()
	g.Expect(record.State("a")).To(Equal(evacuation.State{Evacuated: true, AsOf: 7}))
	l.Apply([]platform.Item{withdraw("a", 9), evacuate("b", 10)}, 10)
	record = l.Evacuations()
	g.Expect(record.Requests()).To(Equal([]evacuation.Request{{DataCentre: "b", At: 10}}))
}

// The key alone requests an evacuation, whatever its value, and even if no host is in the
// data centre.
func TestEvacuationKeyWithEmptyValueEvacuates(t *testing.T) {
	g := NewWithT(t)
	item := evacuate("nowhere", 5)
	item.Value = nil
	l, _ := registry.NewListing([]platform.Item{item}, 5)
	record := l.Evacuations()
	g.Expect(record.State("nowhere").Evacuated).To(BeTrue())
}

// A balancer whose calls the store refuses takes the evacuations from a newer listing of
// a peer and ignores those of an older one.
func TestMergeReplacesEvacuationsByNewerOnes(t *testing.T) {
	g := NewWithT(t)
	knows, _ := registry.NewListing([]platform.Item{evacuate("b", 8)}, 12)
	lacks, _ := registry.NewListing([]platform.Item{evacuate("a", 5)}, 7)
	changed, _ := lacks.Merge(knows.Shared())
	g.Expect(changed).To(BeTrue())
	record := lacks.Evacuations()
	g.Expect(record.Requests()).To(Equal([]evacuation.Request{{DataCentre: "b", At: 8}}), "the evacuation of a was withdrawn in the meantime")
	changed, _ = lacks.Merge(knows.Shared())
	g.Expect(changed).To(BeFalse())
	stale, _ := registry.NewListing([]platform.Item{evacuate("a", 5)}, 7)
	changed, _ = lacks.Merge(stale.Shared())
	g.Expect(changed).To(BeFalse())
}

// A watch that begins at an older revision than a merged listing of a peer returns
// requests that have been withdrawn since. They must stay withdrawn.
func TestReplayedChangeDoesNotRestoreWithdrawnEvacuation(t *testing.T) {
	g := NewWithT(t)
	l, _ := registry.NewListing(nil, 3)
	over, _ := registry.NewListing(nil, 20)
	l.Merge(over.Shared())
	l.Apply([]platform.Item{evacuate("a", 5)}, 6)
	record := l.Evacuations()
	g.Expect(record.State("a").Evacuated).To(BeFalse())
}
