// Package agent assembles the agent role of the daemon. An agent runs beside one
// upstream, terminates the callers' QUIC connections, and serves their HTTP/3
// requests from the upstream. The agents of the same service are its siblings;
// an agent can hand off new flows (callers' connections) to them.
package agent

import (
	"context"
	"crypto/tls"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/event"
	"github.com/saltbend/saltbend/internal/flow"
	"github.com/saltbend/saltbend/internal/home"
	"github.com/saltbend/saltbend/internal/keyring"
	"github.com/saltbend/saltbend/internal/logging"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/process"
	"github.com/saltbend/saltbend/internal/request"
	"github.com/saltbend/saltbend/internal/settings"
	"github.com/saltbend/saltbend/internal/upstream"
)

// part is the name of the agent in logs and events.
const part = "agent"

// Kinds of the events that an agent records.
const (
	eventReady    event.Kind = "agent-ready"
	eventDraining event.Kind = "agent-draining"
	eventDrained  event.Kind = "agent-drained"
)

const (
	// fullWeight is the weight of a warm upstream.
	fullWeight = 1000
	// announceGrace is the delay between announcing to the fleet that the agent
	// drains and asking its callers to reconnect. Without it, their new
	// connections could be routed to the same agent again.
	announceGrace = 500 * time.Millisecond
	// closeTimeout limits how long the agent takes to announce its end to the
	// fleet and to close its listeners.
	closeTimeout = 2 * time.Second
)

// agent is the state of a running agent.
type agent struct {
	settings     Settings
	env          settings.Env
	log          *slog.Logger
	process      *process.Process
	node         *control.Node
	flow         *flow.Conn
	upstream     *upstream.Client
	requests     *request.Handler
	tickets      *home.Home
	server       *server
	cancel       context.CancelFunc // ends the node and the requests' scheduler
	appliedState appliedState
	drainRequest drainRequest
}

// Run runs the agent until ctx ends, the upstream drains, or the service is
// removed from the configuration. It then drains the agent and returns.
func Run(ctx context.Context, s Settings, env settings.Env) error {
	a := &agent{settings: s, env: env, log: logging.Part(env.Logger, part), drainRequest: newDrainRequest()}
	defer a.close()
	if err := a.start(); err != nil {
		return err
	}
	env.Ready(a.process.Addresses(a.flow.Addr()))
	select {
	case <-ctx.Done():
		a.drain()
		return nil
	case <-a.drainRequest.requested:
		a.drain()
		return nil
	case err := <-a.server.done:
		return errors.Wrap(err, "serve HTTP/3 to callers")
	}
}

// start starts all components. If it fails, close stops the ones that have been
// started.
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
	if a.process, err = process.Listen(&a.settings.Common, a.env); err != nil {
		return err
	}
	if err := a.listenFlow(ring); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	self := a.self()
	if a.node, err = a.process.Join(ctx, self); err != nil {
		return err
	}
	if err := a.serve(ctx, ring, cert, self); err != nil {
		return err
	}
	a.process.Ops.AddCheck(a.unreadyReasons)
	go a.applySnapshots(ctx)
	return nil
}

func (a *agent) listenFlow(ring *keyring.Ring) error {
	conn, err := flow.Listen(flow.Options{
		Data:    a.settings.Data.AddrPort(),
		Service: config.TagOf(a.settings.Service),
		Ring:    ring,
		Admit:   a.admit,
		HandOff: a.handOff,
	})
	a.flow = conn
	return err
}

// self returns the agent's initial membership record.
func (a *agent) self() member.Member {
	return member.Member{
		Control:     a.process.Peer.Addr(),
		Data:        a.flow.Addr(),
		Ops:         a.process.Ops.Addr(),
		Role:        member.RoleAgent,
		DataCentre:  a.settings.DataCentre,
		Service:     a.settings.Service,
		Incarnation: uint64(time.Now().UnixNano()),
		State:       member.StateStarting,
		Slots:       a.settings.Slots,
		Weight:      fullWeight,
	}
}

// serve starts to accept the callers' connections.
func (a *agent) serve(ctx context.Context, ring *keyring.Ring, cert tls.Certificate, self member.Member) error {
	ids, err := flow.NewIDs(ring, self.Data, config.TagOf(self.Service), self.Incarnation)
	if err != nil {
		return err
	}
	if err := a.serveRequests(ctx, ring, self); err != nil {
		return err
	}
	a.env.Keys.OnChange(func(ring *keyring.Ring) {
		ids.SetKeys(ring)
		a.flow.SetKeys(ring)
		a.process.Peer.SetRing(ring)
		a.tickets.SetRing(ring)
	})
	transport := newTransport(a.flow, ids, ring, self.Data)
	a.server = newServer(transport, a.requests, a.log)
	a.server.onConnectionCount = a.requests.SetConnections
	a.registerMetrics()
	return a.server.listen(cert)
}

// serveRequests starts the components that handle the callers' requests.
func (a *agent) serveRequests(ctx context.Context, ring *keyring.Ring, self member.Member) (err error) {
	a.tickets, err = home.New(home.Options{
		Self:   self,
		Source: a.node,
		Caller: a.process.Peer,
		Ring:   ring,
		Logger: a.env.Logger,
	})
	if err != nil {
		return err
	}
	a.requests, err = request.NewHandler(ctx, request.Options{
		Service:   self.Service,
		Self:      self.Control,
		Source:    a.node,
		Upstream:  a.upstream,
		Caller:    a.process.Peer,
		Registry:  a.process.Peer,
		Tickets:   a.tickets,
		OnVerdict: a.applyVerdict,
		Events:    a.env.Events,
		Logger:    a.env.Logger,
	})
	if err != nil {
		return err
	}
	return a.tickets.Serve(a.process.Peer, a.requests)
}

// close stops all components that have been started.
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
	if a.process != nil {
		a.process.Close(ctx)
	}
	if a.upstream != nil {
		a.upstream.Close()
	}
}
