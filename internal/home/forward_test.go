package home

import (
	"context"
	"log/slog"
	"net/netip"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/keyring"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/peer"
	"github.com/saltbend/saltbend/internal/request"
	"github.com/saltbend/saltbend/internal/ticket"
)

// failingCaller counts the forwarded requests and fails each after a delay.
type failingCaller struct {
	err   error
	after time.Duration
	calls atomic.Int64
}

func (c *failingCaller) Call(_ context.Context, _ netip.AddrPort, method string, _, _ any) error {
	if method == methodRun {
		c.calls.Add(1)
		time.Sleep(c.after) // simulates the duration of a connection attempt
	}
	return c.err
}

// fixedSource is a member list that doesn't change.
type fixedSource struct{ snapshot *control.Snapshot }

func (s fixedSource) Snapshot() *control.Snapshot { return s.snapshot }
func (s fixedSource) Changed() <-chan struct{}    { return nil }

func TestForwardIsRetriedOnlyWhenARetryCanSucceed(t *testing.T) {
	for name, c := range map[string]struct {
		err   error
		after time.Duration
		calls int
	}{
		"refused":             {&peer.CallError{Outcome: peer.ErrUnreachable, Cause: errors.New("refused")}, 0, maxForwards},
		"interrupted":         {&peer.CallError{Outcome: peer.ErrInterrupted, Cause: errors.New("reset")}, 0, maxForwards},
		"unresponsive host":   {&peer.CallError{Outcome: peer.ErrUnreachable, Cause: errors.New("timeout")}, unresponsiveDialTime + time.Millisecond, 1},
		"error from the home": {rpc.ServerError("no such method"), 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ring, err := keyring.Parse("1:000102030405060708090a0b0c0d0e0f")
			g.Expect(err).NotTo(HaveOccurred())
			other := member.Member{Control: netip.MustParseAddrPort("127.0.0.1:9"), Service: "exams", Incarnation: 7}
			caller := &failingCaller{err: c.err, after: c.after}
			h, err := New(Options{
				Self:   member.Member{Control: netip.MustParseAddrPort("127.0.0.1:8"), Service: "exams", Incarnation: 7},
				Source: fixedSource{&control.Snapshot{Agents: []member.Member{other}}},
				Caller: caller, Ring: ring, Logger: slog.New(slog.DiscardHandler),
			})
			g.Expect(err).NotTo(HaveOccurred())
			text := ticket.NewCodec(ring).Seal(ticket.Ticket{Home: other.Control, Incarnation: 7, Service: h.tag})
			answer, err := h.Forward(context.Background(), other.Control, text, &request.Call{})
			g.Expect(err).To(MatchError(c.err))
			g.Expect(answer).To(BeNil())
			g.Expect(caller.calls.Load()).To(BeEquivalentTo(c.calls))
		})
	}
}
