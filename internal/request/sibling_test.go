package request_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/request"
	"github.com/saltbend/saltbend/test/mesh"
)

var _ = Describe("Siblings", func() {
	var (
		ctx  context.Context
		net  *mesh.Mesh
		a, b *agent
	)
	limits := config.Limits{Slots: 1, Queue: 10, Connections: 10, BodyBytes: 64}

	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
		net = mesh.New()
		a = startAgent(ctx, 1, limits, net)
		b = startAgent(ctx, 2, limits, net)
		agents := []member.Member{
			{Control: address(1), Service: "exams", State: member.StateReady},
			{Control: address(2), Service: "exams", State: member.StateReady},
		}
		a.source.SetAgents(agents)
		b.source.SetAgents(agents)
	})

	It("run an idempotent request if they have a free slot", func() {
		first := a.send(ctx, "GET", "/runners/1", "", "")
		Eventually(a.upstream.began, waitTimeout).Should(Receive())
		second := a.send(ctx, "GET", "/runners/2", "", "")
		Eventually(b.upstream.began, waitTimeout).Should(Receive())
		b.upstream.answer <- text("two")
		Expect(receive(second).Body.String()).To(Equal("two"))
		a.upstream.answer <- text("one")
		Expect(receive(first).Body.String()).To(Equal("one"))
	})

	It("don't receive non-idempotent requests", func() {
		a.tickets.decision = request.Decision{Verdict: request.VerdictRun, ID: "t"}
		a.send(ctx, "GET", "/runners/1", "", "")
		Eventually(a.upstream.began, waitTimeout).Should(Receive())
		answer := a.send(ctx, "POST", "/answers", "x", "t")
		Eventually(func() int { return a.handler.Load().Queued }, waitTimeout).Should(Equal(1))
		a.upstream.answer <- text("one")
		a.upstream.answer <- text("two")
		Expect(receive(answer).Body.String()).To(Equal("two"))
		Expect(b.upstream.ran()).To(BeEmpty())
	})

	It("cancel a request when its caller disconnects from the owner", func() {
		a.send(ctx, "GET", "/runners/1", "", "")
		Eventually(a.upstream.began, waitTimeout).Should(Receive())
		leaving, leave := context.WithCancel(ctx)
		second := a.send(leaving, "GET", "/runners/2", "", "")
		Eventually(b.upstream.began, waitTimeout).Should(Receive())
		leave()
		Expect(outcome(receive(second))).To(Equal(request.OutcomeUnknown))
		Eventually(func() int { return b.handler.Load().Running }, waitTimeout).Should(BeZero())
	})

	It("run new idempotent requests of a draining agent", func() {
		first := a.send(ctx, "GET", "/runners/1", "", "")
		Eventually(a.upstream.began, waitTimeout).Should(Receive())
		second := a.send(ctx, "GET", "/runners/2", "", "")
		Eventually(b.upstream.began, waitTimeout).Should(Receive()) // so each agent has the other as a sibling
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

	It("leave a request to its owner when the answer is too long to send", func() {
		a.send(ctx, "GET", "/runners/1", "", "")
		Eventually(a.upstream.began, waitTimeout).Should(Receive())
		second := a.send(ctx, "GET", "/runners/2", "", "")
		Eventually(b.upstream.began, waitTimeout).Should(Receive())
		long := make([]byte, 1000)
		b.upstream.answer <- text(string(long))
		a.upstream.answer <- text("one")
		a.upstream.answer <- text(string(long))
		Expect(receive(second).Body.Len()).To(Equal(len(long)))
	})

	Describe("of a draining agent with an open feed", func() {
		var here *io.PipeWriter
		var caller <-chan *httptest.ResponseRecorder

		BeforeEach(func() {
			var answer reply
			answer, here = feed()
			a.upstream.answer <- answer
			caller = a.send(ctx, "GET", "/feed", "", "")
			Eventually(a.upstream.began, waitTimeout).Should(Receive())
		})
		write := func(w *io.PipeWriter, text string) {
			GinkgoHelper()
			Expect(io.WriteString(w, text)).To(Equal(len(text)))
		}

		It("resume the feed after the last event, on the same connection to the caller", func() {
			write(here, "id: 1\ndata: a\n\n")
			write(here, "id: 2\nda") // incomplete; the sibling has to send the whole event
			answer, there := feed()
			b.upstream.answer <- answer
			go a.handler.Drain()
			var r *http.Request
			Eventually(b.upstream.began, waitTimeout).Should(Receive(&r))
			Expect(r.Header.Get("Last-Event-ID")).To(Equal("1"))
			write(there, "id: 2\ndata: b\n\n")
			Expect(there.Close()).To(Succeed())
			w := receive(caller)
			Expect(w.Code).To(Equal(http.StatusOK))
			Expect(w.Body.String()).To(Equal("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
			Eventually(func() int { return b.handler.Load().Feeds }, waitTimeout).Should(BeZero())
		})

		It("don't receive a feed without event ids", func() {
			write(here, "data: a\n\n")
			a.handler.Drain()
			write(here, "data: b\n\n")
			Expect(here.Close()).To(Succeed())
			Expect(receive(caller).Body.String()).To(Equal("data: a\n\ndata: b\n\n"))
			Expect(b.upstream.ran()).To(BeEmpty())
		})

		It("don't receive a feed of a class that can't be resumed", func() {
			answer, local := feed()
			a.upstream.answer <- answer
			caller := a.send(ctx, "GET", "/local-feed", "", "")
			Eventually(a.upstream.began, waitTimeout).Should(Receive())
			write(local, "id: 1\ndata: a\n\n")
			a.handler.Drain()
			write(local, "id: 2\ndata: b\n\n")
			Expect(local.Close()).To(Succeed())
			Expect(receive(caller).Body.String()).To(Equal("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
			Expect(b.upstream.ran()).To(BeEmpty())
			Expect(here.Close()).To(Succeed())
		})

		It("let the feed continue at the agent when none of them accepts it", func() {
			write(here, "id: 1\ndata: a\n\n")
			b.handler.Drain()
			a.handler.Drain()
			write(here, "id: 2\ndata: b\n\n")
			Expect(here.Close()).To(Succeed())
			Expect(receive(caller).Body.String()).To(Equal("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
		})

		It("resume the feed when the upstream of the agent fails", func() {
			write(here, "id: 1\ndata: a\n\n")
			answer, there := feed()
			b.upstream.answer <- answer
			Expect(here.CloseWithError(io.ErrUnexpectedEOF)).To(Succeed())
			Eventually(b.upstream.began, waitTimeout).Should(Receive())
			write(there, "id: 2\ndata: b\n\n")
			Expect(there.Close()).To(Succeed())
			Expect(receive(caller).Body.String()).To(Equal("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
		})
	})
})
