package datapath

import (
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"

	"github.com/saltbend/saltbend/internal/encap"
)

// BenchmarkDecision measures classification, routing and header encoding of one
// datagram, without sockets.
func BenchmarkDecision(b *testing.B) {
	k := testKeys(b, testSecrets)
	var agents []netip.AddrPort
	for i := range 7 {
		agents = append(agents, netip.AddrPortFrom(agent1.Addr(), uint16(7000+i)))
	}
	face := &Face{Service: results, Agents: agentsAt(agents...)}
	for _, tc := range []struct {
		name   string
		packet []byte
		vary   int // offset of the byte that changes with each datagram
	}{
		{"flow", shortPacket(k, results, agent1, 400), 300},
		{"initial", longPacket(fixedBit, version1, []byte("12345678"), 1252), longIDAt},
		{"forged", shortPacket(testKeys(b, otherSecrets), results, agent1, 400), 300},
	} {
		b.Run(tc.name, func(b *testing.B) {
			f := newForwarder(agent1, publicFace, newResetLimiter())
			f.use(&Snapshot{Keys: k, Faces: map[netip.AddrPort]*Face{publicFace: face}})
			c := newForwardCounters()
			buffer := make([]byte, bufferSize)
			end := encap.HeaderSize + copy(buffer[encap.HeaderSize:], tc.packet)
			b.ReportAllocs()
			for b.Loop() {
				buffer[encap.HeaderSize+tc.vary]++
				f.decide(buffer, end, agent1, c)
			}
		})
	}
}

// bareRelay reads batches from one socket and sends them through another without
// processing them. It is the baseline for the data path's benchmarks.
func bareRelay(in, out *net.UDPConn, to netip.AddrPort) {
	inIO, outIO := ipv4.NewPacketConn(in), ipv4.NewPacketConn(out)
	received, sending := newBatch(dataBatch), newBatch(dataBatch)
	for i := range received.messages {
		received.messages[i].Buffers[0] = received.buffers[i]
	}
	for {
		n, err := inIO.ReadBatch(received.messages, 0)
		if err != nil {
			return
		}
		for i := range n {
			sending.add(received.buffers[i], 0, received.messages[i].N, to)
		}
		if sending.send(outIO, func() {}) != nil {
			return
		}
	}
}

// payloadSize is the size in bytes of callers' datagrams in the relay benchmarks.
const payloadSize = 400

// hop is a relay under test with the sockets of its sender and its sink.
type hop struct {
	sender, sink *net.UDPConn
	in           netip.AddrPort
	packet       []byte
}

func bareHop(b *testing.B) hop {
	in, out, sink := listen(b), listen(b), listen(b)
	go bareRelay(in, out, localAddr(sink))
	return hop{sender: listen(b), sink: sink, in: localAddr(in), packet: make([]byte, payloadSize)}
}

// forwardHop returns a data path that forwards a caller's datagrams to an agent.
func forwardHop(b *testing.B) hop {
	r := newRig(b)
	packet := shortPacket(r.keys, results, localAddr(r.agent), payloadSize)
	return hop{sender: r.caller, sink: r.agent, in: r.face.Socket.Addr(), packet: packet}
}

// replyHop returns a data path that forwards an agent's datagrams to a caller.
func replyHop(b *testing.B) hop {
	r := newRig(b)
	h := encap.Header{Kind: encap.KindReply, Caller: localAddr(r.caller), Face: publicFace, Service: results}
	packet := make([]byte, encap.HeaderSize+payloadSize)
	if err := r.keys.Headers.Clone().Encode(packet, &h); err != nil {
		b.Fatal(err)
	}
	return hop{sender: r.agent, sink: r.caller, in: r.data, packet: packet}
}

var hops = []struct {
	name string
	make func(*testing.B) hop
}{{"bare", bareHop}, {"forward", forwardHop}, {"reply", replyHop}}

// flood sends full batches to the relay until stop is set.
func (h hop) flood(stop *atomic.Bool, done chan<- struct{}) {
	io, load := ipv4.NewPacketConn(h.sender), newBatch(dataBatch)
	for !stop.Load() {
		for !load.full() {
			load.add(h.packet, 0, len(h.packet), h.in)
		}
		_ = load.send(io, func() {})
	}
	done <- struct{}{}
}

// processorTime returns the CPU time used by the process so far, which includes
// the sender and the sink.
func processorTime(b *testing.B) time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRelayRate floods a bare batched relay and both directions of the data
// path, on the same kinds of sockets, with more packets than they can forward. It
// reports the packets per second that pass each of them.
func BenchmarkRelayRate(b *testing.B) {
	for _, kind := range hops {
		b.Run(kind.name, func(b *testing.B) {
			h := kind.make(b)
			var stop atomic.Bool
			done := make(chan struct{})
			go h.flood(&stop, done)
			buffer := make([]byte, bufferSize)
			began, used := time.Now(), processorTime(b)
			b.ReportAllocs()
			for b.Loop() {
				if _, _, err := receive(h.sink, buffer, 0); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "packets/s")
			b.ReportMetric(float64(processorTime(b)-used)/float64(b.N), "cpu-ns/packet")
			stop.Store(true)
			<-done
		})
	}
}

// BenchmarkRelayDelay measures the time from sender to sink of single packets.
func BenchmarkRelayDelay(b *testing.B) {
	for _, kind := range hops {
		b.Run(kind.name, func(b *testing.B) {
			h := kind.make(b)
			buffer := make([]byte, bufferSize)
			b.ReportAllocs()
			for b.Loop() {
				send(b, h.sender, h.in, h.packet)
				if _, _, err := receive(h.sink, buffer, 0); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkCapacityFaces measures the heap and stack memory that open faces use.
func BenchmarkCapacityFaces(b *testing.B) {
	for _, n := range []int{50, 100, 200} {
		b.Run(fmt.Sprintf("faces=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := memoryInUse()
				p := Start(listen(b), agent1, &Snapshot{Keys: testKeys(b, testSecrets), Faces: faces(b, n)})
				b.ReportMetric(float64(memoryInUse()-before), "bytes")
				p.Close()
			}
		})
	}
}

func faces(b *testing.B, n int) map[netip.AddrPort]*Face {
	out := make(map[netip.AddrPort]*Face, n)
	for i := range n {
		public := netip.AddrPortFrom(publicFace.Addr(), uint16(1000+i))
		s, err := Open(public, anyPort)
		if err != nil {
			b.Fatal(err)
		}
		out[public] = &Face{Socket: s, Service: results, Agents: agentsAt(agent1)}
	}
	return out
}

func memoryInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
