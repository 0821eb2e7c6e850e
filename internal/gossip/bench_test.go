package gossip_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"net/rpc"
	"runtime"
	"testing"
	"time"

	"github.com/saltbend/saltbend/internal/gossip"
	"github.com/saltbend/saltbend/internal/member"
)

// sizes are numbers of members. The last one is the target size: 780 balancers
// and 6,100 agents.
var sizes = []int{860, 1720, 3440, 6880}

// balancerCount returns the number of balancers in a fleet of n members.
func balancerCount(n int) int { return n * 780 / 6880 }

func forSizes(b *testing.B, run func(b *testing.B, members int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) { run(b, n) })
	}
}

// fleetMember returns the i-th of n members; balancers come first.
func fleetMember(i, n int) member.Member {
	m := member.Member{
		Control:     at(i),
		Data:        at(i),
		Ops:         at(i),
		DataCentre:  fmt.Sprintf("region-1-dc-%d", i%4),
		Incarnation: uint64(begin.UnixNano()) + uint64(i),
		Version:     3,
		State:       member.StateReady,
		Role:        member.RoleBalancer,
		Weight:      1000,
		Revision:    40_000,
	}
	if i >= balancerCount(n) {
		m.Role, m.Service, m.Slots = member.RoleAgent, fmt.Sprintf("service-%03d", i%(n/7)), 5
	}
	return m
}

// newLoadedEngine returns the engine of a balancer that has n members in its
// table and no actions pending.
func newLoadedEngine(n int) *gossip.Engine {
	e := gossip.New(fleetMember(0, n), gossip.DefaultTiming(), rand.New(rand.NewPCG(1, 1)))
	var all []member.Member
	for i := 1; i < n; i++ {
		all = append(all, fleetMember(i, n))
	}
	e.HandleExchange(begin, gossip.Exchange{From: at(1), Members: all})
	e.Actions(begin)
	return e
}

// gobStream measures the encoded size of messages on a connection on which the
// type descriptions have already been sent.
type gobStream struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
}

func newGobStream() *gobStream {
	w := &gobStream{}
	w.encoder = gob.NewEncoder(&w.buffer)
	return w
}

func (w *gobStream) size(b *testing.B, values ...any) float64 {
	b.Helper()
	var size int
	for range 2 { // the first round carries the type descriptions
		w.buffer.Reset()
		for _, v := range values {
			if err := w.encoder.Encode(v); err != nil {
				b.Fatal(err)
			}
		}
		size = w.buffer.Len()
	}
	return float64(size)
}

// callBytes returns the encoded size of a request and its reply.
func callBytes(b *testing.B, method string, args, reply any) float64 {
	b.Helper()
	return newGobStream().size(b, &rpc.Request{ServiceMethod: method, Seq: 70_000}, args) +
		newGobStream().size(b, &rpc.Response{ServiceMethod: method, Seq: 70_000}, reply)
}

func claim() gossip.Claim { return gossip.Claim{Revision: 40_000, Serving: true, Balancers: 779} }

func BenchmarkCapacityTable(b *testing.B) {
	forSizes(b, func(b *testing.B, n int) {
		var before, after runtime.MemStats
		engines := make([]*gossip.Engine, b.N)
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range engines {
			engines[i] = newLoadedEngine(n)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "heap-B/engine")
		runtime.KeepAlive(engines)
	})
}

func BenchmarkCapacityRenewal(b *testing.B) {
	forSizes(b, func(b *testing.B, n int) {
		e := newLoadedEngine(n)
		self := fleetMember(n-1, n)
		first := e.HandleAnnounce(begin, gossip.Announce{Self: self})
		a := gossip.Announce{Self: self, Epoch: first.Epoch, Cursor: first.Cursor, Claim: claim()}
		var r gossip.AnnounceReply
		for b.Loop() {
			r = e.HandleAnnounce(begin, a)
		}
		r.Claim = claim()
		b.ReportMetric(callBytes(b, "Control.Announce", a, r), "wire-B/op")
		first.Claim = claim()
		b.ReportMetric(callBytes(b, "Control.Announce", a, first), "first-wire-B")
	})
}

func BenchmarkCapacityTransition(b *testing.B) {
	forSizes(b, func(b *testing.B, n int) {
		e := newLoadedEngine(n)
		m := fleetMember(n-1, n)
		now := begin
		p := gossip.Push{From: at(1), Claim: claim(), Members: []member.Member{m}}
		for b.Loop() {
			p.Members[0].Version++
			now = now.Add(10 * time.Second)
			e.HandlePush(now, p)
			e.Actions(now)
		}
		b.ReportMetric(callBytes(b, "Control.Push", p, gossip.PushReply{Claim: claim()}), "wire-B/op")
	})
}

func BenchmarkSuspicion(b *testing.B) {
	p := gossip.Push{From: at(1), Claim: claim(), Suspicions: []member.Suspicion{{
		Control: at(9), Incarnation: uint64(begin.UnixNano()), Version: 3, Witness: at(2), Evidence: member.Refused,
	}}}
	e := newLoadedEngine(sizes[0])
	for b.Loop() {
		e.HandlePush(begin, p)
	}
	b.ReportMetric(callBytes(b, "Control.Push", p, gossip.PushReply{Claim: claim()}), "wire-B/op")
}

func BenchmarkCapacityDigest(b *testing.B) {
	forSizes(b, func(b *testing.B, n int) {
		e := newLoadedEngine(n)
		d := gossip.Digest{From: at(1), Claim: claim(), Root: e.Table().Digest().Root()}
		var r gossip.DigestReply
		for b.Loop() {
			r = e.HandleDigest(begin, d)
		}
		r.Claim = claim()
		b.ReportMetric(callBytes(b, "Control.Digest", d, r), "wire-B/op")
		d.Root++
		r = e.HandleDigest(begin, d)
		b.ReportMetric(callBytes(b, "Control.Digest", d, r), "differ-wire-B")
		x := gossip.Exchange{From: at(1), Buckets: []int{7}, Members: e.Table().InBuckets([]int{7})}
		b.ReportMetric(callBytes(b, "Control.Exchange", x, gossip.Exchange{From: at(1), Buckets: []int{7}}), "bucket-wire-B")
	})
}

// BenchmarkCapacityJoin measures what a new balancer fetches: the whole table.
func BenchmarkCapacityJoin(b *testing.B) {
	forSizes(b, func(b *testing.B, n int) {
		e := newLoadedEngine(n)
		all := make([]int, member.DigestBuckets)
		for i := range all {
			all[i] = i
		}
		var r gossip.Exchange
		for b.Loop() {
			r = e.HandleExchange(begin, gossip.Exchange{From: at(1), Buckets: all})
		}
		b.ReportMetric(callBytes(b, "Control.Exchange", gossip.Exchange{From: at(1), Buckets: all}, r), "wire-B/op")
	})
}

// BenchmarkCapacityBalancerChange measures recomputing the witnesses of all
// members after a balancer has left and returned.
func BenchmarkCapacityBalancerChange(b *testing.B) {
	forSizes(b, func(b *testing.B, n int) {
		e := newLoadedEngine(n)
		m := fleetMember(1, n)
		now := begin
		for b.Loop() {
			now = now.Add(10 * time.Second)
			m.Version++
			m.State = member.StateGone
			e.HandlePush(now, gossip.Push{From: at(2), Members: []member.Member{m}})
			e.Actions(now)
			m.Version++
			m.State = member.StateReady
			e.HandlePush(now, gossip.Push{From: at(2), Members: []member.Member{m}})
			e.Actions(now)
		}
	})
}

// BenchmarkCapacityTick measures a call of Actions when nothing or little is due.
func BenchmarkCapacityTick(b *testing.B) {
	forSizes(b, func(b *testing.B, n int) {
		e := newLoadedEngine(n)
		for b.Loop() {
			e.Actions(begin)
		}
	})
}

// BenchmarkCapacitySnapshot measures rebuilding the member lists after one record
// has changed.
func BenchmarkCapacitySnapshot(b *testing.B) {
	forSizes(b, func(b *testing.B, n int) {
		e := newLoadedEngine(n)
		m := fleetMember(n-1, n)
		b.ReportAllocs()
		for b.Loop() {
			m.Version++
			e.Table().Merge(m, begin)
			_, _ = e.Table().Balancers(), e.Table().Agents()
		}
	})
}
