package control

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/member"
)

// FetchArgs ask for a configuration newer than Have.
type FetchArgs struct {
	Have uint64
	// Service asks for the section of one service only; empty asks for all.
	Service string
	// Section is the hash of the section that the caller has, 0 for none.
	Section uint64
}

// FetchReply carries a newer configuration; a revision of 0 says that the asked
// process has none.
type FetchReply struct {
	Revision uint64
	// Value is the store's value, which is compressed; for balancers.
	Value []byte
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
	return answer(s, reply, func(time.Time) FetchReply { return s.node.adopted.answer(a) })
}

func (a adopted) answer(args FetchArgs) FetchReply {
	if a.revision <= args.Have || a.value == nil {
		return FetchReply{}
	}
	if args.Service == "" {
		return FetchReply{Revision: a.revision, Value: a.value}
	}
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
	args := FetchArgs{Have: have.revision}
	self := n.options.Self
	if self.Role == member.RoleAgent {
		args.Service = self.Service
		args.Section = sectionHash(sectionOf(have.config, self.Service))
	}
	var reply FetchReply
	_, err := n.call(from, "Fetch", args, &reply)
	n.post(func(time.Time) {
		n.fetching = false
		if err != nil || reply.Revision == 0 {
			n.adopt.Gone(from) // until it answers again
			return
		}
		n.takeFetched(have, reply)
	})
}

func (n *Node) takeFetched(have adopted, reply FetchReply) {
	if n.options.Self.Role == member.RoleBalancer {
		n.take(reply.Value, reply.Revision)
		return
	}
	section := reply.Section
	if reply.Unchanged {
		section = sectionOf(have.config, n.options.Self.Service)
	}
	c := &config.Config{Revision: reply.Revision}
	if section != nil {
		c.Services = []config.Service{*section}
	} else {
		n.event(EventUnconfigured, fmt.Sprintf("revision %d has no service %s", reply.Revision, n.options.Self.Service))
	}
	n.adoptConfig(adopted{revision: reply.Revision, config: c})
}
