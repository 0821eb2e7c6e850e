package flow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/encap"
)

// inFlight is the number of datagrams that wait in the kernel at once.
const inFlight = 64

// BenchmarkReceive measures the agent's cost of passing a datagram to QUIC.
func BenchmarkReceive(b *testing.B) {
	g := NewWithT(b)
	c := listen(b, nil)
	p := newPeer(b, ring(g, oldSecret))
	wire := make([]byte, encap.HeaderSize+1200)
	h := p.header()
	g.Expect(p.codec.Encode(wire, &h)).To(Succeed())
	wire[encap.HeaderSize] = 0x40
	into := make([]byte, encap.MaxDatagram)
	waiting := 0
	b.ReportAllocs()
	for b.Loop() {
		if waiting == 0 {
			b.StopTimer()
			for ; waiting < inFlight; waiting++ {
				if _, err := p.socket.WriteToUDPAddrPort(wire, c.Addr()); err != nil {
					b.Fatal(err)
				}
			}
			b.StartTimer()
		}
		if _, _, err := c.ReadFrom(into); err != nil {
			b.Fatal(err)
		}
		waiting--
	}
}

// BenchmarkReply measures how long WriteTo takes in QUIC's sending goroutine;
// another goroutine makes the system call.
func BenchmarkReply(b *testing.B) {
	c := listen(b, nil)
	p := newPeer(b, ring(NewWithT(b), oldSecret))
	f := c.paths.Arrived(time.Now(), caller, p.addr())
	payload := make([]byte, PacketSize)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.WriteTo(payload, f); err != nil {
			b.Fatal(err)
		}
	}
}
