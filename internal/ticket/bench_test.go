package ticket

import (
	"net/netip"
	"testing"
	"time"

	"github.com/saltbend/saltbend/internal/keyring"
)

func benchCodec(b *testing.B) (*Codec, Ticket) {
	b.Helper()
	ring, err := keyring.Parse(secretOne)
	if err != nil {
		b.Fatal(err)
	}
	return NewCodec(ring), Ticket{Home: netip.MustParseAddrPort("127.0.0.1:7"), Incarnation: 1, Service: 3}
}

func BenchmarkSeal(b *testing.B) {
	c, t := benchCodec(b)
	b.ReportAllocs()
	for b.Loop() {
		c.Seal(t)
	}
}

func BenchmarkOpen(b *testing.B) {
	c, t := benchCodec(b)
	text := c.Seal(t)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Open(text, t.Service); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkWindow takes a ticket from its issue to a recorded answer of 1 KiB, in a
// full window that evicts an answer for each new one.
func BenchmarkWindow(b *testing.B) {
	w, err := New(DefaultBounds)
	if err != nil {
		b.Fatal(err)
	}
	answer := Result{Outcome: Complete, Answer: Answer{Status: 200, Body: make([]byte, 1<<10)}}
	now := time.Unix(0, 0)
	b.ReportAllocs()
	for b.Loop() {
		n := w.Issue()
		w.Admit(n, Digest{}, now.Add(time.Second))
		w.Start(n, now)
		w.Finish(n, answer)
	}
}
