package control

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/gossip"
	"github.com/saltbend/saltbend/internal/member"
)

// serviceName is the name under which the net/rpc methods are registered.
const serviceName = "Control"

// Limits on the content of a message.
const (
	maxNameBytes = 128
	maxRecords   = 4096
)

// Errors of the methods called over net/rpc.
var (
	errInvalid = errors.New("control: invalid message")
	errStopped = errors.New("control: call not completed: the process is stopping or did not run it in time")
)

// Service has the methods that other processes call over net/rpc.
type Service struct {
	node *Node
}

// handle runs the task of one call on the goroutine that owns the state and
// stores the result in reply. It does not let the task write to reply, because
// the task may still run after the wait for it has timed out.
func handle[R any](s *Service, reply *R, task func(now time.Time) R) error {
	ctx, cancel := context.WithTimeout(s.node.ctx, callTimeout)
	defer cancel()
	var out R
	if !s.node.runTask(ctx, func(now time.Time) { out = task(now) }) {
		return errStopped
	}
	*reply = out
	return nil
}

// Announce processes a renewal and returns the records that the sender needs.
func (s *Service) Announce(a gossip.Announce, reply *gossip.AnnounceReply) error {
	if !validMember(a.Self) {
		return errInvalid
	}
	return handle(s, reply, func(now time.Time) gossip.AnnounceReply {
		if a.Self.Role == member.RoleBalancer { // an agent cannot pass the configuration on: it has one section only
			s.node.recordRequestClaim(now, a.Self.Control, a.Claim)
		}
		r := s.node.engine.HandleAnnounce(now, a)
		r.Claim = s.node.claim(now, a.Self.Control)
		return r
	})
}

// Push processes forwarded transitions and suspicions.
func (s *Service) Push(p gossip.Push, reply *gossip.PushReply) error {
	if !validAddr(p.From) || !validMembers(p.Members) {
		return errInvalid
	}
	return handle(s, reply, func(now time.Time) gossip.PushReply {
		s.node.recordRequestClaim(now, p.From, p.Claim)
		r := s.node.engine.HandlePush(now, p)
		r.Claim = s.node.claim(now, p.From)
		return r
	})
}

// Digest compares the sender's digest with that of this process's table, and
// returns the table's bucket hashes if the digests differ.
func (s *Service) Digest(d gossip.Digest, reply *gossip.DigestReply) error {
	if !validAddr(d.From) {
		return errInvalid
	}
	return handle(s, reply, func(now time.Time) gossip.DigestReply {
		s.node.recordRequestClaim(now, d.From, d.Claim)
		r := s.node.engine.HandleDigest(now, d)
		r.Claim = s.node.claim(now, d.From)
		return r
	})
}

// Exchange merges the sender's records and returns the records that the sender
// lacks.
func (s *Service) Exchange(x gossip.Exchange, reply *gossip.Exchange) error {
	if !validAddr(x.From) || !validMembers(x.Members) || !validBuckets(x.Buckets) {
		return errInvalid
	}
	return handle(s, reply, func(now time.Time) gossip.Exchange {
		return s.node.engine.HandleExchange(now, x)
	})
}

// PingArgs are the arguments of a balancer's probe.
type PingArgs struct {
	From netip.AddrPort
	// Suspicion is the balancer's suspicion of the probed process, nil for none.
	Suspicion *member.Suspicion
}

// PingReply shows that the process is live.
type PingReply struct{}

// Ping answers a probe.
func (s *Service) Ping(a PingArgs, reply *PingReply) error {
	if !validAddr(a.From) {
		return errInvalid
	}
	return handle(s, reply, func(now time.Time) PingReply {
		s.node.engine.HandleProbe(now, a.From, a.Suspicion)
		return PingReply{}
	})
}

func validMembers(ms []member.Member) bool {
	if len(ms) > maxRecords {
		return false
	}
	for _, m := range ms {
		if !validMember(m) {
			return false
		}
	}
	return true
}

func validMember(m member.Member) bool {
	role := m.Role == member.RoleBalancer && m.Service == "" || m.Role == member.RoleAgent && m.Service != ""
	state := m.State >= member.StateStarting && m.State <= member.StateGone
	names := len(m.Service) <= maxNameBytes && len(m.DataCentre) <= maxNameBytes
	numbers := m.Incarnation > 0 && m.Slots >= 0 && m.Weight >= 0
	return role && state && names && numbers && validAddr(m.Control)
}

func validAddr(a netip.AddrPort) bool { return a.IsValid() && a.Port() != 0 }

func validBuckets(buckets []int) bool {
	for _, b := range buckets {
		if b < 0 || b >= member.DigestBuckets {
			return false
		}
	}
	return len(buckets) <= member.DigestBuckets
}

// Empty is a message without content.
type Empty struct{}
