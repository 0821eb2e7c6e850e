package control

import (
	"context"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/gossip"
	"github.com/saltbend/saltbend/internal/member"
)

// callTimeout limits one control call. It is shorter than the renewal period, so
// that calls to a silent process do not accumulate.
const callTimeout = 2 * time.Second

// perform carries out an action of the engine. Calls run in separate goroutines,
// which post the outcome to the goroutine that owns the state.
func (n *Node) perform(now time.Time, a gossip.Action) {
	switch a := a.(type) {
	case gossip.SendAnnounce:
		a.Message.Claim = n.claim(now, a.To)
		go n.sendAnnounce(a)
	case gossip.SendPush:
		a.Message.Claim = n.claim(now, a.To)
		go n.sendPush(a)
	case gossip.SendDigest:
		a.Message.Claim = n.claim(now, a.To)
		go n.sendDigest(a)
	case gossip.SendExchange:
		go n.sendExchange(a)
	case gossip.Probe:
		go n.sendProbe(a)
	case gossip.Notice:
		n.recordNotice(a)
	case gossip.FindPeers:
		n.findPeers(now)
	}
}

// call makes one control call and returns its round-trip time.
func (n *Node) call(to netip.AddrPort, method string, args, reply any) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	start := time.Now()
	err := n.options.Peer.Call(ctx, to, serviceName+"."+method, args, reply)
	countCall(method, err)
	return time.Since(start), err
}

func (n *Node) sendAnnounce(a gossip.SendAnnounce) {
	var reply gossip.AnnounceReply
	trip, err := n.call(a.To, "Announce", a.Message, &reply)
	n.post(func(now time.Time) {
		if err != nil {
			n.engine.AnnounceFailed(now, a.To)
			return
		}
		n.recordReplyClaim(now, a.To, reply.Claim, trip)
		n.engine.AnnounceDone(now, a.To, a.Message, reply)
	})
}

func (n *Node) sendPush(a gossip.SendPush) {
	var reply gossip.PushReply
	trip, err := n.call(a.To, "Push", a.Message, &reply)
	if err != nil {
		return // the periodic digests lead to an exchange of the records that the lost push carried
	}
	n.post(func(now time.Time) { n.recordReplyClaim(now, a.To, reply.Claim, trip) })
}

func (n *Node) sendDigest(a gossip.SendDigest) {
	var reply gossip.DigestReply
	trip, err := n.call(a.To, "Digest", a.Message, &reply)
	if err != nil {
		return
	}
	n.post(func(now time.Time) {
		n.recordReplyClaim(now, a.To, reply.Claim, trip)
		n.engine.DigestDone(now, a.To, reply)
	})
}

func (n *Node) sendExchange(a gossip.SendExchange) {
	var reply gossip.Exchange
	if _, err := n.call(a.To, "Exchange", a.Message, &reply); err != nil {
		return
	}
	n.post(func(now time.Time) { n.engine.ExchangeDone(now, reply) })
}

func (n *Node) sendProbe(a gossip.Probe) {
	_, err := n.call(a.To, "Ping", PingArgs{From: n.options.Self.Control, Suspicion: a.Suspicion}, &PingReply{})
	evidence := evidenceOf(err)
	n.post(func(now time.Time) { n.engine.ProbeDone(now, a.To, evidence) })
}

// evidenceOf returns the evidence that the error of a probe gives, 0 for no
// error.
func evidenceOf(err error) member.Evidence {
	switch {
	case err == nil:
		return 0
	case errors.Is(err, syscall.ECONNREFUSED):
		return member.Refused
	}
	return member.Unreachable
}
