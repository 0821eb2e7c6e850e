package agent

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/event"
	"github.com/saltbend/saltbend/internal/flow"
	"github.com/saltbend/saltbend/internal/keyring"
	"github.com/saltbend/saltbend/internal/logging"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/ops"
	"github.com/saltbend/saltbend/internal/peer"
	"github.com/saltbend/saltbend/internal/settings"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/internal/store/httpstore"
	"github.com/saltbend/saltbend/internal/timeline"
	"github.com/saltbend/saltbend/internal/upstream"
)

// part names the agent in logs and events.
const part = "agent"

// Kinds of events of the agent.
const (
	eventReady    event.Kind = "Agent ready."
	eventDraining event.Kind = "Agent draining."
	eventDrained  event.Kind = "Agent drained."
)

const (
	// fullWeight is the weight of a warm upstream.
	fullWeight = 1000
	// announceGrace is the time that the fleet gets to learn that an agent
	// drains before its callers are told to leave, so that their new
	// connections don't come back to it.
	announceGrace = 500 * time.Millisecond
	// closeTimeout bounds the goodbye to the fleet and to operators' requests.
	closeTimeout = 2 * time.Second
)

// agent is one running agent role.
type agent struct {
	settings Settings
	env      settings.Env
	log      *slog.Logger
	peer     *peer.Peer
	node     *control.Node
	ops      *ops.Server
	flow     *flow.Conn
	upstream *upstream.Client
	server   *server
	cancel   context.CancelFunc // ends the node
}

// Run serves until ctx ends, then lets running work end and returns.
func Run(ctx context.Context, s Settings, env settings.Env) error {
	a := &agent{settings: s, env: env, log: logging.Part(env.Logger, part)}
	defer a.close()
	if err := a.start(); err != nil {
		return err
	}
	a.node.SetState(member.StateReady)
	env.Events.Add(part, eventReady, s.Service)
	env.Ready(settings.Addresses{Control: a.peer.Addr(), Data: a.flow.Addr(), Ops: a.ops.Addr()})
	select {
	case <-ctx.Done():
		a.drain()
		return nil
	case err := <-a.server.done:
		return errors.Wrap(err, "serve callers")
	}
}

// start brings up all parts; close takes down those that stand.
func (a *agent) start() error {
	ring := a.env.Keys.Ring()
	base, err := a.settings.upstreamURL()
	if err != nil {
		return err
	}
	cert, err := a.settings.certificate()
	if err != nil {
		return err
	}
	a.upstream = upstream.New(base)
	if a.peer, err = peer.Listen(a.settings.Control.AddrPort(), ring, peer.WithLogger(logging.Part(a.env.Logger, peer.Part))); err != nil {
		return err
	}
	if err := timeline.Register(a.peer, a.env.Events); err != nil {
		return err
	}
	if a.ops, err = ops.Listen(a.settings.Ops.AddrPort()); err != nil {
		return err
	}
	if a.settings.Pprof {
		a.ops.EnablePprof()
	}
	if err := a.listenFlow(ring); err != nil {
		return err
	}
	incarnation := uint64(time.Now().UnixNano())
	if err := a.join(incarnation); err != nil {
		return err
	}
	return a.serve(ring, cert, incarnation)
}

func (a *agent) listenFlow(ring *keyring.Ring) error {
	conn, err := flow.Listen(flow.Options{
		Data:    a.settings.Data.AddrPort(),
		Service: config.TagOf(a.settings.Service),
		Ring:    ring,
		Hand:    a.hand,
	})
	a.flow = conn
	return err
}

// join makes the agent a member of the fleet.
func (a *agent) join(incarnation uint64) error {
	platform, err := a.store()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	node, err := control.Start(ctx, control.Options{
		Self: member.Member{
			Control:     a.peer.Addr(),
			Data:        a.flow.Addr(),
			Ops:         a.ops.Addr(),
			Role:        member.RoleAgent,
			DataCentre:  a.settings.DataCentre,
			Service:     a.settings.Service,
			Incarnation: incarnation,
			Slots:       a.settings.Slots,
			Weight:      fullWeight,
		},
		Peer:   a.peer,
		Store:  platform,
		Join:   addresses(a.settings.Join),
		Events: a.env.Events,
		Logger: a.env.Logger,
	})
	if err != nil {
		return err
	}
	a.node = node
	go a.follow(ctx)
	return nil
}

// store returns the platform's key-value service, or nil when none is given.
func (a *agent) store() (store.Store, error) {
	if len(a.settings.Store) == 0 {
		return nil, nil
	}
	return httpstore.New(a.settings.Store, httpstore.Options{})
}

func addresses(texts []settings.Address) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(texts))
	for _, text := range texts {
		out = append(out, text.AddrPort())
	}
	return out
}

// follow gives the data path what the fleet knows, until ctx ends.
func (a *agent) follow(ctx context.Context) {
	for {
		changed := a.node.Changed()
		a.apply(a.node.Snapshot())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (a *agent) apply(snapshot *control.Snapshot) {
	live := make([]netip.AddrPort, 0, len(snapshot.Balancers))
	for _, b := range snapshot.Balancers {
		live = append(live, b.Data)
	}
	a.flow.SetLive(live)
	if snapshot.Config != nil {
		a.flow.SetRevision(snapshot.Config.Revision)
	}
}

// serve ends the callers' connections.
func (a *agent) serve(ring *keyring.Ring, cert tls.Certificate, incarnation uint64) error {
	ids, err := flow.NewIDs(ring, a.flow.Addr(), config.TagOf(a.settings.Service), incarnation)
	if err != nil {
		return err
	}
	a.env.Keys.OnChange(func(ring *keyring.Ring) {
		ids.SetKeys(ring)
		a.flow.SetKeys(ring)
		a.peer.SetRing(ring)
	})
	transport := newTransport(a.flow, ids, ring, a.flow.Addr())
	a.server, err = newServer(transport, cert, a.handler(), a.log)
	return err
}

// handler returns what serves the callers' requests.
func (a *agent) handler() http.Handler {
	return passthrough(a.upstream, a.class)
}

// class returns the class of a request by the configuration in force.
func (a *agent) class(method, path string) config.Class {
	service := a.service()
	if service == nil {
		return config.Class{Name: "unconfigured", Kind: config.KindRequest}
	}
	class, _ := service.Class(method, path)
	return class
}

// service returns the agent's service in the configuration in force, or nil.
func (a *agent) service() *config.Service {
	snapshot := a.node.Snapshot()
	if snapshot.Config == nil {
		return nil
	}
	for i := range snapshot.Config.Services {
		if snapshot.Config.Services[i].Name == a.settings.Service {
			return &snapshot.Config.Services[i]
		}
	}
	return nil
}

// close takes down all parts that stand.
func (a *agent) close() {
	if a.server != nil {
		a.server.close()
	}
	if a.flow != nil {
		_ = a.flow.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if a.node != nil {
		a.node.Leave(ctx)
	}
	if a.cancel != nil {
		a.cancel()
	}
	if a.peer != nil {
		_ = a.peer.Close()
	}
	if a.ops != nil {
		_ = a.ops.Close(ctx)
	}
	if a.upstream != nil {
		a.upstream.Close()
	}
}
