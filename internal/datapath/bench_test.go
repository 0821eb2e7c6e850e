package datapath

import (
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/ipv4"

	"github.com/saltbend/saltbend/internal/encap"
)

// BenchmarkDecision measures classify, route and the header of one datagram,
// without sockets.
func BenchmarkDecision(b *testing.B) {
	k := testKeys(b, testSecrets)
	var agents []netip.AddrPort
	for i := range 7 {
		agents = append(agents, netip.AddrPortFrom(agent1.Addr(), uint16(7000+i)))
	}
	face := &Face{Service: results, Agents: agentsAt(agents...)}
	for name, packet := range map[string][]byte{
		"flow":    short(k, results, agent1, 400),
		"initial": long(fixedBit, version1, []byte("12345678"), 1252),
		"forged":  short(testKeys(b, otherSecrets), results, agent1, 400),
	} {
		b.Run(name, func(b *testing.B) {
			f := newForwarder(agent1, newForwardCounters())
			f.own = k.clone()
			f.in.messages[0].N = copy(f.in.buffers[0][f.in.headroom:], packet)
			h := encap.Header{
				Kind: encap.KindForward, Caller: agent1, Face: publicFace, Service: results, Balancer: agent1,
			}
			b.ReportAllocs()
			for name == "initial" && b.Loop() {
				f.in.datagram(0)[longIDAt]++ // another flow each time
				f.decide(face, &h, 0)
			}
			for name != "initial" && b.Loop() {
				f.decide(face, &h, 0)
			}
		})
	}
}

// relay is one hop over three sockets: it reads batches at in and sends them
// from out to the sink.
type relay struct {
	sender, in, out, sink *net.UDPConn
	senderIO, sinkIO      *ipv4.PacketConn
	// step relays what one read yields and returns the number of datagrams; ok
	// is false once in is closed.
	step func() (n int, ok bool)
}

func newRelay(b *testing.B) *relay {
	r := &relay{sender: listen(b), in: listen(b), out: listen(b), sink: listen(b)}
	r.senderIO, r.sinkIO = ipv4.NewPacketConn(r.sender), ipv4.NewPacketConn(r.sink)
	return r
}

// newBareRelay does nothing but to read and write batches.
func newBareRelay(b *testing.B) *relay {
	r := newRelay(b)
	inIO, outIO := ipv4.NewPacketConn(r.in), ipv4.NewPacketConn(r.out)
	to := localAddr(r.sink)
	in, out := newInbox(0), newOutbox()
	r.step = func() (int, bool) {
		n, ok := receive(inIO, in)
		for i := range n {
			out.add(in.framed(i), to)
		}
		out.flush(outIO)
		return n, ok
	}
	return r
}

// newPathRelay is the forwarding path.
func newPathRelay(b *testing.B, k *Keys) *relay {
	r := newRelay(b)
	outIO := ipv4.NewPacketConn(r.out)
	socket := &Socket{face: publicFace, conn: r.in, io: ipv4.NewPacketConn(r.in)}
	face := &Face{Socket: socket, Service: results, Agents: agentsAt(localAddr(r.sink))}
	s := &Snapshot{Keys: k, Faces: map[netip.AddrPort]*Face{publicFace: face}}
	f := newForwarder(localAddr(r.out), newForwardCounters())
	r.step = func() (int, bool) {
		n, ok := receive(socket.io, f.in)
		f.process(s, publicFace, n)
		f.out.flush(outIO)
		return n, ok
	}
	return r
}

// fill returns a full outbox of copies of the packet for the relay.
func (r *relay) fill(packet []byte) *outbox {
	out := newOutbox()
	for range BatchSize {
		out.add(packet, localAddr(r.in))
	}
	return out
}

// timeStep relays one full batch and returns the time that the relay took.
func (r *relay) timeStep(b *testing.B, load *outbox, drain *inbox) time.Duration {
	load.n = BatchSize
	load.flush(r.senderIO)
	began := time.Now()
	for done := 0; done < BatchSize; {
		n, _ := r.step()
		done += n
	}
	took := time.Since(began)
	for done := 0; done < BatchSize; {
		n, ok := receive(r.sinkIO, drain)
		if !ok {
			b.Fatal("sink is closed")
		}
		done += n
	}
	return took
}

// BenchmarkForwardingPath times one full batch through the bare relay and one
// through the forwarding path in turn, on the same kinds of sockets, and
// reports the cost of a packet in each and the ratio of their rates.
func BenchmarkForwardingPath(b *testing.B) {
	for _, size := range []int{100, 1200} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			k := testKeys(b, testSecrets)
			bare, path := newBareRelay(b), newPathRelay(b, k)
			bareLoad := bare.fill(short(k, results, localAddr(bare.sink), size))
			pathLoad := path.fill(short(k, results, localAddr(path.sink), size))
			drain := newInbox(0)
			var bareTook, pathTook time.Duration
			for b.Loop() {
				bareTook += bare.timeStep(b, bareLoad, drain)
				pathTook += path.timeStep(b, pathLoad, drain)
			}
			packets := float64(b.N) * BatchSize
			b.ReportMetric(float64(bareTook.Nanoseconds())/packets, "bare-ns/packet")
			b.ReportMetric(float64(pathTook.Nanoseconds())/packets, "path-ns/packet")
			b.ReportMetric(bareTook.Seconds()/pathTook.Seconds(), "path/bare")
		})
	}
}

// BenchmarkRelayRate floods the bare relay and the forwarding path with more
// than they can carry, and reports how many packets a second pass each.
func BenchmarkRelayRate(b *testing.B) {
	const size = 400
	k := testKeys(b, testSecrets)
	for _, kind := range []string{"bare", "path"} {
		b.Run(kind, func(b *testing.B) {
			r := newBareRelay(b)
			if kind == "path" {
				r = newPathRelay(b, k)
			}
			load := r.fill(short(k, results, localAddr(r.sink), size))
			var stop atomic.Bool
			done := make(chan struct{}, 2)
			go func() {
				for !stop.Load() {
					load.n = BatchSize
					load.flush(r.senderIO)
				}
				done <- struct{}{}
			}()
			go func() {
				for drain := newInbox(0); ; {
					if _, ok := receive(r.sinkIO, drain); !ok {
						break
					}
				}
				done <- struct{}{}
			}()
			packets, syscalls := 0, 0
			began := time.Now()
			b.ReportAllocs()
			for packets < b.N {
				n, _ := r.step()
				packets += n
				syscalls++
			}
			b.ReportMetric(float64(packets)/time.Since(began).Seconds(), "packets/s")
			b.ReportMetric(float64(packets)/float64(syscalls), "packets/batch")
			stop.Store(true)
			<-done
			_ = r.sink.Close()
			<-done
		})
	}
}
