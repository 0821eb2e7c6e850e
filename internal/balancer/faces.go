package balancer

import (
	"maps"
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/datapath"
	"github.com/saltbend/saltbend/internal/event"
)

// faces holds the open face sockets. Only the publisher's goroutine may use it.
type faces struct {
	// host is the address that all faces are bound to, on ports that the kernel
	// chooses. If it is invalid, each face is bound to its public address.
	host  netip.Addr
	drain time.Duration
	open  map[netip.AddrPort]*face
	// failed holds the errors of the faces that could not be bound. update replaces
	// the map and never changes it, because other goroutines may read it.
	failed map[netip.AddrPort]error
	notify func(change faceChange, public netip.AddrPort, err error)
}

// face is one open face socket.
type face struct {
	socket  *datapath.Socket
	service string
	// formerServices maps each service that had the face previously to the time at
	// which its drain ends.
	formerServices map[string]time.Time
	// drainEnds is the time at which the socket is closed; zero while the face is in
	// the configuration.
	drainEnds time.Time
}

// faceChange is the kind of event that reports a change of a face.
type faceChange = event.Kind

// Changes of a face.
const (
	faceOpened event.Kind = "face-opened"
	// faceDraining means that the face was removed from the configuration.
	faceDraining event.Kind = "face-draining"
	faceClosed   event.Kind = "face-closed"
	// faceFailed means that the face could not be bound.
	faceFailed event.Kind = "face-failed"
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

// update opens the faces of the configuration that are not open yet, and drains
// the open faces that are no longer in it. It returns the sockets whose drain has
// ended: they are no longer in f.open, and the publisher must close them after
// publishing a snapshot without them.
func (f *faces) update(c *config.Config, now time.Time) (ended []*datapath.Socket) {
	wanted := facesOf(c)
	before := f.failed
	f.failed = make(map[netip.AddrPort]error)
	for public, service := range wanted {
		if err := f.ensureOpen(public, service, now); err != nil {
			f.failed[public] = err
			if before[public] == nil {
				f.notify(faceFailed, public, err)
			}
		}
	}
	for public, open := range f.open {
		open.expireFormerServices(now)
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

func (f *faces) ensureOpen(public netip.AddrPort, service string, now time.Time) error {
	if open := f.open[public]; open != nil {
		open.drainEnds = time.Time{}
		open.setService(service, now.Add(f.drain))
		return nil
	}
	socket, err := datapath.Open(public, f.bindAddr(public))
	if err != nil {
		return err
	}
	f.open[public] = &face{socket: socket, service: service, formerServices: make(map[string]time.Time)}
	f.notify(faceOpened, public, nil)
	return nil
}

// setService assigns the face to a service. The open flows of the service that had
// it are still forwarded until drainEnds.
func (f *face) setService(service string, drainEnds time.Time) {
	if service == f.service {
		return
	}
	f.formerServices[f.service] = drainEnds
	f.service = service
	delete(f.formerServices, service)
}

// expireFormerServices removes the former services whose drain has ended.
func (f *face) expireFormerServices(now time.Time) {
	maps.DeleteFunc(f.formerServices, func(_ string, ends time.Time) bool { return !now.Before(ends) })
}

// formerTags returns the tags of the former services.
func (f *face) formerTags() []config.Tag {
	var tags []config.Tag
	for name := range f.formerServices {
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

// needsRecheck reports whether update may have something to do although nothing
// was changed: a drain may have ended, or a face that could not be bound may now
// be free.
func (f *faces) needsRecheck() bool {
	for _, open := range f.open {
		if !open.drainEnds.IsZero() || len(open.formerServices) > 0 {
			return true
		}
	}
	return len(f.failed) > 0
}

// local returns the local address of each open face, by public address.
func (f *faces) local() map[netip.AddrPort]netip.AddrPort {
	out := make(map[netip.AddrPort]netip.AddrPort, len(f.open))
	for public, open := range f.open {
		out[public] = open.socket.Addr()
	}
	return out
}

// facesOf returns the name of the service of each face in the configuration.
func facesOf(c *config.Config) map[netip.AddrPort]string {
	out := make(map[netip.AddrPort]string)
	for i := range c.Services {
		for _, public := range c.Services[i].Faces {
			out[public] = c.Services[i].Name
		}
	}
	return out
}
