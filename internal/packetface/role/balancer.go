package role

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/saltbend/saltbend/internal/logging"
	"github.com/saltbend/saltbend/internal/ops"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/registry"
	"github.com/saltbend/saltbend/internal/packetface/report"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/internal/packetface/watchshare"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

// Intervals and limits of a balancer.
const (
	// tickIdle is the interval of the balancer's periodic work.
	tickIdle = 50 * time.Millisecond
	// tickBusy replaces tickIdle before the first listing and during searches for the owner
	// of a flow, the agent whose upstream holds it.
	tickBusy = 5 * time.Millisecond
	// idleBeforeExit is the time without packets after which a stopping balancer ends.
	// Routers stop sending to it after two failed readiness checks, about 1 s.
	idleBeforeExit = 1200 * time.Millisecond
	// balancerMinStop is the minimum time that a stopping balancer continues to serve.
	balancerMinStop = 1500 * time.Millisecond
)

// balancer is a running balancer.
type balancer struct {
	env   Env
	log   *slog.Logger
	clock func() time.Duration

	// callers and agents are the sockets for packets of callers and for datagrams of
	// agents and other balancers.
	callers, agents *net.UDPConn
	store           *platform.Store
	follower        *registry.Follower

	// mu guards the fields from here to noAgentAnswers, except tickSoon.
	mu sync.Mutex
	// watchShare decides whether this balancer watches the store or receives store changes
	// from another balancer.
	watchShare *watchshare.State
	// source is the host of the balancer from which this one receives store changes,
	// invalid if this one watches the store.
	source netip.Addr
	// knownUpTo is the store position up to which every change is known.
	knownUpTo store.Position
	// settling reports that the store was recently restored from a copy and that operators
	// may still be repeating the writes that the store lost.
	settling bool
	// laggingSource is a source that was logged as having fewer changes than this balancer,
	// invalid for none.
	laggingSource netip.Addr
	// storeReachable reports that the store answers. startedUnsettled reports that the
	// era of the first listing was not settled and still is not.
	storeReachable, startedUnsettled bool
	core                             *steer.Core
	decisions                        *decisionLog
	seeds                            []netip.AddrPort
	timer                            decisionTimer

	// evacuations records when this balancer learned of each evacuated data centre.
	evacuations evacuations
	// version is the version of the configuration in force. configAt is the store
	// position of the last configuration that was examined, whether or not it was
	// adopted.
	version  uint64
	configAt store.Position
	// tickSoon requests a tick within tickBusy. tickingFast reports that the interval is
	// already tickBusy.
	tickSoon    chan struct{}
	tickingFast bool
	// noAgentAnswers reports that no agent answered at the last readiness check.
	noAgentAnswers bool
	ready          atomic.Bool
	stopping       atomic.Bool
	// storeAnswered is when the store last answered the follower or, while there is a
	// source, the balancer at the root of the source's tree.
	storeAnswered atomic.Int64
	// lastPacket is when the last packet of a caller arrived.
	lastPacket atomic.Int64
}

func newBalancer(env Env) *balancer {
	b := &balancer{env: env, log: logging.Part(env.Logger, "packet-balancer"), clock: newClock(), tickSoon: make(chan struct{}, 1)}
	b.decisions = newDecisionLog(b.log, b.clock)
	b.watchShare = watchshare.New(env.Host.Packets.Addr(), newRandom())
	b.core = steer.New(steer.Settings{
		DataCentre: env.Host.DataCentre, Regions: env.Host.DataCentres, CallerPort: env.Host.Packets.Port(), Random: newRandom(),
		AbsentAfter: steer.DefaultAbsentAfter, AwaitPeers: true, FlowMaxAge: env.Host.FlowMaxAge,
		Policies: env.Policies,
	})
	return b
}

// RunBalancer runs a balancer until the process is asked to stop and has shut down.
func RunBalancer(env Env) error {
	b := newBalancer(env)
	if err := b.listen(); err != nil {
		return err
	}
	server, err := ops.Listen(env.Host.Ready)
	if err != nil {
		return err
	}
	server.Handle(platform.ReadyPattern, platform.ReadyHandler(b.isReady))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b.start(ctx)
	control := http.NewServeMux()
	b.follower.Handle(control)
	report.Handle(control, b.report)
	if err := serveControl(env.Host.Control, control); err != nil {
		return err
	}
	b.log.Info("Started.", "data", env.Host.Packets.String(), "dc", env.Host.DataCentre, "store", env.Host.Store.String())
	env.applyUntilStop(b.applySettings)
	b.stop()
	closeOps(server)
	return nil
}

// listen opens the sockets for callers and agents.
func (b *balancer) listen() (err error) {
	if b.callers, err = listen(b.env.Host.Packets); err != nil {
		return err
	}
	b.agents, err = listen(netip.AddrPortFrom(b.env.Host.Packets.Addr(), b.env.Host.InnerPorts[0]))
	return err
}

func (b *balancer) start(ctx context.Context) {
	b.store = platform.NewStore(b.env.Host.Store)
	b.store.SetLogger(logging.Part(b.env.Logger, "registry"))
	b.follower = registry.NewFollower(b.store, logging.Part(b.env.Logger, "registry"))
	b.setSeeds()
	b.follower.Changed = b.onListing
	b.follower.Reached = b.onReachability
	b.follower.Balancers = b.balancerCount
	b.follower.Known = b.knownAgents
	b.follower.Unlisted = b.unlistedAgents
	b.follower.AgentsReceived = b.addPeerAgents
	b.follower.Shared = b.hasListeners
	b.follower.AwaitSource = true
	b.follower.Snapshots = !b.env.Host.FirstStart
	b.follower.Answered = b.onStoreAnswer
	b.registerGauges()
	go b.follower.Run(ctx)
	go receive(b.callers, platform.MaxPacketSize+1, b.fromCaller)
	go receive(b.agents, inner.MaxSize+1, b.fromAgent)
	go b.tick(ctx)
}

// isReady reports whether routers should send packets to this balancer. A balancer that
// no agent answers can't serve callers; other balancers may be able to serve them.
func (b *balancer) isReady() bool {
	if !b.ready.Load() || b.stopping.Load() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if isolated := b.core.Isolated(b.clock()); isolated != b.noAgentAnswers {
		b.noAgentAnswers = isolated
		if isolated {
			b.log.Warn("Not ready, no agent answers.", "version", b.version)
		} else {
			b.log.Info("Ready again, agents answer.", "version", b.version)
		}
	}
	return !b.noAgentAnswers
}

func (b *balancer) fromCaller(from netip.AddrPort, datagram []byte) {
	now := b.clock()
	b.lastPacket.Store(int64(now))
	b.mu.Lock()
	defer b.mu.Unlock()
	timed := b.timer.start()
	result, err := b.core.FromCaller(now, datagram)
	timed()
	if err != nil {
		b.decisions.logMalformed("packet", from, len(datagram), err)
	}
	b.apply(result)
}

func (b *balancer) fromAgent(from netip.AddrPort, datagram []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fromPeer(from, datagram) {
		return
	}
	result, err := b.core.FromAgent(b.clock(), from, datagram)
	if err != nil {
		b.decisions.logMalformed("datagram", from, len(datagram), err)
	}
	b.apply(result)
	if !b.ready.Load() {
		b.checkReady()
	}
}

// apply sends the datagrams of a result and records its metrics and log notes. mu must be
// held.
func (b *balancer) apply(r *steer.Result) {
	for _, a := range r.Actions {
		conn := b.agents
		if a.ToCaller {
			conn = b.callers
		}
		send(conn, a.To, a.Bytes)
	}
	for i := range r.Notes {
		switch r.Notes[i].Kind {
		case steer.KindNewer:
			b.follower.Hint(b.controlAddress(r.Notes[i].Source), uint64(r.Notes[i].Count))
		case steer.KindState:
			if r.Notes[i].Count != 0 { // a change of state, not the first status
				stateReportSeconds.Update(r.Notes[i].Age.Seconds())
			}
		case steer.KindPlacedAgain:
			handOffSeconds.Update(r.Notes[i].Took.Seconds())
		case steer.KindFound:
			ownerSearchSeconds.Update(r.Notes[i].Age.Seconds())
		case steer.KindReset:
			if r.Notes[i].Age > 0 { // reset after a search, not because the flow was remembered as ended
				deadFlowSeconds.Update(r.Notes[i].Age.Seconds())
			}
		}
	}
	b.decisions.logBalancer(r.Notes)
	if !b.tickingFast && b.core.Waiting() {
		b.tickingFast = true
		select {
		case b.tickSoon <- struct{}{}:
		default: // a tick has already been requested
		}
	}
}

// controlAddress returns the control address of the balancer on a host; the port is the same
// on all hosts. The address is invalid if the host is invalid or this balancer's own.
func (b *balancer) controlAddress(host netip.Addr) netip.AddrPort {
	if !host.IsValid() || host == b.env.Host.Packets.Addr() {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(host, b.env.Host.Control.Port())
}

// checkReady makes the balancer ready once it has a configuration and some agent has
// answered.
func (b *balancer) checkReady() {
	if b.version > 0 && b.core.Serving() && !b.ready.Swap(true) {
		b.log.Info("Ready.", "version", b.version, "after_ms", b.clock().Milliseconds())
	}
}

// tick does the periodic work until ctx ends.
func (b *balancer) tick(ctx context.Context) {
	timer := time.NewTimer(tickIdle)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.tickSoon:
			timer.Reset(tickBusy)
		case <-timer.C:
			timer.Reset(b.tickOnce())
		}
	}
}

// tickOnce does the periodic work and returns the time until it is due again.
func (b *balancer) tickOnce() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.apply(b.core.Tick(b.clock()))
	b.tickWatchShare()
	b.tickingFast = b.core.Waiting() || b.knownUpTo == 0
	if b.tickingFast {
		return tickBusy
	}
	return tickIdle
}

// onListing applies a new state of the store.
func (b *balancer) onListing(l *registry.Listing) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := b.knownUpTo == 0
	b.knownUpTo, b.settling = l.AsOf, !l.Settled()
	b.startedUnsettled = b.startedUnsettled || first
	b.updateTableFresh()
	b.adopt(l)
	b.evacuate(l.Evacuations())
	b.apply(b.core.SetAgents(b.clock(), l.Agents(), l.Age()))
	b.sendWatchShare(b.watchShare.SetKnown(b.clock(), l.AsOf))
	b.checkReady()
}

// onStoreAnswer records a successful step of following the store: a call, or changes
// received from the source. Only a call proves that the store answers this process, so
// listeners are informed only after a call.
func (b *balancer) onStoreAnswer() {
	now := b.clock()
	b.storeAnswered.Store(int64(now))
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.source.IsValid() {
		b.sendWatchShare(b.watchShare.StoreAnswered(now))
	}
}

// addPeerAgents adds the agents that other balancers know. The store may not list some of
// them.
func (b *balancer) addPeerAgents(known []steer.Agent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.apply(b.core.AddPeerAgents(b.clock(), known))
}

// knownAgents returns all agents that the balancer knows.
func (b *balancer) knownAgents() []steer.Agent {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Known()
}

// unlistedAgents returns the agents that the balancer knows and the store does not list.
func (b *balancer) unlistedAgents() []steer.Agent {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Unlisted()
}

func (b *balancer) balancerCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Balancers()
}

func (b *balancer) onReachability(ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.storeReachable = ok
	b.updateTableFresh()
}

// setSeeds passes the seeds in the settings to the follower and to watchShare.
func (b *balancer) setSeeds() {
	found := seeds(b.env.Host)
	b.follower.SetSeeds(found)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seeds = found
	b.watchShare.SetSeeds(seedHosts(found))
	b.watchShare.SetStart(isSeed(b.env.Host), b.env.Host.FirstStart)
}

// applySettings applies changed settings.
func (b *balancer) applySettings(c platform.ReloadableSettings) {
	b.store.SetAddress(c.Store)
	b.env.Host.ReloadableSettings = c
	b.setSeeds()
	b.mu.Lock()
	b.core.SetFlowMaxAge(c.FlowMaxAge)
	b.mu.Unlock()
}

// stop fails the readiness checks, so that routers send to other balancers, continues to
// serve while packets arrive, and returns within the grace period.
func (b *balancer) stop() {
	b.stopping.Store(true)
	began := b.clock()
	b.log.Info("Stopping.", "grace_ms", b.env.Host.Grace.Milliseconds())
	b.mu.Lock()
	b.sendWatchShare(b.watchShare.Stop(began))
	b.mu.Unlock()
	waitUntil(b.env.Host.Grace-endMargin, func() bool {
		now := b.clock()
		return now-began >= balancerMinStop && now-time.Duration(b.lastPacket.Load()) >= idleBeforeExit
	})
	_ = b.callers.Close() // the process ends
	_ = b.agents.Close()
	b.log.Info("Stopped.", "after_ms", (b.clock() - began).Milliseconds())
}
