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

// maxTextBytes bounds the text of a configuration.
const maxTextBytes = 16 << 20

// FetchArgs ask for a configuration newer than Have.
type FetchArgs struct {
	Have uint64
	// Service asks for the section of one service only; empty asks for all.
	Service string
	// Section is the hash of the section that the caller has, 0 for none.
	Section uint64
	// Whole asks for the whole text, though Have is known.
	Whole bool
}

// FetchReply carries a newer configuration; a revision of 0 says that the asked
// process has none.
type FetchReply struct {
	Revision uint64
	// Update leads a balancer from the revision that it has to this one.
	Update confdelta.Update
	// Unchanged tells that the section is the one that the caller has.
	Unchanged bool
	// Section is the service's section, nil where the file has none.
	Section *config.Service
}

// Fetch answers with the configuration, or with one section of it.
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

func (a adopted) sectionReply(args FetchArgs) FetchReply {
	section := sectionOf(a.config, args.Service)
	if sectionHash(section) == args.Section {
		return FetchReply{Revision: a.revision, Unchanged: true}
	}
	return FetchReply{Revision: a.revision, Section: section}
}

// sectionOf returns the section of a service, nil for none.
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

// sectionHash identifies a section's content; 0 is that of no section.
func sectionHash(section *config.Service) uint64 {
	if section == nil {
		return 0
	}
	text, err := json.Marshal(section)
	if err != nil {
		return 0 // plain fields only: then the section is sent again
	}
	return xxhash.Sum64(text)
}

// fetch gets the configuration from a peer: a balancer the whole, an agent the
// section of its service, which is all that it acts on.
func (n *Node) fetch(from netip.AddrPort, have adopted) {
	next, err := n.fetchFrom(from, have)
	n.post(func(time.Time) {
		n.fetching = false
		if err != nil {
			n.recordEvent(EventRefused, fmt.Sprintf("from %s: %v", from, err))
		}
		if err != nil || next.revision == 0 {
			n.adopt.Gone(from) // until it answers again
			return
		}
		n.adoptConfig(next)
	})
}

// fetchFrom returns what the peer has; a revision of 0 says that it did not
// answer or has none newer.
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
		log, err := have.log.Follow(reply.Update, maxTextBytes)
		if err != nil && !whole {
			continue // the peer has another text of a revision: take the whole
		}
		if err != nil {
			return adopted{}, err
		}
		c, err := record.ParseText(log.Text(), log.Revision())
		return adopted{revision: log.Revision(), log: log, config: c}, err
	}
	return adopted{}, nil
}

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
