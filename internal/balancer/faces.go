package balancer

import (
	"maps"
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/datapath"
	"github.com/saltbend/saltbend/internal/event"
)

// faces holds the open face sockets. It belongs to the goroutine that turns
// control snapshots into data path snapshots.
type faces struct {
	// host binds all faces; if it is invalid, each is bound at itself.
	host  netip.Addr
	drain time.Duration
	open  map[netip.AddrPort]*face
	// failed holds the faces that could not be bound. It is replaced, never
	// changed, by update.
	failed map[netip.AddrPort]error
	notify func(change faceChange, public netip.AddrPort, err error)
}

// face is one open face socket.
type face struct {
	socket  *datapath.Socket
	service string
	// former are the services that had the face before, with the end of each
	// one's drain.
	former map[string]time.Time
	// drainEnds is when the socket closes; zero while the configuration holds
	// the face.
	drainEnds time.Time
}

// faceChange is what happened to a face.
type faceChange = event.Kind

// Changes of a face.
const (
	faceOpened   event.Kind = "face-opened"
	faceDraining event.Kind = "face-draining"
	faceClosed   event.Kind = "face-closed"
	faceFailed   event.Kind = "face-failed"
)

func newFaces(host netip.Addr, drain time.Duration, notify func(faceChange, netip.AddrPort, error)) *faces {
	return &faces{
		host:   host,
		drain:  drain,
		open:   make(map[netip.AddrPort]*face),
		failed: make(map[netip.AddrPort]error),
		notify: notify,
	}
}

// update opens the faces that the configuration has and that are not open, and
// lets those drain that it has not. It returns the sockets whose drain has
// ended: they are no longer in open, and are to be closed once no snapshot
// holds them.
func (f *faces) update(c *config.Config, now time.Time) (ended []*datapath.Socket) {
	wanted := facesOf(c)
	before := f.failed
	f.failed = make(map[netip.AddrPort]error)
	for public, service := range wanted {
		if err := f.want(public, service, now); err != nil {
			f.failed[public] = err
			if before[public] == nil {
				f.notify(faceFailed, public, err)
			}
		}
	}
	for public, open := range f.open {
		open.forget(now)
		if _, ok := wanted[public]; ok {
			continue
		}
		if open.drainEnds.IsZero() {
			open.drainEnds = now.Add(f.drain)
			f.notify(faceDraining, public, nil)
		}
		if !now.Before(open.drainEnds) {
			delete(f.open, public)
			ended = append(ended, open.socket)
			f.notify(faceClosed, public, nil)
		}
	}
	return ended
}

func (f *faces) want(public netip.AddrPort, service string, now time.Time) error {
	if open := f.open[public]; open != nil {
		open.drainEnds = time.Time{}
		open.serve(service, now.Add(f.drain))
		return nil
	}
	socket, err := datapath.Open(public, f.bindAddr(public))
	if err != nil {
		return err
	}
	f.open[public] = &face{socket: socket, service: service, former: make(map[string]time.Time)}
	f.notify(faceOpened, public, nil)
	return nil
}

// serve gives the face to a service. The open flows of the one that had it go
// on until the drain ends.
func (f *face) serve(service string, drainEnds time.Time) {
	if service == f.service {
		return
	}
	f.former[f.service] = drainEnds
	f.service = service
	delete(f.former, service)
}

// forget drops the former services whose drain has ended.
func (f *face) forget(now time.Time) {
	maps.DeleteFunc(f.former, func(_ string, ends time.Time) bool { return !now.Before(ends) })
}

// formerTags returns the tags of the former services.
func (f *face) formerTags() []config.Tag {
	var tags []config.Tag
	for name := range f.former {
		tags = append(tags, config.TagOf(name))
	}
	return tags
}

func (f *faces) bindAddr(public netip.AddrPort) netip.AddrPort {
	if f.host.IsValid() {
		return netip.AddrPortFrom(f.host, 0)
	}
	return public
}

// waiting reports whether time alone may change something: a drain that ends,
// or a face that can be bound after all.
func (f *faces) waiting() bool {
	for _, open := range f.open {
		if !open.drainEnds.IsZero() || len(open.former) > 0 {
			return true
		}
	}
	return len(f.failed) > 0
}

// local returns the local address of each open face by its public one.
func (f *faces) local() map[netip.AddrPort]netip.AddrPort {
	out := make(map[netip.AddrPort]netip.AddrPort, len(f.open))
	for public, open := range f.open {
		out[public] = open.socket.Addr()
	}
	return out
}

// facesOf returns the configuration's faces with the names of their services.
func facesOf(c *config.Config) map[netip.AddrPort]string {
	out := make(map[netip.AddrPort]string)
	for i := range c.Services {
		for _, public := range c.Services[i].Faces {
			out[public] = c.Services[i].Name
		}
	}
	return out
}
