package control

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/saltbend/saltbend/internal/confdelta"
	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/record"
)

// maxTextBytes is the maximum size of a configuration's text.
const maxTextBytes = 16 << 20

// FetchArgs request a configuration newer than Have.
type FetchArgs struct {
	Have uint64
	// Service is the name of the service whose section is requested; if empty, the
	// whole configuration is requested.
	Service string
	// Section is the hash of the section that the requester has, 0 for none.
	Section uint64
	// Whole is set to request the whole text instead of the changes since Have.
	Whole bool
}

// FetchReply carries a newer configuration. A Revision of 0 means that the peer
// has no configuration newer than FetchArgs.Have.
type FetchReply struct {
	Revision uint64
	// Update carries the changes from the requester's revision to this one, or
	// the whole text.
	Update confdelta.Update
	// Unchanged is set if the requester already has the section.
	Unchanged bool
	// Section is the service's section, nil if the configuration has none.
	Section *config.Service
}

// Fetch returns the configuration, or the section of one service.
func (s *Service) Fetch(a FetchArgs, reply *FetchReply) error {
	if len(a.Service) > maxNameBytes {
		return errInvalid
	}
	var current adopted
	if err := handle(s, &current, func(time.Time) adopted { return s.node.adopted }); err != nil {
		return err
	}
	var err error
	*reply, err = current.fetchReply(a)
	return err
}

// fetchReply returns the reply to a fetch.
func (a adopted) fetchReply(args FetchArgs) (FetchReply, error) {
	if a.revision <= args.Have || a.log.Revision() == 0 {
		return FetchReply{}, nil
	}
	if args.Service != "" {
		return a.sectionReply(args), nil
	}
	from := args.Have
	if args.Whole {
		from = 0
	}
	update, err := a.log.Since(from)
	return FetchReply{Revision: a.revision, Update: update}, err
}

// sectionReply returns the reply to a fetch of one section.
func (a adopted) sectionReply(args FetchArgs) FetchReply {
	section := sectionOf(a.config, args.Service)
	if sectionHash(section) == args.Section {
		return FetchReply{Revision: a.revision, Unchanged: true}
	}
	return FetchReply{Revision: a.revision, Section: section}
}

// sectionOf returns the section of a service, nil if there is none.
func sectionOf(c *config.Config, service string) *config.Service {
	if c == nil {
		return nil
	}
	for i := range c.Services {
		if c.Services[i].Name == service {
			return &c.Services[i]
		}
	}
	return nil
}

// sectionHash returns a hash of the section's content, 0 for no section.
func sectionHash(section *config.Service) uint64 {
	if section == nil {
		return 0
	}
	text, err := json.Marshal(section)
	if err != nil {
		return 0 // cannot happen with plain fields; the effect is that the section is sent again
	}
	return xxhash.Sum64(text)
}

// fetch gets the configuration from a peer. A balancer fetches the whole
// configuration, an agent only the section of its service, which is all that it
// uses.
func (n *Node) fetch(from netip.AddrPort, have adopted) {
	next, err := n.fetchFrom(from, have)
	n.post(func(time.Time) {
		n.fetching = false
		if err != nil {
			n.recordEvent(EventRefused, fmt.Sprintf("from %s: %v", from, err))
		}
		if err != nil || next.revision == 0 {
			n.adopt.RemovePeer(from) // the next answer of the peer adds it again
			return
		}
		n.adoptConfig(next)
	})
}

// fetchFrom returns the configuration fetched from the peer. A revision of 0
// means that the peer did not answer or has no newer revision.
func (n *Node) fetchFrom(from netip.AddrPort, have adopted) (adopted, error) {
	if n.options.Self.Role == member.RoleAgent {
		return n.fetchSection(from, have), nil
	}
	for _, whole := range []bool{false, true} {
		var reply FetchReply
		_, err := n.call(from, "Fetch", FetchArgs{Have: have.revision, Whole: whole}, &reply)
		if err != nil || reply.Revision == 0 {
			return adopted{}, nil
		}
		log, err := have.log.Apply(reply.Update, maxTextBytes)
		if err != nil && !whole {
			continue // the peer's text of this process's revision differs: fetch the whole text
		}
		if err != nil {
			return adopted{}, err
		}
		c, err := record.ParseConfigJSON(log.Text(), log.Revision())
		return adopted{revision: log.Revision(), log: log, config: c}, err
	}
	return adopted{}, nil
}

// fetchSection is fetchFrom for an agent: it fetches the section of the agent's
// service.
func (n *Node) fetchSection(from netip.AddrPort, have adopted) adopted {
	self := n.options.Self
	args := FetchArgs{Have: have.revision, Service: self.Service, Section: sectionHash(sectionOf(have.config, self.Service))}
	var reply FetchReply
	_, err := n.call(from, "Fetch", args, &reply)
	if err != nil || reply.Revision == 0 {
		return adopted{}
	}
	section := reply.Section
	if reply.Unchanged {
		section = sectionOf(have.config, n.options.Self.Service)
	}
	c := &config.Config{Revision: reply.Revision}
	if section != nil {
		c.Services = []config.Service{*section}
	}
	return adopted{revision: reply.Revision, config: c}
}
