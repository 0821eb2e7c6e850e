package apply_test

import (
	"fmt"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/apply"
	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/record"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/internal/store/httpstore"
	"github.com/saltbend/saltbend/test/storefake"
)

const (
	racers          = 5
	changesPerRacer = 10
	callTimeout     = 200 * time.Millisecond
)

// text returns a valid file that is unique to this change.
func text(racer, n int) []byte {
	return fmt.Appendf(nil, "version: 1\nservices: # change %d of %d\n"+
		"  - {name: a, faces: ['192.0.2.1:1'], classes: [{name: c, path: /c}]}\n", n, racer)
}

// startProxy starts a TCP proxy in front of the store that injects the faults given as
// toxics, and returns its base URL.
func startProxy(t *testing.T, base string, toxics ...string) string {
	t.Helper()
	u, err := url.Parse(base)
	if err != nil {
		t.Fatal(err)
	}
	proxy := toxiproxy.NewProxy()
	proxy.Name, proxy.Listen, proxy.Upstream = t.Name(), "127.0.0.1:0", u.Host
	if err := proxy.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Stop)
	for _, toxic := range toxics {
		if _, err := proxy.Toxics.AddToxicJson(strings.NewReader(toxic)); err != nil {
			t.Fatal(err)
		}
	}
	return "http://" + proxy.Listen
}

func open(t *testing.T, base string) *httpstore.Client {
	t.Helper()
	c, err := httpstore.New([]string{base}, httpstore.Options{Timeout: callTimeout})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// submission is a submitted change and the result that its operator got.
type submission struct {
	id     record.ChangeID
	result apply.Result
}

// race applies the changes of all operators concurrently. Each operator submits a change
// until it is accepted.
func race(t *testing.T, base string) []submission {
	var mu sync.Mutex
	var submissions []submission
	var racing sync.WaitGroup
	for racer := range racers {
		racing.Go(func() {
			for n := 0; n < changesPerRacer && t.Context().Err() == nil; {
				submitted := submit(t, base, racer, n)
				mu.Lock()
				submissions = append(submissions, submitted)
				mu.Unlock()
				switch submitted.result.Verdict {
				case apply.Accepted, apply.Replaced:
					n++
				case apply.Conflict, apply.Unavailable:
				default:
					return // checkVerdict reports it
				}
			}
		})
	}
	racing.Wait()
	return submissions
}

// submit applies one change over new connections, as each run of the command-line tool does.
func submit(t *testing.T, base string, racer, n int) submission {
	var submitted submission
	s := open(t, base)
	env := apply.Env{
		Store: s, Now: time.Now, Pause: apply.Backoff(time.Millisecond, 20*time.Millisecond), Progress: func(string) {},
		NewID: func() record.ChangeID {
			submitted.id = record.ChangeID(fmt.Sprintf("%d-%d-%d", racer, n, time.Now().UnixNano()))
			return submitted.id
		},
	}
	res, err := apply.Run(t.Context(), apply.Request{File: "f", Text: text(racer, n), Operator: fmt.Sprint(racer)}, env)
	if err != nil {
		t.Error(err)
	}
	submitted.result = res
	return submitted
}

// TestRacingOperatorsGetCorrectVerdicts lets operators write concurrently over connections
// that break before or after the store has applied the write.
func TestRacingOperatorsGetCorrectVerdicts(t *testing.T) {
	tests := []struct {
		name   string
		faults storefake.Faults
		toxics []string
	}{
		{name: "store loses answers", faults: storefake.Faults{LoseAnswer: 0.5}},
		{name: "connections lose answers", toxics: []string{
			`{"type":"limit_data","stream":"downstream","toxicity":0.4,"attributes":{"bytes":20}}`}},
		{name: "connections lose requests", toxics: []string{
			`{"type":"limit_data","stream":"upstream","toxicity":0.3,"attributes":{"bytes":200}}`,
			`{"type":"limit_data","stream":"downstream","toxicity":0.3,"attributes":{"bytes":20}}`}},
		{name: "requests arrive after their time", toxics: []string{
			`{"type":"latency","stream":"upstream","toxicity":0.3,"attributes":{"latency":300}}`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			fake := storefake.New()
			server := httptest.NewServer(fake.Handler())
			defer server.Close()
			// With one request per connection, the toxics apply to every request.
			server.Config.SetKeepAlivesEnabled(false)
			fake.SetFaults(tt.faults)
			submissions := race(t, startProxy(t, server.URL, tt.toxics...))

			fake.SetFaults(storefake.Faults{})
			stored, err := apply.Current(t.Context(), open(t, server.URL))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(stored.Record.Covers(0)).To(gomega.BeTrue())
			g.Expect(stored.Record.Sequence).To(gomega.BeEquivalentTo(racers * changesPerRacer))
			lost := 0
			for _, submitted := range submissions {
				checkVerdict(g, stored, submitted)
				if errors.Is(submitted.result.Err, store.ErrOutcomeUnknown) {
					lost++
				}
			}
			t.Logf("%d submissions, %d with a lost answer", len(submissions), lost)
			g.Expect(lost).To(gomega.BeNumerically(">", 0), "no answer was lost, so the faults had no effect")
		})
	}
}

func checkVerdict(g *gomega.WithT, stored *apply.StoredRecord, submitted submission) {
	revision, accepted := stored.Record.Find(submitted.id, stored.Revision)
	switch submitted.result.Verdict {
	case apply.Accepted, apply.Replaced:
		g.Expect(accepted).To(gomega.BeTrue(), "change %s: verdict %s, but the store did not accept it", submitted.id, submitted.result.Verdict)
		g.Expect(submitted.result.Revision).To(gomega.Equal(revision))
	case apply.Conflict:
		g.Expect(accepted).To(gomega.BeFalse(), "change %s: verdict conflict, but the store accepted it", submitted.id)
		g.Expect(submitted.result.Winner).NotTo(gomega.BeNil())
	case apply.Unavailable:
		g.Expect(accepted).To(gomega.BeFalse(), "change %s: verdict unavailable, but the store accepted it", submitted.id)
	default:
		g.Expect(submitted.result.Verdict).To(gomega.BeEmpty(), "%s", submitted.id)
	}
}

func TestApplyToUnavailableStoreWritesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	fake := storefake.New()
	server := httptest.NewServer(fake.Handler())
	defer server.Close()
	s := open(t, server.URL)
	g.Expect(submit(t, server.URL, 0, 0).result.Verdict).To(gomega.Equal(apply.Accepted))
	fake.SetFaults(storefake.Faults{Down: true})
	g.Expect(submit(t, server.URL, 0, 1).result.Verdict).To(gomega.Equal(apply.Unavailable))
	fake.SetFaults(storefake.Faults{})
	stored, err := apply.Current(t.Context(), s)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(stored.Record.Text).To(gomega.Equal(string(text(0, 0))))
}

func TestVerdictsThatNeedNoWrite(t *testing.T) {
	g := gomega.NewWithT(t)
	fake := storefake.New()
	server := httptest.NewServer(fake.Handler())
	defer server.Close()
	s := open(t, server.URL)
	first := submit(t, server.URL, 0, 0).result
	stale := first.Revision - 1
	run := func(req apply.Request) apply.Result {
		res, err := apply.Run(t.Context(), req, apply.Env{
			Store: s, Now: time.Now, NewID: func() record.ChangeID { return "later" },
			Pause: apply.Backoff(time.Millisecond, time.Millisecond), Progress: func(string) {},
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return res
	}
	moved := []byte(strings.Replace(string(text(0, 0)), "name: a", "name: b", 1))

	g.Expect(run(apply.Request{Text: text(0, 0)}).Verdict).To(gomega.Equal(apply.Unchanged))
	g.Expect(run(apply.Request{Text: text(0, 1), DryRun: true}).Verdict).To(gomega.BeEmpty())
	conflict := run(apply.Request{Text: text(0, 1), Base: &stale})
	g.Expect(conflict.Verdict).To(gomega.Equal(apply.Conflict))
	g.Expect(conflict.Winner.Revision).To(gomega.Equal(first.Revision))
	refused := run(apply.Request{File: "b.yaml", Text: moved})
	g.Expect(refused.Verdict).To(gomega.Equal(apply.Refused))
	g.Expect(refused.Findings.Error()).To(gomega.ContainSubstring("b.yaml:3:23 services[0].faces[0]"))
	g.Expect(fake.Calls().Put).To(gomega.BeEquivalentTo(1))
}

// TestFaceIsHeldBeforeItMovesToAnotherService guards against moving a face to another service
// in two quick steps, by a file without the face and then a file that adds it elsewhere:
// balancers may still have the first configuration when the last one is accepted.
func TestFaceIsHeldBeforeItMovesToAnotherService(t *testing.T) {
	g := gomega.NewWithT(t)
	server := httptest.NewServer(storefake.New().Handler())
	defer server.Close()
	s := open(t, server.URL)
	now := time.Unix(1_000_000, 0)
	file := func(name, face string) apply.Result {
		body := strings.NewReplacer("name: a", "name: "+name, "192.0.2.1", face).Replace(string(text(0, 0)))
		res, err := apply.Run(t.Context(), apply.Request{Text: []byte(body)}, apply.Env{
			Store: s, Now: func() time.Time { return now }, NewID: func() record.ChangeID { return record.ChangeID(name + face) },
			Pause: apply.Backoff(time.Millisecond, time.Millisecond), Progress: func(string) {},
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return res
	}
	g.Expect(file("a", "192.0.2.1").Verdict).To(gomega.Equal(apply.Accepted))
	g.Expect(file("a", "192.0.2.2").Verdict).To(gomega.Equal(apply.Accepted))
	now = now.Add(record.HoldTime / 2)
	g.Expect(file("a", "192.0.2.3").Verdict).To(gomega.Equal(apply.Accepted))
	now = now.Add(record.HoldTime/2 - 1)
	refused := file("b", "192.0.2.1")
	g.Expect(refused.Findings).To(gomega.HaveLen(1))
	g.Expect(refused.Findings[0].Code).To(gomega.Equal(config.CodeFaceMoved))
	now = now.Add(1)
	g.Expect(file("b", "192.0.2.1").Verdict).To(gomega.Equal(apply.Accepted))
	g.Expect(file("b", "192.0.2.2").Verdict).To(gomega.Equal(apply.Refused), "the second face is still held")
	g.Expect(file("a", "192.0.2.2").Verdict).To(gomega.Equal(apply.Accepted), "a held face may return to the service that it belonged to")
}
