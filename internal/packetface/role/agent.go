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

// Times of an agent.
const (
	// tickAgent is the time between two looks at what is due.
	tickAgent = 200 * time.Millisecond
	// stopLinger is the least time that an agent carries on with its upstream's
	// flows, so that balancers have heard that it stops.
	stopLinger = 200 * time.Millisecond
	// storeLinger is how long at most a stop waits for the store to drop the entry: a
	// slow one answers in some 240 ms, and one that is away need not be waited for.
	storeLinger = time.Second
	// leaveTime is kept free at the end for calls of the store on their way.
	leaveTime = 500 * time.Millisecond
)

// agent is the running role.
type agent struct {
	env         Env
	log         *slog.Logger
	clock       func() time.Duration
	incarnation uint64

	balancers, outbound, upstream *net.UDPConn
	store                         *platform.Store
	registry                      *registry.Agent
	// mu lets one goroutine at a time own core, notes, timer and wanted.
	mu     sync.Mutex
	core   *gate.Gate
	notes  *notes
	timer  timer
	wanted gate.Registration
	// ready tells that the store has once been seen.
	ready bool
	// era is that of the store as the registry was told last.
	era uint64
	// services are those that a configuration names, as far as was asked.
	services services
}

// RunAgent serves until the process is told to stop and has finished.
func RunAgent(env Env) error {
	id, err := incarnation()
	if err != nil {
		return err
	}
	a := &agent{env: env, log: logging.Part(env.Logger, "packet-agent"), clock: newClock(), incarnation: id}
	a.notes = newNotes(a.log, a.clock)
	a.core = gate.New(gate.Settings{
		Service: env.Host.Service, CallerPort: env.Host.Packets.Port(), Incarnation: id,
		Policies: env.Policies, Times: times(env.Host.Changeable),
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
	env.follow(a.change)
	a.stop()
	closeOps(server)
	return nil
}

// listen binds the sockets towards balancers and the upstream.
func (a *agent) listen() (err error) {
	if a.balancers, err = listen(a.env.Host.Packets); err != nil {
		return err
	}
	if a.outbound, err = listen(a.env.Host.FromUpstream); err != nil {
		return err
	}
	// A connected socket is told when no socket takes its packets.
	a.upstream, err = net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(a.env.Host.ToUpstream))
	return errors.Wrap(err, "role: socket to the upstream")
}

func (a *agent) start(ctx context.Context) error {
	if err := serveControl(a.env.Host.Control, platform.HeartbeatHandler(a)); err != nil {
		return err
	}
	a.store = platform.NewStore(a.env.Host.Store)
	a.store.SetLogger(logging.Part(a.env.Logger, "registry"))
	a.registry = registry.NewAgent(a.store, logging.Part(a.env.Logger, "registry"), a.clock, a.entry())
	a.setSeeds()
	a.registry.LeaseLeast = a.env.Host.LeaseLeast
	a.registry.Seen = a.seen
	if !a.env.Host.FirstStart && a.env.Policies.On(policy.InheritedEntries) {
		a.registry.Inherit()
	}
	a.gauges()
	go a.registry.Run(ctx)
	go receive(a.balancers, inner.MaxSize+1, a.fromBalancer)
	go receive(a.outbound, platform.MaxPacketSize+1, a.fromUpstream)
	go a.readRefusals()
	go every(ctx.Done(), tickAgent, a.tick)
	return nil
}

// entry returns what the store is to hold.
func (a *agent) entry() registry.Entry {
	return registry.Entry{
		Addr: a.env.Host.Packets, Service: a.wanted.Service, DataCentre: cmp.Or(a.wanted.DataCentre, a.env.Host.DataCentre),
		Slots: a.wanted.Slots, WarmupMS: a.wanted.Warmup.Milliseconds(),
	}
}

// seen tells the core which position of the store this process has seen.
func (a *agent) seen(at store.Position) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.do(a.core.SetSeen(a.clock(), at))
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
		a.notes.unreadable("datagram", from, len(datagram), err)
	}
	a.do(result)
	if a.core.TakeUnlisted() {
		a.registry.Hint()
	}
	if era := a.core.Era(); era != a.era {
		a.era = era
		a.registry.Era(era)
	}
}

func (a *agent) fromUpstream(from netip.AddrPort, datagram []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	result, err := a.core.FromUpstream(a.clock(), datagram)
	if err != nil {
		a.notes.unreadable("packet", from, len(datagram), err)
	}
	a.do(result)
}

// do carries out a result. The caller holds mu.
func (a *agent) do(r *gate.Result) {
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
	observe(r)
	a.notes.agent(r.Notes)
	if refused {
		a.refused()
	}
}

// toUpstream sends a packet to the upstream; it reports whether the kernel told
// that no socket takes them.
func (a *agent) toUpstream(b []byte) (refused bool) {
	_, err := a.upstream.Write(b)
	if err == nil {
		return false
	}
	sendErrors.Inc()
	return errors.Is(err, syscall.ECONNREFUSED)
}

// refused tells the core that no socket takes packets. The caller holds mu.
func (a *agent) refused() {
	a.do(a.core.Refused(a.clock()))
	a.register()
}

// readRefusals reads the connected socket, on which the upstream never sends:
// only errors come.
func (a *agent) readRefusals() {
	var b [1]byte
	for {
		_, err := a.upstream.Read(b[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			a.mu.Lock()
			a.refused()
			a.mu.Unlock()
		}
	}
}

func (a *agent) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock()
	a.do(a.core.Tick(now))
	a.register()
	if a.wanted.Listed {
		a.do(a.core.CheckListed(now, a.registry.Quiet()))
	}
	if a.core.TakeAlone() {
		a.registry.Idle()
	}
}

// register tells the registry when what the store is to hold has changed. The
// caller holds mu.
func (a *agent) register() {
	wanted := a.core.Registration()
	if wanted == a.wanted {
		return
	}
	a.wanted = wanted
	switch {
	case wanted.Ended:
		a.registry.Want(nil)
	case wanted.Listed:
		entry := a.entry()
		a.registry.Want(&entry)
	}
}

// Heartbeat implements platform.UpstreamListener.
func (a *agent) Heartbeat(beat platform.Heartbeat) bool {
	known := a.knowsService(beat.Service)
	a.mu.Lock()
	defer a.mu.Unlock()
	if known == serviceUnnamed {
		a.notes.unusableHeartbeat(errors.Wrapf(platform.ErrHeartbeat, "service %.80q is in no configuration", beat.Service))
		return true // its sender need not repeat it
	}
	if known == serviceUnsure {
		result, contested := a.core.Contest(a.clock(), beat)
		a.do(result)
		if contested {
			return false
		}
	}
	result, ok := a.core.Heartbeat(a.clock(), beat)
	a.do(result)
	a.register()
	return ok
}

// Left implements platform.UpstreamListener.
func (a *agent) Left(life platform.Life) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	result, ok := a.core.Left(a.clock(), life)
	a.do(result)
	a.register()
	return ok
}

// Unusable implements platform.UpstreamListener.
func (a *agent) Unusable(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notes.unusableHeartbeat(err)
}

// times returns the times of the settings that the core decides by.
func times(c platform.Changeable) gate.Times {
	return gate.Times{DrainWithin: c.DrainWithin, FlowMaxAge: c.FlowMaxAge, HeartbeatEvery: c.HeartbeatEvery, ColdOverage: c.ColdOverage}
}

// change takes over settings that have changed.
func (a *agent) change(c platform.Changeable) {
	a.store.SetAddress(c.Store)
	a.env.Host.Changeable = c
	a.setSeeds()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.SetTimes(times(c))
}

// setSeeds tells the registry and the core the seeds of the settings. Balancers take
// datagrams at the same port on all hosts.
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

// finished reports whether nothing is left to do for the upstream, some time after
// the request to stop.
func (a *agent) finished(since time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return since >= stopLinger && a.core.Finished() && (a.registry.Quiet() || since >= storeLinger)
}

// stop tells the balancers, lets running requests end, and ends within the
// grace.
func (a *agent) stop() {
	began := a.clock()
	a.log.Info("Stopping.", "grace_ms", a.env.Host.Grace.Milliseconds())
	a.mu.Lock()
	a.do(a.core.Stop(began))
	a.register()
	a.mu.Unlock()
	lingerUntil(a.env.Host.Grace-endMargin-leaveTime, func() bool { return a.finished(a.clock() - began) })
	_ = a.balancers.Close() // the process ends
	_ = a.outbound.Close()
	_ = a.upstream.Close()
	a.log.Info("Stopped.", "after_ms", (a.clock() - began).Milliseconds())
}
