package balancer

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/datapath"
	"github.com/saltbend/saltbend/internal/keyring"
)

// Times of the publisher.
const (
	// settle is the least time between two data path snapshots: changes of the
	// fleet that come close together cost one snapshot.
	settle = 100 * time.Millisecond
	// recheck is the time between looks at drains that end and at faces that
	// could not be bound.
	recheck = time.Second
)

// publisher turns control snapshots into data path snapshots. All but view
// belongs to the goroutine of run.
type publisher struct {
	source   control.Source
	path     *datapath.Path
	faces    *faces
	services *services
	gone     gone
	keys     chan *datapath.Keys
	inUse    *datapath.Keys
	// ready is called once, with the first configuration in force.
	ready func()
	// view is what other goroutines may read.
	view atomic.Pointer[view]
}

// view tells what the balancer serves. It is immutable.
type view struct {
	local  map[netip.AddrPort]netip.AddrPort
	failed map[netip.AddrPort]error
}

// setRing passes changed secrets on; it never blocks.
func (p *publisher) setRing(r *keyring.Ring) {
	keys := datapath.NewKeys(r)
	select {
	case <-p.keys: // an older value that was not yet taken
	default:
	}
	p.keys <- keys
}

// run publishes until ctx ends.
func (p *publisher) run(ctx context.Context) {
	tick := time.NewTicker(recheck)
	defer tick.Stop()
	for {
		changed := p.source.Changed()
		p.publish(p.source.Snapshot(), time.Now())
		if !p.wait(ctx, changed, tick.C) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(settle):
		}
	}
}

// wait returns when there may be something to publish, or false when ctx ends.
func (p *publisher) wait(ctx context.Context, changed <-chan struct{}, tick <-chan time.Time) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-changed:
			return true
		case p.inUse = <-p.keys:
			return true
		case <-tick:
			if p.faces.waiting() {
				return true
			}
		}
	}
}

// publish puts a control snapshot in force. Without a configuration that the
// process can vouch for, what it serves stays as it is.
func (p *publisher) publish(s *control.Snapshot, now time.Time) {
	if s.Config == nil {
		return
	}
	ended := p.faces.update(s.Config, now)
	p.services.update(s)
	p.gone = p.gone.update(s)
	p.path.Publish(p.snapshot(s))
	for _, socket := range ended {
		_ = socket.Close()
	}
	first := p.view.Load() == nil
	p.view.Store(&view{local: p.faces.local(), failed: p.faces.failed})
	if first {
		p.ready()
	}
}

func (p *publisher) snapshot(s *control.Snapshot) *datapath.Snapshot {
	out := &datapath.Snapshot{
		Revision: s.Config.Revision,
		Keys:     p.inUse,
		Faces:    make(map[netip.AddrPort]*datapath.Face, len(p.faces.open)),
		Gone:     p.gone,
	}
	for public, open := range p.faces.open {
		out.Faces[public] = &datapath.Face{
			Socket:   open.socket,
			Service:  config.TagOf(open.service),
			Former:   open.formerTags(),
			Agents:   p.services.set(open.service),
			Draining: !open.drainEnds.IsZero(),
		}
	}
	return out
}

// local returns the local address of each open face by its public one.
func (p *publisher) local() map[netip.AddrPort]netip.AddrPort {
	v := p.view.Load()
	if v == nil {
		return map[netip.AddrPort]netip.AddrPort{}
	}
	return v.local
}

// check returns the reasons why the balancer is not ready.
func (p *publisher) check() []string {
	v := p.view.Load()
	if v == nil {
		return []string{"no configuration in force"}
	}
	var findings []string
	for public, err := range v.failed {
		findings = append(findings, fmt.Sprintf("face %s is not bound: %v", public, err))
	}
	slices.Sort(findings)
	return findings
}
