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

const (
	// minPublishInterval is the minimum time between two data path snapshots, so
	// that several changes of the fleet in quick succession need only one snapshot.
	minPublishInterval = 100 * time.Millisecond
	// recheckInterval is the time between checks for drains that have ended, and
	// between attempts to bind faces that could not be bound.
	recheckInterval = time.Second
)

// publisher turns control snapshots into data path snapshots. Except for keys and
// served, only the goroutine of run may use its fields.
type publisher struct {
	source      control.Source
	path        *datapath.Path
	faces       *faces
	services    *services
	gone        goneAddresses
	keys        chan *datapath.Keys
	currentKeys *datapath.Keys
	// ready is called once, after the first configuration was published.
	ready func()
	// served is the state that other goroutines may read; nil before the first
	// configuration was published.
	served atomic.Pointer[servedFaces]
}

// servedFaces holds the local addresses of the open faces and the errors of the
// faces that could not be bound, both by public address. It is immutable.
type servedFaces struct {
	local  map[netip.AddrPort]netip.AddrPort
	failed map[netip.AddrPort]error
}

// setRing hands the keys of changed secrets to run; it never blocks.
func (p *publisher) setRing(r *keyring.Ring) {
	keys := datapath.NewKeys(r)
	select {
	case <-p.keys: // discard an older value that run has not received yet
	default:
	}
	p.keys <- keys
}

// run publishes a data path snapshot after each change, until ctx ends.
func (p *publisher) run(ctx context.Context) {
	tick := time.NewTicker(recheckInterval)
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
		case <-time.After(minPublishInterval):
		}
	}
}

// wait returns true when there may be something to publish, or false when ctx
// ends.
func (p *publisher) wait(ctx context.Context, changed <-chan struct{}, tick <-chan time.Time) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-changed:
			return true
		case p.currentKeys = <-p.keys:
			return true
		case <-tick:
			if p.faces.needsRecheck() {
				return true
			}
		}
	}
}

// publish applies a control snapshot to the data path. If the snapshot has no
// configuration, because the control node has none that it can confirm, the data
// path keeps its current state.
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
	first := p.served.Load() == nil
	p.served.Store(&servedFaces{local: p.faces.local(), failed: p.faces.failed})
	if first {
		p.ready()
	}
}

func (p *publisher) snapshot(s *control.Snapshot) *datapath.Snapshot {
	out := &datapath.Snapshot{
		Revision:      s.Config.Revision,
		Keys:          p.currentKeys,
		Faces:         make(map[netip.AddrPort]*datapath.Face, len(p.faces.open)),
		GoneAddresses: p.gone,
	}
	for public, open := range p.faces.open {
		out.Faces[public] = &datapath.Face{
			Socket:         open.socket,
			Service:        config.TagOf(open.service),
			FormerServices: open.formerTags(),
			Agents:         p.services.set(open.service),
			Draining:       !open.drainEnds.IsZero(),
		}
	}
	return out
}

// local returns the local address of each open face, by public address.
func (p *publisher) local() map[netip.AddrPort]netip.AddrPort {
	v := p.served.Load()
	if v == nil {
		return map[netip.AddrPort]netip.AddrPort{}
	}
	return v.local
}

// check returns the reasons why the balancer is not ready, if any.
func (p *publisher) check() []string {
	v := p.served.Load()
	if v == nil {
		return []string{"no configuration in force"}
	}
	var findings []string
	for public, err := range v.failed {
		findings = append(findings, fmt.Sprintf("face %s could not be bound: %v", public, err))
	}
	slices.Sort(findings)
	return findings
}
