// Package process sets up what processes of both roles, balancer and agent, have
// in common: the listener for control traffic, the event timeline, the ops
// endpoints and the control node.
package process

import (
	"context"
	"net/netip"

	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/logging"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/ops"
	"github.com/saltbend/saltbend/internal/peer"
	"github.com/saltbend/saltbend/internal/settings"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/internal/store/httpstore"
	"github.com/saltbend/saltbend/internal/timeline"
)

// Process holds the listeners that both roles have in common.
type Process struct {
	Peer *peer.Peer
	Ops  *ops.Server

	common *settings.Common
	env    settings.Env
}

// Listen binds the listeners for control traffic and ops, and registers the event
// timeline with the control listener. It fails if an address can't be bound.
func Listen(common *settings.Common, env settings.Env) (*Process, error) {
	listener, err := peer.Listen(common.Control.AddrPort(), env.Keys.Ring(),
		peer.WithLogger(logging.Part(env.Logger, peer.Part)), peer.WithAdvertised(common.Advertise.AddrPort()))
	if err != nil {
		return nil, err
	}
	p := &Process{Peer: listener, common: common, env: env}
	if err := p.listenOps(); err != nil {
		p.Close(context.Background())
		return nil, err
	}
	return p, nil
}

func (p *Process) listenOps() (err error) {
	if err := timeline.Register(p.Peer, p.env.Events); err != nil {
		return err
	}
	p.Ops, err = ops.Listen(p.common.Ops.AddrPort())
	if err != nil {
		return err
	}
	if p.common.Pprof {
		p.Ops.EnablePprof()
	}
	return nil
}

// Join starts the control node, which makes the process a member of the fleet. The
// node stops when ctx ends.
func (p *Process) Join(ctx context.Context, self member.Member) (*control.Node, error) {
	platform, err := p.store()
	if err != nil {
		return nil, err
	}
	return control.Start(ctx, control.Options{
		Self:   self,
		Peer:   p.Peer,
		Store:  platform,
		Join:   addresses(p.common.Join),
		Events: p.env.Events,
		Logger: p.env.Logger,
	})
}

// store returns a client of the platform's key-value service, or nil if the
// settings name no such service.
func (p *Process) store() (store.Store, error) {
	if len(p.common.Store) == 0 {
		return nil, nil
	}
	return httpstore.New(p.common.Store, httpstore.Options{})
}

// Addresses returns the addresses of the process's listeners and of its data
// socket, which the role opens itself.
func (p *Process) Addresses(data netip.AddrPort) settings.Addresses {
	return settings.Addresses{
		Control: p.Peer.Addr(), ControlBound: p.Peer.ListenAddr(),
		Data: data, Ops: p.Ops.Addr(),
	}
}

// Close closes the listeners. Requests to the ops endpoints may complete until ctx
// ends.
func (p *Process) Close(ctx context.Context) {
	_ = p.Peer.Close()
	if p.Ops != nil {
		_ = p.Ops.Close(ctx)
	}
}

func addresses(texts []settings.Address) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(texts))
	for _, text := range texts {
		out = append(out, text.AddrPort())
	}
	return out
}
