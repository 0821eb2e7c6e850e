package adopt_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/adopt"
)

var start = time.Unix(1_000_000, 0)

func peer(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000)
}

func serving(n int, revision uint64) adopt.Answer {
	return adopt.Answer{Peer: peer(n), Revision: revision, Serving: true}
}

func TestDecide(t *testing.T) {
	const late = time.Hour
	const processAge = 9500 * time.Millisecond
	tests := []struct {
		name      string
		balancers int
		answers   []adopt.Answer
		read      *adopt.Reading
		adopted   uint64
		after     time.Duration
		want      adopt.Decision
	}{
		{name: "no revision is known", want: adopt.Decision{Reason: adopt.ReasonNoRevision}},
		{name: "the highest revision is fetched", answers: []adopt.Answer{serving(1, 4), serving(2, 6)}, adopted: 4, balancers: 3,
			want: adopt.Decision{Fetch: 6, From: peer(2), Reason: adopt.ReasonHigher}},
		{name: "one of three peers has answered", answers: []adopt.Answer{serving(1, 4)}, adopted: 4, balancers: 3,
			want: adopt.Decision{Reason: adopt.ReasonUnconfirmed}},
		{name: "a majority of peers has answered", answers: []adopt.Answer{serving(1, 4), serving(2, 4)}, adopted: 4, balancers: 3,
			want: adopt.Decision{Serve: true, Reason: adopt.ReasonPeers}},
		{name: "a peer knows more balancers than the joining process", adopted: 4,
			answers: []adopt.Answer{{Peer: peer(1), Revision: 4, Serving: true, Balancers: 3}},
			want:    adopt.Decision{Reason: adopt.ReasonUnconfirmed}},
		{name: "an older answer arrives after a newer one", answers: []adopt.Answer{serving(1, 6), serving(1, 4)}, adopted: 4,
			want: adopt.Decision{Fetch: 6, From: peer(1), Reason: adopt.ReasonHigher}},
		{name: "peers that do not serve do not confirm a revision", balancers: 3, adopted: 4,
			answers: []adopt.Answer{serving(1, 4), {Peer: peer(2), Revision: 4}, {Peer: peer(3), Revision: 4}},
			want:    adopt.Decision{Reason: adopt.ReasonUnconfirmed}},
		{name: "a higher revision of a peer that does not serve is fetched", balancers: 3, adopted: 4,
			answers: []adopt.Answer{serving(1, 4), serving(2, 4), {Peer: peer(3), Revision: 5}},
			want:    adopt.Decision{Fetch: 5, From: peer(3), Reason: adopt.ReasonHigher}},
		{name: "a lagging peer does not prevent serving", balancers: 3, adopted: 6,
			answers: []adopt.Answer{serving(1, 4), serving(2, 6)},
			want:    adopt.Decision{Serve: true, Reason: adopt.ReasonPeers}},
		{name: "a fresh reading is sufficient without peers", balancers: 9, adopted: 4, read: &adopt.Reading{Revision: 4, Age: time.Second},
			want: adopt.Decision{Serve: true, Reason: adopt.ReasonStore}},
		{name: "a reading that has become too old does not count", balancers: 9, adopted: 4, read: &adopt.Reading{Revision: 4, Age: 9 * time.Second},
			after: 2 * time.Second, want: adopt.Decision{Reason: adopt.ReasonUnconfirmed}},
		{name: "a reading from before the start does not count", balancers: 9, adopted: 4, read: &adopt.Reading{Revision: 4, Age: processAge + 1},
			want: adopt.Decision{Reason: adopt.ReasonUnconfirmed}},
		{name: "a reading of a higher revision prevents serving", balancers: 1, adopted: 4, read: &adopt.Reading{Revision: 5},
			answers: []adopt.Answer{serving(1, 4)}, want: adopt.Decision{Reason: adopt.ReasonHigher}},
		{name: "expired answers do not count", balancers: 1, adopted: 4, answers: []adopt.Answer{serving(1, 4)}, after: late,
			want: adopt.Decision{Reason: adopt.ReasonUnconfirmed}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := adopt.New(adopt.DefaultRules(), start.Add(-processAge))
			s.SetBalancers(tt.balancers)
			if tt.adopted > 0 {
				s.Adopt(tt.adopted)
			}
			if tt.read != nil {
				s.RecordReading(*tt.read, start)
			}
			for _, a := range tt.answers {
				s.RecordAnswer(a, start)
			}
			g.Expect(s.Decide(start.Add(tt.after))).To(gomega.Equal(tt.want))
		})
	}
}
