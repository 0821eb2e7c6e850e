// Package gossip decides how knowledge of members spreads between processes:
// announcements to a few balancers, transitions flooded over a sparse graph of
// balancers, digests that repair what was lost. It is pure: time, randomness
// and messages come in, actions go out.
package gossip

import (
	"net/netip"

	"github.com/saltbend/saltbend/internal/adopt"
	"github.com/saltbend/saltbend/internal/member"
)

// Claim is what a process says of its configuration in each message. The
// engine leaves it to the caller, which fills and reads it.
type Claim struct {
	// Revision is the adopted revision, 0 for none.
	Revision uint64
	// Serving tells that the process is a balancer and serves on it. An agent
	// vouches for nothing: it learns a revision after the balancers.
	Serving bool
	// Reading is the newest reading of the store that the process knows of.
	Reading *adopt.Reading
	// Balancers is the number of live balancers that the process knows, without
	// the one it speaks to.
	Balancers int
}

// Announce tells a balancer that its sender lives, and asks for news.
type Announce struct {
	Self member.Member
	// Epoch and Cursor say up to where the sender knows the balancer's table:
	// the balancer's incarnation and the change number of its last reply.
	Epoch, Cursor uint64
	Claim         Claim
}

// AnnounceReply carries what changed since the sender's cursor.
type AnnounceReply struct {
	Epoch, Cursor uint64
	// Suspected says that some balancer takes the sender for dead.
	Suspected bool
	Claim     Claim
	// Members are records the sender needs: for an agent its siblings and a
	// sample of balancers, for anyone a newer record of itself.
	Members []member.Member
}

// Push passes transitions on.
type Push struct {
	From       netip.AddrPort
	Claim      Claim
	Members    []member.Member
	Suspicions []member.Suspicion
}

// PushReply acknowledges a push.
type PushReply struct {
	Claim Claim
}

// Digest asks whether two balancers know the same live members.
type Digest struct {
	From  netip.AddrPort
	Claim Claim
	Root  uint64
}

// DigestReply carries the buckets of the answering side where roots differ.
type DigestReply struct {
	Claim   Claim
	Equal   bool
	Buckets []uint32
}

// Exchange carries the sender's records of the buckets that differ and asks
// for those of the receiver; the reply has the same type.
type Exchange struct {
	From    netip.AddrPort
	Buckets []int
	Members []member.Member
	// Suspicions concern members that the receiver holds for live and the
	// sender for dead: the member itself is to settle it.
	Suspicions []member.Suspicion
}

// Action is what the caller of the engine has to do next.
type Action interface{ action() }

// SendAnnounce calls a balancer; the outcome goes to Engine.AnnounceDone.
type SendAnnounce struct {
	To      netip.AddrPort
	Message Announce
}

// SendPush calls a balancer; a failure goes to Engine.PushFailed.
type SendPush struct {
	To      netip.AddrPort
	Message Push
}

// SendDigest calls a balancer; the reply goes to Engine.DigestDone.
type SendDigest struct {
	To      netip.AddrPort
	Message Digest
}

// SendExchange calls a balancer; the reply goes to Engine.ExchangeDone.
type SendExchange struct {
	To      netip.AddrPort
	Message Exchange
}

// Probe asks a member whether it lives; the outcome goes to Engine.ProbeDone.
type Probe struct {
	To netip.AddrPort
	// Suspicion tells the member that it is suspected; nil if it is not.
	Suspicion *member.Suspicion
}

// NoticeKind tells what an engine decided or noticed.
type NoticeKind uint8

// Kinds of notices.
const (
	// NoticeJoined: a member, or a new incarnation of one, became known.
	NoticeJoined NoticeKind = iota + 1
	// NoticeState: a member changed its state.
	NoticeState
	// NoticeSuspected: this process suspects a member.
	NoticeSuspected
	// NoticeDeclared: a member was declared gone.
	NoticeDeclared
	// NoticeReturned: a member that had been declared gone lives.
	NoticeReturned
	// NoticeRefuted: this process was taken for dead and answered.
	NoticeRefuted
	// NoticeKept: the panic threshold keeps unreachable members.
	NoticeKept
	// NoticeKeptEnd: it keeps none any more.
	NoticeKeptEnd
	// NoticeLearned: many records came at once, as when a process joins.
	NoticeLearned
)

// Notice is for the time line: nothing has to be done.
type Notice struct {
	Kind   NoticeKind
	Member member.Member
	// Count is the number of members that are kept, or were learned.
	Count int
}

// FindPeers looks for addresses to join at: no known balancer answers.
type FindPeers struct{}

func (SendAnnounce) action() {}
func (SendPush) action()     {}
func (SendDigest) action()   {}
func (SendExchange) action() {}
func (Probe) action()        {}
func (FindPeers) action()    {}
func (Notice) action()       {}
