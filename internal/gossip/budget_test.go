package gossip_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/saltbend/saltbend/internal/gossip"
	"github.com/saltbend/saltbend/internal/member"
)

// Hundreds of declarations exhaust the byte budget. A record that a process
// announces about itself, and the push that carries a new configuration revision,
// must be sent immediately all the same.
func TestBulkRecordsDoNotDelayAnnouncements(t *testing.T) {
	timing := gossip.DefaultTiming()
	timing.BurstBytes = 8 << 10
	e := gossip.New(fleetMember(0, 6880), timing, rand.New(rand.NewPCG(1, 1)))
	var dead []member.Member
	for i := 1; i < 1000; i++ {
		m := fleetMember(i, 6880)
		e.HandleExchange(begin, gossip.Exchange{From: at(1), Members: []member.Member{m}})
		if i >= 10 {
			m.State, m.Declared = member.StateGone, true
			dead = append(dead, m)
		}
	}
	now := begin.Add(time.Hour)
	e.Actions(now)
	now = now.Add(time.Hour)
	e.HandlePush(now, gossip.Push{From: at(1), Members: dead})
	records := 0
	for range 10 {
		records += pushed(e.Actions(now), func(member.Member) bool { return true })
	}
	const copies = 4
	if records == 0 || records >= copies*len(dead) {
		t.Fatalf("%d records sent at once, want more than 0 and less than %d", records, copies*len(dead))
	}
	leaving := fleetMember(5, 6880)
	leaving.Version++
	leaving.State = member.StateDraining
	e.HandlePush(now, gossip.Push{From: at(1), Members: []member.Member{leaving}})
	if n := pushed(e.Actions(now), func(m member.Member) bool { return m == leaving }); n != copies {
		t.Errorf("%d copies of the draining process's record sent, want %d", n, copies)
	}
	e.SetRevision(50_000)
	notices := 0
	for _, a := range e.Actions(now) {
		if _, ok := a.(gossip.SendPush); ok {
			notices++
		}
	}
	if notices != copies {
		t.Errorf("%d pushes carry the new revision, want %d", notices, copies)
	}
	for range 20_000 {
		now = now.Add(tick)
		records += pushed(e.Actions(now), func(m member.Member) bool { return m.Declared })
	}
	if records < copies*len(dead) {
		t.Errorf("%d records sent, want at least %d", records, copies*len(dead))
	}
}

// pushed counts the records in pushes for which want returns true.
func pushed(actions []gossip.Action, want func(member.Member) bool) int {
	count := 0
	for _, a := range actions {
		if p, ok := a.(gossip.SendPush); ok {
			for _, m := range p.Message.Members {
				if want(m) {
					count++
				}
			}
		}
	}
	return count
}
