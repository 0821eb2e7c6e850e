package member_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/member"
)

var start = time.Unix(1_000_000, 0)

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 4100)
}

func drawRecord(t *rapid.T) member.Member {
	m := member.Member{
		Control:     addr(rapid.IntRange(0, 4).Draw(t, "addr")),
		Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		Version:     rapid.Uint64Range(0, 3).Draw(t, "version"),
		State:       member.State(rapid.IntRange(1, 4).Draw(t, "state")),
		Role:        member.RoleBalancer,
	}
	// The role and service at an address may change between incarnations.
	if m.Incarnation%2 == 0 {
		m.Role, m.Service = member.RoleAgent, []string{"results", "intake"}[m.Incarnation/2%2]
	}
	return m
}

// Records that arrive reordered or duplicated must give the same table, and no
// record may be replaced by one that it supersedes.
func TestTableIsIndependentOfRecordOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOf(rapid.Custom(drawRecord)).Draw(t, "records")
		doubled := append(append([]member.Member{}, records...), records...)
		shuffled := rapid.Permutation(doubled).Draw(t, "order")
		a, b := member.NewTable(time.Hour), member.NewTable(time.Hour)
		for _, m := range records {
			a.Merge(m, start)
		}
		for _, m := range shuffled {
			before, known := b.Get(m.Control)
			b.Merge(m, start)
			after, _ := b.Get(m.Control)
			if known && before.Supersedes(after) {
				t.Fatalf("%v was replaced by the older record %v", before, after)
			}
		}
		if a.Digest().Root() != b.Digest().Root() || a.Live() != b.Live() || a.BalancerSet() != b.BalancerSet() {
			t.Fatalf("tables differ after the same records in a different order")
		}
		checkIndices(t, b)
	})
}

// checkIndices compares the indices with the records.
func checkIndices(t *rapid.T, table *member.Table) {
	live := len(table.Balancers()) + len(table.Agents())
	if live != table.Live() || len(table.Balancers()) != table.LiveBalancers() {
		t.Fatalf("indices hold %d live members, table counts %d", live, table.Live())
	}
	for _, name := range table.Services() {
		for _, m := range table.Service(name) {
			if known, _ := table.Get(m.Control); known != m || m.Service != name {
				t.Fatalf("%v is indexed under service %s, but the record is %v", m, name, known)
			}
		}
	}
}

func TestTombstoneRejectsOldRecordsUntilItExpires(t *testing.T) {
	table := member.NewTable(time.Hour)
	live := member.Member{Control: addr(1), Incarnation: 7, Version: 3, State: member.StateReady, Role: member.RoleBalancer}
	gone := live
	gone.State = member.StateGone
	table.Merge(gone, start)
	table.Expire(start.Add(time.Hour))
	if table.Merge(live, start.Add(time.Hour)) {
		t.Fatal("delayed record of a gone member was merged before the tombstone expired")
	}
	table.Expire(start.Add(time.Hour + time.Second))
	if table.Len() != 0 {
		t.Fatal("tombstone did not expire")
	}
}

func TestDigestFindsTheDifferingBucket(t *testing.T) {
	a, b := member.NewTable(time.Hour), member.NewTable(time.Hour)
	for i := range 1000 {
		m := member.Member{Control: addr(i), Incarnation: 1, State: member.StateReady, Role: member.RoleBalancer}
		a.Merge(m, start)
		if i != 500 {
			b.Merge(m, start)
		}
	}
	differ := a.Digest().DifferingBuckets(b.Digest().Buckets())
	if len(differ) != 1 {
		t.Fatalf("buckets %v differ, want exactly one", differ)
	}
	found := false
	for _, m := range a.InBuckets(differ) {
		found = found || m.Control == addr(500)
	}
	if !found {
		t.Fatal("missing record is not in the differing bucket")
	}
}

// balancerCount is the number of balancers in the test; their addresses include
// those that drawRecord uses.
const balancerCount = 40

// After any change, the list of balancers must match the records, and a list that
// was returned before must not change.
func TestBalancerListMatchesTheRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := member.NewTable(time.Hour)
		for i := range balancerCount { // enough that one change is patched instead of causing a rebuild
			table.Merge(member.Member{Control: addr(i), Role: member.RoleBalancer, State: member.StateReady}, start)
		}
		now := start
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			handedOut := table.Balancers()
			copied := slices.Clone(handedOut)
			m := drawRecord(t)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				table.Merge(m, now)
			case 1:
				table.NoteRevision(m.Control, m.Incarnation, rapid.Uint64Range(1, 3).Draw(t, "revision"))
			case 2:
				now = now.Add(2 * time.Hour)
				table.Expire(now)
			}
			if listed, want := table.Balancers(), liveBalancers(table); !slices.Equal(listed, want) {
				t.Fatalf("list is %v, records give %v", listed, want)
			}
			if !slices.Equal(handedOut, copied) {
				t.Fatalf("a returned list changed from %v to %v", copied, handedOut)
			}
		}
	})
}

func liveBalancers(table *member.Table) []member.Member {
	var out []member.Member
	for i := range balancerCount {
		if m, ok := table.Get(addr(i)); ok && m.Role == member.RoleBalancer && m.State != member.StateGone {
			out = append(out, m)
		}
	}
	return out
}
