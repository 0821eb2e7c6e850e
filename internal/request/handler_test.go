package request_test

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/health"
	"github.com/saltbend/saltbend/internal/request"
)

// receive waits for a response.
func receive(c <-chan *httptest.ResponseRecorder) *httptest.ResponseRecorder {
	GinkgoHelper()
	var w *httptest.ResponseRecorder
	Eventually(c, waitTimeout).Should(Receive(&w))
	return w
}

func outcome(w *httptest.ResponseRecorder) request.Outcome {
	return request.Outcome(w.Header().Get(request.HeaderOutcome))
}

var _ = Describe("Handler", func() {
	var ctx context.Context
	one := config.Limits{Slots: 1, Queue: 2, Connections: 2, BodyBytes: 64}

	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
	})

	// busy starts an agent and occupies its only slot.
	busy := func() (*agent, <-chan *httptest.ResponseRecorder) {
		a := startAgent(ctx, 1, one, nil)
		first := a.send(ctx, "GET", "/runners/first", "", "")
		Eventually(a.upstream.began, waitTimeout).Should(Receive())
		return a, first
	}

	queued := func(a *agent, n int) {
		GinkgoHelper()
		Eventually(func() int { return a.handler.Load().Queued }, waitTimeout).Should(Equal(n))
	}

	It("returns the complete answer with a new ticket", func() {
		a := startAgent(ctx, 1, one, nil)
		a.upstream.answer <- text("found")
		w := receive(a.send(ctx, "GET", "/runners/7", "", ""))
		Expect(w.Code).To(Equal(http.StatusOK))
		Expect(w.Body.String()).To(Equal("found"))
		Expect(outcome(w)).To(Equal(request.OutcomeComplete))
		Expect(w.Header().Get(request.HeaderTicket)).To(Equal("fresh"))
	})

	It("streams an answer that exceeds the limit of the body size", func() {
		a := startAgent(ctx, 1, one, nil)
		long := strings.Repeat("x", 1000)
		a.upstream.answer <- text(long)
		w := receive(a.send(ctx, "GET", "/runners/7", "", ""))
		Expect(w.Body.String()).To(Equal(long))
		Expect(outcome(w)).To(Equal(request.OutcomeComplete))
	})

	It("runs queued requests by the priority of their class", func() {
		a, first := busy()
		report := a.send(ctx, "GET", "/reports/1", "", "")
		queued(a, 1)
		lookup := a.send(ctx, "GET", "/runners/1", "", "")
		queued(a, 2)
		for range 3 {
			a.upstream.answer <- text("done")
		}
		receive(first)
		receive(report)
		receive(lookup)
		Expect(a.upstream.ran()).To(Equal([]string{"/runners/first", "/runners/1", "/reports/1"}))
	})

	It("refuses a request when the queue is full, unless it can displace a less urgent one", func() {
		a, _ := busy()
		a.send(ctx, "GET", "/reports/1", "", "")
		queued(a, 1)
		last := a.send(ctx, "GET", "/reports/2", "", "")
		queued(a, 2)
		w := receive(a.send(ctx, "GET", "/reports/3", "", ""))
		Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(outcome(w)).To(Equal(request.OutcomeNotRun))
		Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
		a.send(ctx, "GET", "/runners/1", "", "")
		Expect(outcome(receive(last))).To(Equal(request.OutcomeNotRun))
		Expect(a.upstream.ran()).To(HaveLen(1))
	})

	It("removes a queued request when its caller disconnects", func() {
		a, _ := busy()
		leaving, leave := context.WithCancel(ctx)
		gone := a.send(leaving, "GET", "/runners/gone", "", "")
		queued(a, 1)
		leave()
		Expect(outcome(receive(gone))).To(Equal(request.OutcomeNotRun))
		queued(a, 0)
		Expect(a.upstream.ran()).To(HaveLen(1))
	})

	It("limits the number of feeds, which take no slots", func() {
		a := startAgent(ctx, 1, one, nil)
		feed := a.send(ctx, "GET", "/feed", "", "")
		Eventually(a.upstream.began, waitTimeout).Should(Receive())
		Expect(a.handler.Load().Running).To(BeZero())
		w := receive(a.send(ctx, "GET", "/feed", "", ""))
		Expect(w.Code).To(Equal(http.StatusTooManyRequests))
		a.upstream.answer <- text("event")
		Expect(receive(feed).Body.String()).To(Equal("event"))
	})

	It("retries an idempotent request after a failed run", func() {
		a := startAgent(ctx, 1, one, nil)
		a.upstream.answer <- mayHaveRun()
		a.upstream.answer <- text("found")
		w := receive(a.send(ctx, "GET", "/runners/7", "", ""))
		Expect(w.Body.String()).To(Equal("found"))
		Expect(a.upstream.ran()).To(HaveLen(2))
	})

	It("gives an upstream in slow start a low weight from the first verdict on", func() {
		service := exams(one)
		service.Health = config.Health{Path: "/health", Interval: time.Hour, SlowStart: time.Hour}
		up := newRunner()
		up.answer <- text(`{"status":"ok"}`)
		verdicts := make(chan health.Verdict, 100)
		_, err := request.NewHandler(ctx, request.Options{
			Service: "exams", Self: address(1), Source: newSource(service), Upstream: up,
			OnVerdict: func(v health.Verdict) { verdicts <- v },
			Logger:    slog.New(slog.NewTextHandler(GinkgoWriter, nil)),
		})
		Expect(err).NotTo(HaveOccurred())
		var first health.Verdict
		Eventually(verdicts, waitTimeout).Should(Receive(&first))
		Expect(first.Weight).To(BeNumerically("<", health.FullWeight/2))
		Expect(first.Draws).To(BeTrue())
	})

	It("refuses new requests while draining, and completes the running ones", func() {
		a, first := busy()
		a.handler.Drain()
		w := receive(a.send(ctx, "GET", "/runners/late", "", ""))
		Expect(outcome(w)).To(Equal(request.OutcomeNotRun))
		a.upstream.answer <- text("done")
		Expect(outcome(receive(first))).To(Equal(request.OutcomeComplete))
	})

	Describe("with a non-idempotent request", func() {
		run := request.Decision{Verdict: request.VerdictRun, ID: "t"}

		It("requires a ticket", func() {
			a := startAgent(ctx, 1, one, nil)
			w := receive(a.send(ctx, "POST", "/answers", "a", ""))
			Expect(w.Code).To(Equal(http.StatusPreconditionRequired))
			Expect(w.Header().Get(request.HeaderTicket)).To(Equal("fresh"))
			Expect(a.upstream.ran()).To(BeEmpty())
		})

		DescribeTable("records the outcome that it reports to the caller",
			func(r reply, want request.Outcome) {
				a := startAgent(ctx, 1, one, nil)
				a.tickets.decision = run
				a.upstream.answer <- r
				w := receive(a.send(ctx, "POST", "/answers", "a", "t"))
				Expect(outcome(w)).To(Equal(want))
				Expect(a.tickets.finished).To(HaveLen(1))
				Expect(a.tickets.finished[0].Outcome).To(Equal(want))
				Expect(a.upstream.ran()).To(HaveLen(1))
			},
			Entry("whole answer", text("ok"), request.OutcomeComplete),
			Entry("upstream error", reply{status: 503, body: strings.NewReader("")}, request.OutcomeComplete),
			Entry("never sent", notSent(), request.OutcomeNotRun),
			Entry("upstream crash", mayHaveRun(), request.OutcomeUnknown),
		)

		It("voids the ticket of a refused request", func() {
			a, _ := busy()
			a.tickets.decision = run
			a.handler.Drain()
			w := receive(a.send(ctx, "POST", "/answers", "a", "t"))
			Expect(outcome(w)).To(Equal(request.OutcomeNotRun))
			Expect(a.tickets.voided).To(Equal(1))
			Expect(a.upstream.ran()).To(HaveLen(1))
		})

		It("completes the run after the caller disconnects", func() {
			a := startAgent(ctx, 1, one, nil)
			a.tickets.decision = run
			leaving, leave := context.WithCancel(ctx)
			answer := a.send(leaving, "POST", "/answers", "a", "t")
			Eventually(a.upstream.began, waitTimeout).Should(Receive())
			leave()
			a.upstream.answer <- text("ok")
			receive(answer)
			Expect(a.tickets.finished[0].Outcome).To(Equal(request.OutcomeComplete))
		})

		It("reports the outcome unknown when the home can't be reached", func() {
			a := startAgent(ctx, 1, one, nil)
			a.tickets.decision = request.Decision{Verdict: request.VerdictForward, Home: address(9)}
			w := receive(a.send(ctx, "POST", "/answers", "a", "t"))
			Expect(w.Code).To(Equal(http.StatusBadGateway))
			Expect(outcome(w)).To(Equal(request.OutcomeUnknown))
			Expect(a.upstream.ran()).To(BeEmpty())
		})
	})
})
