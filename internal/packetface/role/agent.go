package role

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/logging"
	"github.com/saltbend/saltbend/internal/ops"
	"github.com/saltbend/saltbend/internal/packetface/gate"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/policy"
	"github.com/saltbend/saltbend/internal/packetface/registry"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

// Intervals and limits of an agent.
const (
	// tickAgent is the interval of the agent's periodic work.
	tickAgent = 200 * time.Millisecond
	// agentMinStop is the minimum time that a stopping agent continues to serve its
	// upstream's flows, so that the balancers learn that it stops.
	agentMinStop = 200 * time.Millisecond
	// storeRemovalWait is the maximum time that a stopping agent waits for its entry to
	// be removed from the store. A slow store answers in some 240 ms; there is no need to
	// wait for a store that is unreachable.
	storeRemovalWait = time.Second
	// storeCallReserve is the part of the grace period that is kept free for store calls
	// in progress.
	storeCallReserve = 500 * time.Millisecond
)

// agent is a running agent.
type agent struct {
	env         Env
	log         *slog.Logger
	clock       func() time.Duration
	incarnation uint64

	// balancers is the socket for datagrams of balancers. outbound receives the packets
	// that the upstream sends and sends packets to callers. upstream sends packets to the
	// upstream.
	balancers, outbound, upstream *net.UDPConn
	store                         *platform.Store
	registry                      *registry.EntryKeeper
	// mu guards core, decisions, timer, registration, ready and era.
	mu           sync.Mutex
	core         *gate.Gate
	decisions    *decisionLog
	timer        decisionTimer
	registration gate.Registration
	// ready reports that the agent has read or written its entry in the store.
	ready bool
	// era is the store's era as last passed to the registry.
	era uint64
	// services caches the services named in the configuration.
	services serviceCache
}

// RunAgent runs an agent until the process is asked to stop and has shut down.
func RunAgent(env Env) error {
	id, err := incarnation()
	if err != nil {
		return err
	}
	a := &agent{env: env, log: logging.Part(env.Logger, "packet-agent"), clock: newClock(), incarnation: id}
	a.decisions = newDecisionLog(a.log, a.clock)
	a.core = gate.New(gate.Settings{
		Service: env.Host.Service, CallerPort: env.Host.Packets.Port(), Incarnation: id,
		Policies: env.Policies, Times: gateTimes(env.Host.ReloadableSettings),
	})
	if err := a.listen(); err != nil {
		return err
	}
	server, err := ops.Listen(env.Host.Ready)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := a.start(ctx); err != nil {
		return err
	}
	a.log.Info("Started.", "data", env.Host.Packets.String(), "service", env.Host.Service, "dc", env.Host.DataCentre, "incarnation", id)
	env.applyUntilStop(a.applySettings)
	a.stop()
	closeOps(server)
	return nil
}

// listen opens the sockets for balancers and the upstream.
func (a *agent) listen() (err error) {
	if a.balancers, err = listen(a.env.Host.Packets); err != nil {
		return err
	}
	if a.outbound, err = listen(a.env.Host.FromUpstream); err != nil {
		return err
	}
	// On a connected socket, the kernel reports ECONNREFUSED if the upstream's port is closed.
	a.upstream, err = net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(a.env.Host.ToUpstream))
	return errors.Wrap(err, "role: open the socket to the upstream")
}

func (a *agent) start(ctx context.Context) error {
	if err := serveControl(a.env.Host.Control, platform.HeartbeatHandler(a)); err != nil {
		return err
	}
	a.store = platform.NewStore(a.env.Host.Store)
	a.store.SetLogger(logging.Part(a.env.Logger, "registry"))
	a.registry = registry.NewEntryKeeper(a.store, logging.Part(a.env.Logger, "registry"), a.clock, a.entry())
	a.setSeeds()
	a.registry.MinLease = a.env.Host.MinLease
	a.registry.PositionObserved = a.onStorePosition
	if !a.env.Host.FirstStart && a.env.Policies.On(policy.InheritedEntries) {
		a.registry.Inherit()
	}
	a.registerGauges()
	go a.registry.Run(ctx)
	go receive(a.balancers, inner.MaxSize+1, a.fromBalancer)
	go receive(a.outbound, platform.MaxPacketSize+1, a.fromUpstream)
	go a.readRefusals()
	go every(ctx.Done(), tickAgent, a.tick)
	return nil
}

// entry returns the entry that the store should hold for this agent.
func (a *agent) entry() registry.Entry {
	return registry.Entry{
		Addr: a.env.Host.Packets, Service: a.registration.Service, DataCentre: cmp.Or(a.registration.DataCentre, a.env.Host.DataCentre),
		Slots: a.registration.Slots, WarmupMS: a.registration.Warmup.Milliseconds(),
	}
}

// onStorePosition passes to the core the position at which this process last read or
// wrote its entry in the store.
func (a *agent) onStorePosition(at store.Position) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(a.core.SetOwnPosition(a.clock(), at))
	if !a.ready {
		a.ready = true
		a.log.Info("Ready.", "at", at, "after_ms", a.clock().Milliseconds())
	}
}

func (a *agent) fromBalancer(from netip.AddrPort, datagram []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	timed := a.timer.start()
	result, err := a.core.FromBalancer(a.clock(), from, datagram)
	timed()
	if err != nil {
		a.decisions.logMalformed("datagram", from, len(datagram), err)
	}
	a.apply(result)
	if a.core.TakeUnlisted() {
		a.registry.EntryMissing()
	}
	if era := a.core.Era(); era != a.era {
		a.era = era
		a.registry.ObserveEra(era)
	}
}

func (a *agent) fromUpstream(from netip.AddrPort, datagram []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	result, err := a.core.FromUpstream(a.clock(), datagram)
	if err != nil {
		a.decisions.logMalformed("packet", from, len(datagram), err)
	}
	a.apply(result)
}

// apply sends the datagrams of a result and records its metrics and log notes. mu must be
// held.
func (a *agent) apply(r *gate.Result) {
	refused := false
	for _, action := range r.Actions {
		switch action.Target {
		case gate.ToBalancer:
			send(a.balancers, action.To, action.Bytes)
		case gate.ToCaller:
			send(a.outbound, action.To, action.Bytes)
		case gate.ToUpstream:
			refused = a.toUpstream(action.Bytes) || refused
		}
	}
	recordDurations(r)
	a.decisions.logAgent(r.Notes)
	if refused {
		a.onRefused()
	}
}

// toUpstream sends a packet to the upstream. It reports whether the kernel refused the
// packet because the upstream's port is closed.
func (a *agent) toUpstream(b []byte) (refused bool) {
	_, err := a.upstream.Write(b)
	if err == nil {
		return false
	}
	sendErrors.Inc()
	return errors.Is(err, syscall.ECONNREFUSED)
}

// onRefused informs the core that the upstream's port is closed. mu must be held.
func (a *agent) onRefused() {
	a.apply(a.core.HandleRefusedPacket(a.clock()))
	a.updateRegistration()
}

// readRefusals reads errors from the socket to the upstream. The upstream never sends
// packets to that socket.
func (a *agent) readRefusals() {
	var b [1]byte
	for {
		_, err := a.upstream.Read(b[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			a.mu.Lock()
			a.onRefused()
			a.mu.Unlock()
		}
	}
}

// tick does the periodic work.
func (a *agent) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock()
	a.apply(a.core.Tick(now))
	a.updateRegistration()
	if a.registration.Listed {
		a.apply(a.core.CheckListed(now, a.registry.NoCallDue()))
	}
	if a.core.TakeNoBalancerAnswered() {
		a.registry.NotContacted()
	}
}

// updateRegistration passes a changed registration to the registry. mu must be held.
func (a *agent) updateRegistration() {
	current := a.core.Registration()
	if current == a.registration {
		return
	}
	a.registration = current
	switch {
	case current.Ended:
		a.registry.SetEntry(nil)
	case current.Listed:
		entry := a.entry()
		a.registry.SetEntry(&entry)
	}
}

// Heartbeat implements platform.UpstreamListener.
func (a *agent) Heartbeat(beat platform.Heartbeat) bool {
	a.noteClaim(beat) // before the lookup of the service, which may take servicesTimeout
	known := a.serviceStatusOf(beat.Service)
	a.mu.Lock()
	defer a.mu.Unlock()
	if known == serviceNotConfigured {
		a.decisions.logInvalidHeartbeat(errors.Wrapf(platform.ErrHeartbeat, "service %.80q is in no configuration", beat.Service))
		return true // acknowledged so that its sender does not repeat it
	}
	if known == serviceUnknown {
		result, contested := a.core.HandleUncheckedHeartbeat(a.clock(), beat)
		a.apply(result)
		if contested {
			return false
		}
	}
	result, ok := a.core.Heartbeat(a.clock(), beat)
	a.apply(result)
	a.updateRegistration()
	return ok
}

// noteClaim informs the core of a heartbeat whose service has not been looked up yet.
func (a *agent) noteClaim(beat platform.Heartbeat) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(a.core.HandleClaim(a.clock(), beat))
}

// Deregistered implements platform.UpstreamListener.
func (a *agent) Deregistered(instance platform.Instance) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	result, ok := a.core.HandleLeave(a.clock(), instance)
	a.apply(result)
	a.updateRegistration()
	return ok
}

// InvalidRequest implements platform.UpstreamListener.
func (a *agent) InvalidRequest(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decisions.logInvalidHeartbeat(err)
}

// gateTimes returns the times in the settings that the core uses.
func gateTimes(c platform.ReloadableSettings) gate.Times {
	return gate.Times{
		DrainTimeout: c.DrainTimeout, FlowMaxAge: c.FlowMaxAge, HeartbeatInterval: c.HeartbeatInterval,
		AddressReuseDelay: c.AddressReuseDelay, ColdOverage: c.ColdOverage,
	}
}

// applySettings applies changed settings.
func (a *agent) applySettings(c platform.ReloadableSettings) {
	a.store.SetAddress(c.Store)
	a.env.Host.ReloadableSettings = c
	a.setSeeds()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.SetTimes(gateTimes(c))
}

// setSeeds passes the seeds in the settings to the registry and the core. Balancers
// receive datagrams on the same port on all hosts.
func (a *agent) setSeeds() {
	found := seeds(a.env.Host)
	a.registry.SetSeeds(found)
	a.mu.Lock()
	defer a.mu.Unlock()
	inner := make([]netip.AddrPort, len(found))
	for i, seed := range found {
		inner[i] = netip.AddrPortFrom(seed.Addr(), a.env.Host.InnerPorts[0])
	}
	a.core.SetSeeds(inner)
}

// finished reports whether a stopping agent can end, given the time elapsed since the
// request to stop: its upstream no longer needs the agent, and the agent's entry is updated
// in the store or the wait for this update is over.
func (a *agent) finished(elapsed time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return elapsed >= agentMinStop && a.core.Finished() && (a.registry.NoCallDue() || elapsed >= storeRemovalWait)
}

// stop announces the shutdown to the balancers, lets running requests finish, and returns
// within the grace period.
func (a *agent) stop() {
	began := a.clock()
	a.log.Info("Stopping.", "grace_ms", a.env.Host.Grace.Milliseconds())
	a.mu.Lock()
	a.apply(a.core.Stop(began))
	a.updateRegistration()
	a.mu.Unlock()
	waitUntil(a.env.Host.Grace-endMargin-storeCallReserve, func() bool { return a.finished(a.clock() - began) })
	_ = a.balancers.Close() // the process ends
	_ = a.outbound.Close()
	_ = a.upstream.Close()
	a.log.Info("Stopped.", "after_ms", (a.clock() - began).Milliseconds())
}
