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

// stand stands in for one member that the balancer is in touch with.
type stand struct {
	crowd  *Crowd
	self   member.Member
	peer   *peer.Peer
	ctx    context.Context
	cancel context.CancelFunc
}

func newStand(c *Crowd, m member.Member) (*stand, error) {
	p, err := peer.Listen(m.Control, c.ring)
	if err != nil {
		return nil, err
	}
	s := &stand{crowd: c, self: m, peer: p}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s, p.Register("Control", &Service{s})
}

func (s *stand) close() error {
	s.cancel()
	return s.peer.Close()
}

func (s *stand) call(ctx context.Context, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.peer.Call(ctx, s.crowd.balancer, "Control."+method, args, reply)
}

func (s *stand) claim(revision uint64) gossip.Claim {
	return gossip.Claim{Revision: revision, Balancers: targetBalancers}
}

// renew renews as the member would, at times of its own.
func (s *stand) renew() {
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

// Service answers the balancer's calls as a member without news does.
type Service struct{ stand *stand }

// Announce takes the balancer's renewal.
func (s *Service) Announce(a gossip.Announce, reply *gossip.AnnounceReply) error {
	*reply = gossip.AnnounceReply{Epoch: s.stand.self.Incarnation, Cursor: 1, Claim: s.stand.claim(a.Claim.Revision)}
	return nil
}

// Push takes transitions and passes the news of a revision back, as one of the
// balancers does that push to this one.
func (s *Service) Push(p gossip.Push, reply *gossip.PushReply) error {
	claim := s.stand.claim(p.Claim.Revision)
	reply.Claim = claim
	go func() {
		back := gossip.Push{From: s.stand.self.Control, Claim: claim}
		_ = s.stand.call(s.stand.ctx, "Push", &back, &gossip.PushReply{}) // a lost push is made up for by digests
	}()
	return nil
}

// Digest says that the members are the same.
func (s *Service) Digest(d gossip.Digest, reply *gossip.DigestReply) error {
	*reply = gossip.DigestReply{Equal: true, Claim: s.stand.claim(d.Claim.Revision)}
	return nil
}

// Exchange has nothing to add.
func (s *Service) Exchange(gossip.Exchange, *gossip.Exchange) error { return nil }

// Ping answers that the member lives.
func (s *Service) Ping(control.PingArgs, *control.PingReply) error { return nil }
