package evacuation_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/packetface/evacuation"
	"github.com/saltbend/saltbend/internal/store"
)

func request(dataCentre string, revision store.Position) evacuation.Request {
	return evacuation.Request{DataCentre: dataCentre, At: revision}
}

func requested(dataCentre string, revision store.Position) evacuation.Change {
	return evacuation.Change{Request: request(dataCentre, revision)}
}

func withdrawn(dataCentre string, revision store.Position) evacuation.Change {
	return evacuation.Change{Request: request(dataCentre, revision), Withdrawn: true}
}

// A watch that starts at an older revision delivers changes a second time.
func TestRepeatedChangesAreIgnored(t *testing.T) {
	g := NewWithT(t)
	var r evacuation.Record
	history := []evacuation.Change{requested("a", 10), withdrawn("a", 15)}
	g.Expect(r.Apply(history, 20)).To(BeTrue())
	g.Expect(r.Apply(history[:1], 12)).To(BeFalse())
	g.Expect(r.State("a")).To(Equal(evacuation.State{AsOf: 20}))
}

// A balancer that the store refuses may still distribute its old copy.
func TestOlderListDoesNotRestoreWithdrawnRequests(t *testing.T) {
	g := NewWithT(t)
	var r evacuation.Record
	r.Apply([]evacuation.Change{requested("a", 10), withdrawn("a", 15), requested("b", 18)}, 20)
	g.Expect(r.Replace([]evacuation.Request{request("a", 10)}, 12)).To(BeFalse())
	g.Expect(r.Requests()).To(Equal([]evacuation.Request{request("b", 18)}))
}

func TestNewerListWithdrawsMissingRequests(t *testing.T) {
	g := NewWithT(t)
	var r evacuation.Record
	r.Apply([]evacuation.Change{requested("a", 10)}, 10)
	g.Expect(r.Replace(nil, 30)).To(BeTrue())
	g.Expect(r.State("a")).To(Equal(evacuation.State{AsOf: 30}))
}

// The pages of a read of the store are not taken at one moment: an entry may be newer than
// the position of the first page.
func TestRequestNewerThanTheReadPositionIsKept(t *testing.T) {
	g := NewWithT(t)
	var r evacuation.Record
	g.Expect(r.Replace([]evacuation.Request{request("a", 25)}, 20)).To(BeTrue())
	g.Expect(r.State("a")).To(Equal(evacuation.State{Evacuated: true, AsOf: 25}))
	r.Apply([]evacuation.Change{requested("a", 18), withdrawn("a", 22), requested("a", 25)}, 26)
	g.Expect(r.State("a").Evacuated).To(BeTrue())
}

func TestNewerReturnsTheStateWithTheLaterPosition(t *testing.T) {
	g := NewWithT(t)
	old := evacuation.State{Evacuated: true, AsOf: 10}
	withdrawnState := evacuation.State{AsOf: 15}
	g.Expect(old.Newer(withdrawnState)).To(Equal(withdrawnState))
	g.Expect(withdrawnState.Newer(old)).To(Equal(withdrawnState))
	g.Expect(evacuation.State{AsOf: 10}.Newer(old)).To(Equal(old))
}

// history is a sequence of an operator's changes.
type history struct {
	changes []evacuation.Change
	// last is the store's last revision.
	last store.Position
}

var dataCentres = []string{"a", "b", "c"}

func drawHistory(t *rapid.T) history {
	h := history{last: 1}
	for range rapid.IntRange(0, 12).Draw(t, "changes") {
		h.last += store.Position(rapid.Uint64Range(1, 3).Draw(t, "gap"))
		name := rapid.SampledFrom(dataCentres).Draw(t, "dc")
		h.changes = append(h.changes, evacuation.Change{Request: request(name, h.last), Withdrawn: rapid.Bool().Draw(t, "withdrawn")})
	}
	return h
}

// at returns all requests in force at a revision.
func (h history) at(revision store.Position) []evacuation.Request {
	var r evacuation.Record
	r.Apply(h.until(0, revision), revision)
	return r.Requests()
}

// until returns the changes after one revision up to another.
func (h history) until(after, to store.Position) (out []evacuation.Change) {
	for _, c := range h.changes {
		if c.At > after && c.At <= to {
			out = append(out, c)
		}
	}
	return out
}

// For any order in which changes and lists are received, the record equals the state of the
// store at the newest position received, and that position never goes back.
func TestRecordMatchesTheStoreAtItsPosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		var r evacuation.Record
		newest := store.Position(0)
		for range rapid.IntRange(1, 12).Draw(t, "news") {
			asOf := store.Position(rapid.Uint64Range(0, uint64(h.last)+2).Draw(t, "as of"))
			if rapid.Bool().Draw(t, "whole") {
				r.Replace(h.at(asOf), asOf)
			} else {
				after := store.Position(rapid.Uint64Range(0, uint64(newest)).Draw(t, "after"))
				r.Apply(h.until(after, max(asOf, after)), max(asOf, after))
				asOf = max(asOf, after)
			}
			newest = max(newest, asOf)
			standing := map[string]bool{}
			for _, q := range h.at(newest) {
				standing[q.DataCentre] = true
			}
			for _, name := range dataCentres {
				state := r.State(name)
				if state.AsOf != newest || state.Evacuated != standing[name] {
					t.Fatalf("%s as of %d: %+v, evacuated: %v", name, newest, state, standing[name])
				}
			}
		}
	})
}
