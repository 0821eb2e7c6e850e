package request_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/request"
)

var _ = Describe("Siblings", func() {
	var (
		ctx  context.Context
		net  *wires
		a, b *agent
	)
	limits := config.Limits{Slots: 1, Queue: 10, Connections: 10, BodyBytes: 64}

	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
		net = newWires()
		a = startAgent(ctx, 1, limits, net)
		b = startAgent(ctx, 2, limits, net)
		agents := []member.Member{
			{Control: address(1), Service: "exams", State: member.StateReady},
			{Control: address(2), Service: "exams", State: member.StateReady},
		}
		a.source.setAgents(agents)
		b.source.setAgents(agents)
	})

	It("run an idempotent request where a slot is free", func() {
		first := a.send(ctx, "GET", "/runners/1", "", "")
		Eventually(a.upstream.began, patience).Should(Receive())
		second := a.send(ctx, "GET", "/runners/2", "", "")
		Eventually(b.upstream.began, patience).Should(Receive())
		b.upstream.answer <- text("two")
		Expect(receive(second).Body.String()).To(Equal("two"))
		a.upstream.answer <- text("one")
		Expect(receive(first).Body.String()).To(Equal("one"))
	})

	It("never move a non-idempotent request", func() {
		a.tickets.decision = request.Decision{Verdict: request.VerdictRun, ID: "t"}
		a.send(ctx, "GET", "/runners/1", "", "")
		Eventually(a.upstream.began, patience).Should(Receive())
		answer := a.send(ctx, "POST", "/answers", "x", "t")
		Eventually(func() int { return a.handler.Load().Queued }, patience).Should(Equal(1))
		a.upstream.answer <- text("one")
		a.upstream.answer <- text("two")
		Expect(receive(answer).Body.String()).To(Equal("two"))
		Expect(b.upstream.ran()).To(BeEmpty())
	})

	It("cancel what the owner's caller no longer wants", func() {
		a.send(ctx, "GET", "/runners/1", "", "")
		Eventually(a.upstream.began, patience).Should(Receive())
		leaving, leave := context.WithCancel(ctx)
		second := a.send(leaving, "GET", "/runners/2", "", "")
		Eventually(b.upstream.began, patience).Should(Receive())
		leave()
		Expect(outcome(receive(second))).To(Equal(request.OutcomeUnknown))
		Eventually(func() int { return b.handler.Load().Running }, patience).Should(BeZero())
	})

	It("take the new idempotent requests of one that drains", func() {
		first := a.send(ctx, "GET", "/runners/1", "", "")
		Eventually(a.upstream.began, patience).Should(Receive())
		second := a.send(ctx, "GET", "/runners/2", "", "")
		Eventually(b.upstream.began, patience).Should(Receive()) // they know each other
		a.handler.Drain()
		third := a.send(ctx, "GET", "/runners/3", "", "")
		b.upstream.answer <- text("two")
		b.upstream.answer <- text("three")
		Expect(receive(second).Body.String()).To(Equal("two"))
		Expect(receive(third).Body.String()).To(Equal("three"))
		a.upstream.answer <- text("one")
		Expect(receive(first).Body.String()).To(Equal("one"))
		Expect(a.upstream.ran()).To(Equal([]string{"/runners/1"}))
	})

	It("give an answer that is too long to pass from the owner", func() {
		a.send(ctx, "GET", "/runners/1", "", "")
		Eventually(a.upstream.began, patience).Should(Receive())
		second := a.send(ctx, "GET", "/runners/2", "", "")
		Eventually(b.upstream.began, patience).Should(Receive())
		long := make([]byte, 1000)
		b.upstream.answer <- text(string(long))
		a.upstream.answer <- text("one")
		a.upstream.answer <- text(string(long))
		Expect(receive(second).Body.Len()).To(Equal(len(long)))
	})
})
