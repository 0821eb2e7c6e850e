package request_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/request"
	"github.com/saltbend/saltbend/internal/upstream"
	"github.com/saltbend/saltbend/test/mesh"
)

// flakyUpstream stands for all upstreams of a service. It fails some requests,
// depending on their target and the number of earlier runs, and counts the runs of each
// target.
type flakyUpstream struct {
	mu  sync.Mutex
	ran map[string]int
}

func (e *flakyUpstream) Run(ctx context.Context, q *http.Request, _ config.Class) (*http.Response, error) {
	uri := q.URL.RequestURI()
	e.mu.Lock()
	attempt := e.ran[uri]
	e.mu.Unlock()
	fault := xxhash.Sum64String(fmt.Sprint(uri, attempt)) % 20
	if fault == 0 {
		return nil, &upstream.Error{Outcome: upstream.ErrNotSent, Cause: errors.New("refused")}
	}
	e.mu.Lock()
	e.ran[uri]++
	e.mu.Unlock()
	select {
	case <-time.After(time.Millisecond):
	case <-ctx.Done():
		return nil, &upstream.Error{Outcome: upstream.ErrMayHaveRun, Cause: ctx.Err()}
	}
	status, body := http.StatusOK, io.Reader(strings.NewReader(uri))
	switch fault {
	case 1:
		return nil, &upstream.Error{Outcome: upstream.ErrMayHaveRun, Cause: errors.New("reset")}
	case 2:
		status = http.StatusServiceUnavailable
	case 3:
		body = io.MultiReader(strings.NewReader("part"), brokenReader{})
	}
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(body)}, nil
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

var _ = Describe("A service with failing upstreams and a draining agent", func() {
	const requests, callers = 1500, 50

	It("reports one correct outcome for each request", func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		net, service := mesh.New(), &flakyUpstream{ran: map[string]int{}}
		var agents []*agent
		var members []member.Member
		for port := range uint16(3) {
			a := startAgentOn(ctx, port+1, config.Limits{Slots: 4, Queue: 8, Connections: 10, BodyBytes: 256}, net, service)
			a.tickets.decision = request.Decision{Verdict: request.VerdictRun, ID: "t"}
			agents = append(agents, a)
			members = append(members, member.Member{Control: address(port + 1), Service: "exams", State: member.StateReady})
		}
		for _, a := range agents {
			a.source.SetAgents(members)
		}

		jobs := make(chan int)
		answers := make([]*httptest.ResponseRecorder, requests)
		targets := make([]string, requests)
		var workers sync.WaitGroup
		for range callers {
			workers.Go(func() {
				for i := range jobs {
					method, target, ticket := shape(i)
					targets[i] = target
					answers[i] = <-agents[i%len(agents)].send(ctx, method, target, "body", ticket)
				}
			})
		}
		for i := range requests {
			if i == requests/2 {
				agents[0].handler.Drain()
			}
			jobs <- i
		}
		close(jobs)
		workers.Wait()

		seen := map[request.Outcome]int{}
		for i, w := range answers {
			runs := service.ran[targets[i]]
			seen[outcome(w)]++
			switch outcome(w) {
			case request.OutcomeComplete:
				Expect(w.Body.String()).To(Equal(targets[i]), "answer belongs to another request")
			case request.OutcomeNotRun:
				Expect(runs).To(BeZero(), "outcome was not-run, but an upstream ran "+targets[i])
			case request.OutcomeUnknown:
			default:
				Fail("response without an outcome header for " + targets[i])
			}
			if strings.HasPrefix(targets[i], "/answers") {
				Expect(runs).To(BeNumerically("<=", 1), targets[i])
			}
		}
		for _, o := range []request.Outcome{request.OutcomeComplete, request.OutcomeNotRun, request.OutcomeUnknown} {
			Expect(seen[o]).NotTo(BeZero(), "the test never produced the outcome "+string(o))
		}
		for _, a := range agents {
			Eventually(func() int { return a.handler.Load().Running + a.handler.Load().Queued }, waitTimeout).Should(BeZero())
		}
	})
})

// shape returns the method, target and ticket of the i-th request.
func shape(i int) (method, target, ticket string) {
	switch i % 4 {
	case 0:
		return "POST", fmt.Sprintf("/answers?i=%d", i), "t"
	case 1:
		return "PUT", fmt.Sprintf("/photos/%d", i), "t"
	case 2:
		return "GET", fmt.Sprintf("/reports/%d", i), ""
	default:
		return "GET", fmt.Sprintf("/runners/%d", i), ""
	}
}
