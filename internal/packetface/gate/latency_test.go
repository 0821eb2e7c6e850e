package gate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/platform"
)

// The response time in the status expires, so that balancers try an upstream again that was
// slow.
func TestResponseTimeInStatusExpires(t *testing.T) {
	b := newBench(t)
	b.begin("i-1")
	b.open(flow(1))
	ask := func(seq uint32, took time.Duration) {
		b.send(flow(1), seq, platform.FlagACK, 30)
		b.now += took
		b.answer(flow(1))
	}
	ask(2, 400*time.Millisecond)
	b.Expect(b.gate.Status(b.now).ResponseTime).To(Equal(400 * time.Millisecond))
	b.now += 3 * second
	b.Expect(b.gate.Status(b.now).ResponseTime).To(BeZero())
	ask(32, 40*time.Millisecond)
	b.Expect(b.gate.Status(b.now).ResponseTime).To(Equal(40 * time.Millisecond))
}
