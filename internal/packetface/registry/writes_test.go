package registry_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/registry"
)

// Tests of agents whose entries balancers write.

// startServerWithoutHandlers returns the address of a server that has none of the paths.
func startServerWithoutHandlers(t *testing.T) netip.AddrPort {
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// startUnresponsiveServer returns the address of a server that accepts requests and does
// not answer.
func startUnresponsiveServer(t *testing.T) netip.AddrPort {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// withSeeds returns a function that sets the seeds of an agent.
func withSeeds(seeds ...netip.AddrPort) func(*registry.EntryKeeper) {
	return func(a *registry.EntryKeeper) { a.SetSeeds(seeds) }
}

func TestWritesOfStartingAgentsShareCalls(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	balancer := startFollower(t, fake, 1)
	g.Eventually(balancer.reachedNow, waitTimeout).Should(BeTrue())
	seed := startServer(t, balancer)
	const agents = 60
	writes := fake.CallsOf("/kv-txn")
	for n := range agents {
		agent, entry := startConfiguredAgent(t, fake, fmt.Sprintf("10.0.0.%d:1", n+1), withSeeds(seed))
		agent.SetEntry(entry)
	}
	g.Eventually(balancer.hasListing(agents, ""), waitTimeout).Should(BeTrue())
	g.Expect(fake.CallsOf("/kv-lease")).To(Equal(agents))
	g.Expect(fake.CallsOf("/kv-txn") - writes).To(BeNumerically("<=", agents/4))
	g.Expect(fake.CallsOf("/kv-key")).To(BeZero())
}

// One write of a batch conflicts with an existing entry that its agent does not know of.
func TestStaleWriteDoesNotBlockOthersInBatch(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	balancer := startFollower(t, fake, 1)
	g.Eventually(balancer.reachedNow, waitTimeout).Should(BeTrue())
	seed := startServer(t, balancer)
	fake.Put("saltbend/agents/10.0.0.7:1", []byte("left by another writer"))
	for n := range 20 {
		agent, entry := startConfiguredAgent(t, fake, fmt.Sprintf("10.0.0.%d:1", n+1), withSeeds(seed))
		agent.SetEntry(entry)
	}
	g.Eventually(balancer.hasListing(20, ""), waitTimeout).Should(BeTrue())
}

// An entry must be written even if the balancer is down, refused by the store, frozen, or
// of a version without this request.
func TestEntryIsWrittenDirectlyWhenBalancersFail(t *testing.T) {
	gone := netip.MustParseAddrPort("127.0.0.1:1")
	for name, seed := range map[string]func(t *testing.T) netip.AddrPort{
		"gone": func(*testing.T) netip.AddrPort { return gone },
		"refused by the store": func(t *testing.T) netip.AddrPort {
			refusing := newStore(t)
			f := startFollower(t, refusing, 1)
			NewWithT(t).Eventually(f.reachedNow, waitTimeout).Should(BeTrue())
			refusing.Fail(http.StatusServiceUnavailable)
			return startServer(t, f)
		},
		"frozen":                func(t *testing.T) netip.AddrPort { return startUnresponsiveServer(t) },
		"of an earlier version": func(t *testing.T) netip.AddrPort { return startServerWithoutHandlers(t) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			fake := newStore(t)
			agent, entry := startConfiguredAgent(t, fake, "10.0.0.1:1", withSeeds(seed(t)))
			agent.SetEntry(entry)
			g.Eventually(func() []string { return fake.Keys("saltbend/agents/") }, 2*time.Second).Should(HaveLen(1), "within the time in which a lost entry must be listed again")
		})
	}
}

// The answer to a call for several agents is lost. Each agent finds out by reading
// whether its own write was done.
func TestEntriesAreListedAfterLostAnswerToBatch(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	balancer := startFollower(t, fake, 1)
	g.Eventually(balancer.reachedNow, waitTimeout).Should(BeTrue())
	seed := startServer(t, balancer)
	for n := range 5 {
		agent, entry := startConfiguredAgent(t, fake, fmt.Sprintf("10.0.0.%d:1", n+1), withSeeds(seed))
		fake.LoseAnswers(1)
		agent.SetEntry(entry)
	}
	g.Eventually(balancer.hasListing(5, ""), waitTimeout).Should(BeTrue())
}

// A balancer writes entries for agents and rejects any other write.
func TestBalancerRejectsWritesOtherThanEntries(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	f := startFollower(t, fake, 1)
	g.Eventually(f.reachedNow, waitTimeout).Should(BeTrue())
	seed := startServer(t, f)
	for name, body := range map[string]string{
		"another key":  `{"Key":"saltbend/settled-era","Value":"MQ==","Lease":1}`,
		"another host": `{"Key":"saltbend/agents/10.0.0.1:1","Value":"e30=","Lease":1}`,
		"a deletion":   `{"Key":"saltbend/agents/10.0.0.1:1","Delete":true,"Lease":1}`,
		"no JSON":      `x`,
		"too much":     `{"Key":"` + strings.Repeat("x", 1<<20) + `"}`,
	} {
		res, err := http.Post("http://"+seed.String()+"/packet/entry", "application/json", strings.NewReader(body))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(res.Body.Close()).To(Succeed())
		g.Expect(res.StatusCode).To(Equal(http.StatusBadRequest), name)
	}
	g.Expect(fake.CallsOf("/kv-txn")).To(BeZero())
}
