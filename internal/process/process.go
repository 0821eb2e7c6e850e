// Package process holds what a process of either role has: its listener for
// control traffic, its time line, its ops endpoints and its control node.
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

// Process is the common part of a running role.
type Process struct {
	Peer *peer.Peer
	Ops  *ops.Server

	common *settings.Common
	env    settings.Env
}

// Listen binds the listeners for control traffic and ops, and serves the time
// line. It fails if an address can't be bound.
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

// Join makes the process a member of the fleet. The node ends with ctx.
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

// store returns the platform's key-value service, or nil if the settings name
// none.
func (p *Process) store() (store.Store, error) {
	if len(p.common.Store) == 0 {
		return nil, nil
	}
	return httpstore.New(p.common.Store, httpstore.Options{})
}

// Addresses returns the addresses of the process's own listeners, given that
// of its data socket.
func (p *Process) Addresses(data netip.AddrPort) settings.Addresses {
	return settings.Addresses{
		Control: p.Peer.Addr(), ControlBound: p.Peer.Bound(),
		Data: data, Ops: p.Ops.Addr(),
	}
}

// Close closes the listeners; until ctx ends it lets requests of operators end.
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
