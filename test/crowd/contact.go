package crowd

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/gossip"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/peer"
)

// contact simulates one member that the balancer communicates with.
type contact struct {
	crowd  *Crowd
	self   member.Member
	peer   *peer.Peer
	ctx    context.Context
	cancel context.CancelFunc
}

func newContact(c *Crowd, m member.Member) (*contact, error) {
	p, err := peer.Listen(m.Control, c.ring)
	if err != nil {
		return nil, err
	}
	s := &contact{crowd: c, self: m, peer: p}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s, p.Register("Control", &Service{s})
}

func (s *contact) close() error {
	s.cancel()
	return s.peer.Close()
}

func (s *contact) call(ctx context.Context, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.peer.Call(ctx, s.crowd.balancer, "Control."+method, args, reply)
}

func (s *contact) claim(revision uint64) gossip.Claim {
	return gossip.Claim{Revision: revision, Balancers: targetBalancers}
}

// renew renews the member's record periodically, starting at a random time within the
// period, as a real member does.
func (s *contact) renew() {
	period := gossip.DefaultTiming().Renew
	a := gossip.Announce{Self: s.self, Claim: s.claim(0)}
	pause := time.Duration(rand.Int64N(int64(period)))
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = period
		var reply gossip.AnnounceReply
		if s.call(s.ctx, "Announce", &a, &reply) == nil {
			a.Epoch, a.Cursor = reply.Epoch, reply.Cursor
		}
	}
}

// Service answers the balancer's calls as a member that has no changes to report.
type Service struct{ contact *contact }

// Announce answers a renewal of the balancer.
func (s *Service) Announce(a gossip.Announce, reply *gossip.AnnounceReply) error {
	*reply = gossip.AnnounceReply{Epoch: s.contact.self.Incarnation, Cursor: 1, Claim: s.contact.claim(a.Claim.Revision)}
	return nil
}

// Push accepts transitions and pushes the revision back to the balancer, as the balancers
// that push to it do.
func (s *Service) Push(p gossip.Push, reply *gossip.PushReply) error {
	claim := s.contact.claim(p.Claim.Revision)
	reply.Claim = claim
	go func() {
		back := gossip.Push{From: s.contact.self.Control, Claim: claim}
		_ = s.contact.call(s.contact.ctx, "Push", &back, &gossip.PushReply{}) // digests compensate for a lost push
	}()
	return nil
}

// Digest answers that both have the same members.
func (s *Service) Digest(d gossip.Digest, reply *gossip.DigestReply) error {
	*reply = gossip.DigestReply{Equal: true, Claim: s.contact.claim(d.Claim.Revision)}
	return nil
}

// Exchange answers with no members.
func (s *Service) Exchange(gossip.Exchange, *gossip.Exchange) error { return nil }

// Ping answers, which shows that the member is alive.
func (s *Service) Ping(control.PingArgs, *control.PingReply) error { return nil }
