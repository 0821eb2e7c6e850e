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

// Tests of a store that comes back from a copy, in another era.

// A copy lacked a request that was in force, and operators wrote it again. Its end then
// had a lower revision than the request of before and was passed over.
func TestARequestThatACopyLacksStandsAndEnds(t *testing.T) {
	g := NewWithT(t)
	var r evacuation.Record
	r.Apply([]evacuation.Change{asked("a", store.At(1, 50))}, store.At(1, 52))
	var copied evacuation.Record
	copied.Replace(nil, store.At(2, 48))
	copied.Inherit(&r)
	g.Expect(copied.Word("a")).To(Equal(evacuation.Word{Evacuated: true, AsOf: store.At(1, 50)}))
	copied.Apply([]evacuation.Change{asked("a", store.At(2, 49))}, store.At(2, 49))
	g.Expect(copied.Word("a")).To(Equal(evacuation.Word{Evacuated: true, AsOf: store.At(2, 49)}))
	copied.Apply([]evacuation.Change{withdrawn("a", store.At(2, 50))}, store.At(2, 50))
	g.Expect(copied.Word("a")).To(Equal(evacuation.Word{AsOf: store.At(2, 50)}), "at once")
}

// One that operators do not write again is over once they have had their time.
func TestARequestThatIsNotWrittenAgainEnds(t *testing.T) {
	g := NewWithT(t)
	var r evacuation.Record
	r.Apply([]evacuation.Change{asked("a", store.At(1, 50))}, store.At(1, 52))
	r.Replace(nil, store.At(2, 60))
	g.Expect(r.Word("a").Evacuated).To(BeTrue())
	r.Settle()
	g.Expect(r.Word("a")).To(Equal(evacuation.Word{AsOf: store.At(2, 60)}))
	r.Replace(nil, store.At(4, 1)) // two returns at once
	g.Expect(r.Word("a")).To(Equal(evacuation.Word{}), "what is missing proves nothing again")
}

// A process that starts in between knows nothing of the request: what is missing in the
// copy must not count against another's word, but what is missing later in the same era
// does.
func TestAProcessThatStartsInBetweenTakesTheWordOfOthers(t *testing.T) {
	g := NewWithT(t)
	var young evacuation.Record
	young.Replace(nil, store.At(2, 55))
	before := evacuation.Word{Evacuated: true, AsOf: store.At(1, 60)}
	g.Expect(young.Word("a")).To(Equal(evacuation.Word{}))
	g.Expect(young.Weigh("a", before)).To(Equal(before))
	g.Expect(young.Weigh("a", evacuation.Word{Evacuated: true, AsOf: store.At(2, 50)})).To(Equal(evacuation.Word{AsOf: store.At(2, 55)}))
	newer := evacuation.Word{Evacuated: true, AsOf: store.At(2, 56)}
	g.Expect(young.Weigh("a", newer)).To(Equal(newer))
	young.Settle()
	g.Expect(young.Weigh("a", before)).To(Equal(evacuation.Word{AsOf: store.At(2, 55)}))
}

// operators write to a store that returns from copies, and write again what it lost.
type operators struct {
	era, revision uint64
	// history are the changes that the store has, wanted what operators want empty.
	history []evacuation.Change
	wanted  map[string]bool
}

func (o *operators) write(dataCentre string, wanted bool) {
	o.revision++
	o.wanted[dataCentre] = wanted
	change := evacuation.Change{Request: request(dataCentre, store.At(o.era, o.revision)), Withdrawn: !wanted}
	o.history = append(o.history, change)
}

// comeBack lets the store return from a copy that has some of its changes; operators
// write the others again later.
func (o *operators) comeBack(kept int) (lost []string) {
	for _, c := range o.history[kept:] {
		lost = append(lost, c.DataCentre)
	}
	o.history = slices.Clone(o.history[:kept])
	o.era++
	o.revision = 0
	for i := range o.history { // answers of the new era tell its positions
		o.revision = max(o.revision, o.history[i].At.Revision())
		o.history[i].At = store.At(o.era, o.history[i].At.Revision())
	}
	return lost
}

// standing returns the requests that the store has, and as of which position.
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

// Whatever is lost, an evacuation that a process knows stands while operators want it,
// and once they have written all again the process knows just what they want.
func TestARecordThroughReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &operators{era: 1, wanted: map[string]bool{}}
		var r evacuation.Record
		known := map[string]bool{} // wanted, and taken in
		var again []string
		learn := func() {
			all, asOf := o.standing()
			if rapid.Bool().Draw(t, "anew") {
				var read evacuation.Record
				read.Replace(all, asOf)
				read.Inherit(&r)
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
				again = append(again, o.comeBack(rapid.IntRange(0, len(o.history)).Draw(t, "kept"))...)
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
				if is && !r.Word(name).Evacuated {
					t.Fatalf("%s is not evacuated any more: %+v", name, r)
				}
			}
		}
		for _, name := range again {
			o.write(name, o.wanted[name])
		}
		learn()
		r.Settle()
		for _, name := range dataCentres {
			if word := r.Word(name); word.Evacuated != o.wanted[name] {
				t.Fatalf("%s: %+v, wanted %v, %s", name, word, o.wanted[name], fmt.Sprint(o.history))
			}
		}
	})
}
