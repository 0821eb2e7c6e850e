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

// Times of a balancer.
const (
	// tickIdle and tickBusy are the times between two looks at what is due,
	// without and with flows whose owner is being asked for.
	tickIdle = 50 * time.Millisecond
	tickBusy = 5 * time.Millisecond
	// quietTime is the time without packets after which a balancer that was
	// told to stop ends: routers notice it after two misses, about 1 s.
	quietTime = 1200 * time.Millisecond
	// leastLinger is the least time that it carries on.
	leastLinger = 1500 * time.Millisecond
)

// balancer is the running role.
type balancer struct {
	env   Env
	log   *slog.Logger
	clock func() time.Duration

	callers, agents *net.UDPConn
	store           *platform.Store
	follower        *registry.Follower

	// mu lets one goroutine at a time own core, share, source, notes, seeds and timer.
	mu sync.Mutex
	// share decides whether the store is watched or another balancer listened to;
	// source is that one, invalid for none.
	share  *watchshare.State
	source netip.Addr
	// listed is up to where the store's changes are known, settling whether operators may
	// still write again what the store lost; lesser is a source that was told of as
	// knowing less, invalid for none.
	listed   store.Position
	settling bool
	lesser   netip.Addr
	// storeReached tells that the store answers, beganInCopy that the first listing was of
	// an era that is not settled yet.
	storeReached, beganInCopy bool
	core                      *steer.Core
	notes                     *notes
	seeds                     []netip.AddrPort
	timer                     timer

	// evacuations tells since when data centres are evacuated.
	evacuations evacuations
	// version is that of the configuration in force, configAt the position of the one
	// that was last looked at; the follower's goroutine writes them.
	version  uint64
	configAt store.Position
	// soon asks for a tick soon, busy tells that ticks are frequent already.
	soon chan struct{}
	busy bool
	// blind tells that no agent answered when readiness was last asked for.
	blind    bool
	ready    atomic.Bool
	stopping atomic.Bool
	// storeHeard is when the store last answered the follower.
	storeHeard atomic.Int64
	// lastPacket is when a caller's packet came.
	lastPacket atomic.Int64
}

func newBalancer(env Env) *balancer {
	b := &balancer{env: env, log: logging.Part(env.Logger, "packet-balancer"), clock: newClock(), soon: make(chan struct{}, 1)}
	b.notes = newNotes(b.log, b.clock)
	b.share = watchshare.New(env.Host.Packets.Addr(), newRandom())
	b.core = steer.New(steer.Settings{
		DataCentre: env.Host.DataCentre, Regions: env.Host.DataCentres, CallerPort: env.Host.Packets.Port(), Random: newRandom(),
		AbsentAfter: steer.DefaultAbsentAfter, AwaitPeers: true, FlowMaxAge: env.Host.FlowMaxAge,
		Policies: env.Policies,
	})
	return b
}

// RunBalancer serves until the process is told to stop and has finished.
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
	env.follow(b.change)
	b.stop()
	closeOps(server)
	return nil
}

// listen binds the sockets towards callers and agents.
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
	b.follower.Changed = b.changed
	b.follower.Reached = b.reached
	b.follower.Balancers = b.balancers
	b.follower.Known = b.known
	b.follower.Unlisted = b.unlisted
	b.follower.Asked = b.peersAsked
	b.follower.Shared = b.shared
	b.follower.AwaitSource = true
	b.follower.Snapshots = !b.env.Host.FirstStart
	b.follower.Heard = b.heard
	b.gauges()
	go b.follower.Run(ctx)
	go receive(b.callers, platform.MaxPacketSize+1, b.fromCaller)
	go receive(b.agents, inner.MaxSize+1, b.fromAgent)
	go b.tick(ctx)
}

// isReady tells the routers whether packets are to come. A balancer that hears
// no agent is of no use; others may be.
func (b *balancer) isReady() bool {
	if !b.ready.Load() || b.stopping.Load() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if blind := b.core.Blind(b.clock()); blind != b.blind {
		b.blind = blind
		if blind {
			b.log.Warn("Not ready, no agent answers.", "version", b.version)
		} else {
			b.log.Info("Ready again, agents answer.", "version", b.version)
		}
	}
	return !b.blind
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
		b.notes.unreadable("packet", from, len(datagram), err)
	}
	b.do(result)
}

func (b *balancer) fromAgent(from netip.AddrPort, datagram []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fromPeer(from, datagram) {
		return
	}
	result, err := b.core.FromAgent(b.clock(), from, datagram)
	if err != nil {
		b.notes.unreadable("datagram", from, len(datagram), err)
	}
	b.do(result)
	if !b.ready.Load() {
		b.checkReady()
	}
}

// do carries out a result.
func (b *balancer) do(r *steer.Result) {
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
			b.follower.Hint(b.peerAt(r.Notes[i].Source), uint64(r.Notes[i].Count))
		case steer.KindState:
			if r.Notes[i].Count != 0 { // a change, and not the first that is heard
				newsSeconds.Update(r.Notes[i].Age.Seconds())
			}
		case steer.KindMoved:
			handOffSeconds.Update(r.Notes[i].Took.Seconds())
		case steer.KindFound:
			searchSeconds.Update(r.Notes[i].Age.Seconds())
		case steer.KindReset:
			if r.Notes[i].Age > 0 { // after a search, and not from memory
				deadSeconds.Update(r.Notes[i].Age.Seconds())
			}
		}
	}
	b.notes.balancer(r.Notes)
	if !b.busy && b.core.Waiting() {
		b.busy = true
		select {
		case b.soon <- struct{}{}:
		default: // it has been asked already
		}
	}
}

// peerAt returns where the balancer of a host answers other processes: all hosts
// have the same ports.
func (b *balancer) peerAt(host netip.Addr) netip.AddrPort {
	if !host.IsValid() || host == b.env.Host.Packets.Addr() {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(host, b.env.Host.Control.Port())
}

// checkReady lets the routers send packets once some agent can take them.
func (b *balancer) checkReady() {
	if b.version > 0 && b.core.Serving() && !b.ready.Swap(true) {
		b.log.Info("Ready.", "version", b.version, "after_ms", b.clock().Milliseconds())
	}
}

func (b *balancer) tick(ctx context.Context) {
	timer := time.NewTimer(tickIdle)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.soon:
			timer.Reset(tickBusy)
		case <-timer.C:
			timer.Reset(b.tickOnce())
		}
	}
}

func (b *balancer) tickOnce() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.do(b.core.Tick(b.clock()))
	b.tickShare()
	b.busy = b.core.Waiting() || b.listed == 0
	if b.busy {
		return tickBusy
	}
	return tickIdle
}

// changed takes over what the store holds.
func (b *balancer) changed(l *registry.Listing) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := b.listed == 0
	b.listed, b.settling = l.AsOf, !l.Settled()
	b.beganInCopy = b.beganInCopy || first
	b.freshenTable()
	b.adopt(l)
	b.evacuate(l.Evacuations())
	b.do(b.core.SetAgents(b.clock(), l.Agents(), l.Age()))
	b.sendShare(b.share.Known(b.clock(), l.AsOf))
	b.checkReady()
}

// heard notes that a step of following the store has succeeded: a call, or changes
// taken from the source, whose word is not this process's own.
func (b *balancer) heard() {
	now := b.clock()
	b.storeHeard.Store(int64(now))
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.source.IsValid() {
		b.sendShare(b.share.Heard(now))
	}
}

// peersAsked takes over agents that other balancers know; some may be missing in
// the store.
func (b *balancer) peersAsked(known []steer.Agent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.do(b.core.SetPeersAsked(b.clock(), known))
}

// known returns all agents that the balancer knows.
func (b *balancer) known() []steer.Agent {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Known()
}

// unlisted returns the agents that the balancer knows and the store does not list.
func (b *balancer) unlisted() []steer.Agent {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Unlisted()
}

func (b *balancer) balancers() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Balancers()
}

func (b *balancer) reached(ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.storeReached = ok
	b.freshenTable()
}

// setSeeds tells the follower the seeds of the settings.
func (b *balancer) setSeeds() {
	found := seeds(b.env.Host)
	b.follower.SetSeeds(found)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seeds = found
	b.share.SetSeeds(seedHosts(found))
	b.share.SetStart(isSeed(b.env.Host), b.env.Host.FirstStart)
}

// change takes over settings that have changed.
func (b *balancer) change(c platform.Changeable) {
	b.store.SetAddress(c.Store)
	b.env.Host.Changeable = c
	b.setSeeds()
	b.mu.Lock()
	b.core.SetFlowMaxAge(c.FlowMaxAge)
	b.mu.Unlock()
}

// stop lets the routers turn away, carries on while packets come, and ends
// within the grace.
func (b *balancer) stop() {
	b.stopping.Store(true)
	began := b.clock()
	b.log.Info("Stopping.", "grace_ms", b.env.Host.Grace.Milliseconds())
	b.mu.Lock()
	b.sendShare(b.share.Leave(began))
	b.mu.Unlock()
	lingerUntil(b.env.Host.Grace-endMargin, func() bool {
		now := b.clock()
		return now-began >= leastLinger && now-time.Duration(b.lastPacket.Load()) >= quietTime
	})
	_ = b.callers.Close() // the process ends
	_ = b.agents.Close()
	b.log.Info("Stopped.", "after_ms", (b.clock() - began).Milliseconds())
}
