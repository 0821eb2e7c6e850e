package evacuation_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/packetface/evacuation"
	"github.com/saltbend/saltbend/internal/store"
)

// Tests of a store that is restored from an older copy of its data, in a new era.

// The copy lacks a request in force, operators write it again, and then withdraw it. The
// withdrawal has a lower revision than the original request, but must not be ignored.
func TestRequestLostByTheStoreStaysUntilWithdrawn(t *testing.T) {
	g := NewWithT(t)
	var r evacuation.Record
	r.Apply([]evacuation.Change{requested("a", store.At(1, 50))}, store.At(1, 52))
	var copied evacuation.Record
	copied.Replace(nil, store.At(2, 48))
	copied.CarryOver(&r)
	g.Expect(copied.State("a")).To(Equal(evacuation.State{Evacuated: true, AsOf: store.At(1, 50)}))
	copied.Apply([]evacuation.Change{requested("a", store.At(2, 49))}, store.At(2, 49))
	g.Expect(copied.State("a")).To(Equal(evacuation.State{Evacuated: true, AsOf: store.At(2, 49)}))
	copied.Apply([]evacuation.Change{withdrawn("a", store.At(2, 50))}, store.At(2, 50))
	g.Expect(copied.State("a")).To(Equal(evacuation.State{AsOf: store.At(2, 50)}), "the withdrawal takes effect at once")
}

// A request that operators do not write again is dropped by Settle.
func TestRequestNotWrittenAgainEndsAtSettle(t *testing.T) {
	g := NewWithT(t)
	var r evacuation.Record
	r.Apply([]evacuation.Change{requested("a", store.At(1, 50))}, store.At(1, 52))
	r.Replace(nil, store.At(2, 60))
	g.Expect(r.State("a").Evacuated).To(BeTrue())
	r.Settle()
	g.Expect(r.State("a")).To(Equal(evacuation.State{AsOf: store.At(2, 60)}))
	r.Replace(nil, store.At(4, 1)) // the store has been restored twice
	g.Expect(r.State("a")).To(Equal(evacuation.State{}), "absence proves nothing in the new era")
}

// A process that starts between the store's restore and the rewriting does not know the
// request. Its absence in the copy must not override the state received from another
// process, but absence at a later position of the same era must.
func TestProcessStartedAfterTheRestoreUsesTheStateOfOthers(t *testing.T) {
	g := NewWithT(t)
	var started evacuation.Record
	started.Replace(nil, store.At(2, 55))
	before := evacuation.State{Evacuated: true, AsOf: store.At(1, 60)}
	g.Expect(started.State("a")).To(Equal(evacuation.State{}))
	g.Expect(started.Resolve("a", before)).To(Equal(before))
	g.Expect(started.Resolve("a", evacuation.State{Evacuated: true, AsOf: store.At(2, 50)})).To(Equal(evacuation.State{AsOf: store.At(2, 55)}))
	newer := evacuation.State{Evacuated: true, AsOf: store.At(2, 56)}
	g.Expect(started.Resolve("a", newer)).To(Equal(newer))
	started.Settle()
	g.Expect(started.Resolve("a", before)).To(Equal(evacuation.State{AsOf: store.At(2, 55)}))
}

// operators simulates a store that is restored from copies, and operators who write the
// lost changes again.
type operators struct {
	era, revision uint64
	// history holds the changes in the store; wanted holds the data centres that operators
	// want evacuated.
	history []evacuation.Change
	wanted  map[string]bool
}

func (o *operators) write(dataCentre string, wanted bool) {
	o.revision++
	o.wanted[dataCentre] = wanted
	change := evacuation.Change{Request: request(dataCentre, store.At(o.era, o.revision)), Withdrawn: !wanted}
	o.history = append(o.history, change)
}

// restore restores the store from a copy that contains the first changes only. It
// returns the data centres of the lost changes, which operators write again later.
func (o *operators) restore(kept int) (lost []string) {
	for _, c := range o.history[kept:] {
		lost = append(lost, c.DataCentre)
	}
	o.history = slices.Clone(o.history[:kept])
	o.era++
	o.revision = 0
	for i := range o.history { // in the new era the store reports the changes at positions of that era
		o.revision = max(o.revision, o.history[i].At.Revision())
		o.history[i].At = store.At(o.era, o.history[i].At.Revision())
	}
	return lost
}

// standing returns the requests in force in the store, and their position.
func (o *operators) standing() (all []evacuation.Request, asOf store.Position) {
	at := map[string]store.Position{}
	for _, c := range o.history {
		delete(at, c.DataCentre)
		if !c.Withdrawn {
			at[c.DataCentre] = c.At
		}
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(at)) {
		all = append(all, request(dataCentre, at[dataCentre]))
	}
	return all, store.At(o.era, o.revision)
}

// Whatever the store loses, an evacuation that a process knows stays in force while
// operators want it. Once they have written all changes again, the record matches what they
// want.
func TestRecordMatchesOperatorsIntentAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &operators{era: 1, wanted: map[string]bool{}}
		var r evacuation.Record
		known := map[string]bool{} // requests that operators want and that the record has received
		var again []string
		learn := func() {
			all, asOf := o.standing()
			if rapid.Bool().Draw(t, "anew") {
				var read evacuation.Record
				read.Replace(all, asOf)
				read.CarryOver(&r)
				r = read
			} else {
				r.Replace(all, asOf)
			}
			for _, q := range all {
				known[q.DataCentre] = o.wanted[q.DataCentre]
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				name := rapid.SampledFrom(dataCentres).Draw(t, "dc")
				again = slices.DeleteFunc(again, func(lost string) bool { return lost == name })
				o.write(name, rapid.Bool().Draw(t, "wanted"))
				known[name] = known[name] && o.wanted[name]
			case 1:
				again = append(again, o.restore(rapid.IntRange(0, len(o.history)).Draw(t, "kept"))...)
			case 2:
				if len(again) > 0 {
					i := rapid.IntRange(0, len(again)-1).Draw(t, "which")
					o.write(again[i], o.wanted[again[i]])
					again = slices.Delete(again, i, i+1)
				}
			default:
				learn()
			}
			for name, is := range known {
				if is && !r.State(name).Evacuated {
					t.Fatalf("%s is no longer evacuated: %+v", name, r)
				}
			}
		}
		for _, name := range again {
			o.write(name, o.wanted[name])
		}
		learn()
		r.Settle()
		for _, name := range dataCentres {
			if state := r.State(name); state.Evacuated != o.wanted[name] {
				t.Fatalf("%s: %+v, wanted %v, %s", name, state, o.wanted[name], fmt.Sprint(o.history))
			}
		}
	})
}
