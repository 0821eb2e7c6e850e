package role

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/gate"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/registry"
	"github.com/saltbend/saltbend/platform"
	"github.com/saltbend/saltbend/test/packetplatform"
)

const (
	// settingsService is the service in the agent's settings; newService and laterService
	// are in the configuration, too.
	settingsService = "timing"
	newService      = "results"
	laterService    = "exams"
	configuration   = `{"version": 1, "routes": [
		{"name": "a", "hostname": "198.18.0.1", "prefix": "/443/", "type": "safe", "service": "results"},
		{"name": "b", "hostname": "198.18.0.2", "prefix": "/443/", "type": "safe", "service": "exams"}],
		"services": [], "limits": {"idleTimeoutMs": 15000}}`
)

// storeGate delays the calls of a store until it is opened; asked receives a value for
// each call.
type storeGate struct {
	opened chan struct{}
	asked  chan struct{}
	once   sync.Once
}

func (s *storeGate) open() { s.once.Do(func() { close(s.opened) }) }

// newAgentWithSlowStore returns an agent that is not started, and whose upstream has
// reported. Its store answers no call before the gate is opened.
func newAgentWithSlowStore(t *testing.T) (*agent, *storeGate) {
	fake := packetplatform.NewStore()
	t.Cleanup(fake.Close)
	fake.Put(platform.ConfigKey, []byte(configuration))
	slow := &storeGate{opened: make(chan struct{}), asked: make(chan struct{}, 10)}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: fake.Address()})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		slow.asked <- struct{}{}
		<-slow.opened
		proxy.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	t.Cleanup(slow.open) // runs before server.Close, which waits for all calls
	log := slog.New(slog.DiscardHandler)
	a := &agent{env: Env{Host: platform.Host{Service: settingsService}}, log: log, clock: newClock()}
	a.decisions = newDecisionLog(log, a.clock)
	var err error
	a.balancers, err = listen(loopback)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { a.balancers.Close() })
	a.core = gate.New(gate.Settings{Service: settingsService, Times: gate.Times{HeartbeatInterval: time.Hour}})
	a.store = platform.NewStore(netip.MustParseAddrPort(server.Listener.Addr().String()))
	a.registry = registry.NewEntryKeeper(a.store, log, a.clock, a.entry())
	NewWithT(t).Expect(a.Heartbeat(heartbeat("old", settingsService, 1))).To(BeTrue())
	return a, slow
}

func heartbeat(id, service string, sequence uint64) platform.Heartbeat {
	return platform.Heartbeat{Instance: platform.Instance{ID: id}, Service: service, DataCentre: "hall", Slots: 5, Sequence: sequence}
}

// admits reports whether the agent would forward an opening packet to its upstream.
func (a *agent) admits(t *testing.T, service string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	open := inner.AppendOpen(nil, inner.Open{Service: inner.ServiceID(service), Flags: inner.FlagLastChoice}, callerPacket(platform.FlagSYN, 0))
	r, err := a.core.FromBalancer(a.clock(), addressOf(a.balancers), open)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for _, action := range r.Actions {
		if action.Target == gate.ToUpstream {
			return true
		}
	}
	return false
}

// Guards against requests that run at another service's upstream: an upstream of another
// service has started at the address, and its first heartbeat waits for a slow store to
// confirm that its service exists. Meanwhile the previous service must get no flow there.
func TestOpeningsStopWhileAServiceIsLookedUp(t *testing.T) {
	g := NewWithT(t)
	a, slow := newAgentWithSlowStore(t)
	g.Expect(a.admits(t, settingsService)).To(BeTrue())
	handled := make(chan bool, 1)
	go func() { handled <- a.Heartbeat(heartbeat("new", newService, 1)) }()
	<-slow.asked
	g.Expect(a.admits(t, settingsService)).To(BeFalse())
	slow.open()
	g.Expect(<-handled).To(BeTrue())
	g.Expect(a.admits(t, settingsService)).To(BeFalse())
	g.Expect(a.admits(t, newService)).To(BeTrue())
}

// A heartbeat of a service that no configuration names stops new flows as well, as the
// configuration that names it may follow, until the current upstream reports again.
func TestOpeningsStopForAServiceThatIsNotConfigured(t *testing.T) {
	g := NewWithT(t)
	a, slow := newAgentWithSlowStore(t)
	slow.open()
	g.Expect(a.Heartbeat(heartbeat("new", "unknown", 1))).To(BeTrue())
	g.Expect(a.admits(t, settingsService)).To(BeFalse())
	g.Expect(a.Heartbeat(heartbeat("old", settingsService, 2))).To(BeTrue())
	g.Expect(a.admits(t, settingsService)).To(BeTrue())
	g.Expect(a.core.Registration().Service).To(Equal(settingsService))
}

// While one heartbeat waits for the store, the heartbeats of other instances are handled,
// and a second one that needs the configuration shares the read.
func TestHeartbeatsDoNotWaitForALookup(t *testing.T) {
	g := NewWithT(t)
	a, slow := newAgentWithSlowStore(t)
	a.services.configured = map[string]bool{newService: true}
	handled := make(chan bool, 2)
	go func() { handled <- a.Heartbeat(heartbeat("new", laterService, 2)) }()
	<-slow.asked
	g.Expect(a.Heartbeat(heartbeat("old", settingsService, 2))).To(BeTrue())
	g.Expect(a.Heartbeat(heartbeat("other", newService, 7))).To(BeTrue(), "of a service that an earlier read has shown")
	go func() { handled <- a.Heartbeat(heartbeat("another", laterService, 2)) }()
	slow.open()
	g.Expect(<-handled).To(BeTrue())
	g.Expect(<-handled).To(BeTrue())
}
