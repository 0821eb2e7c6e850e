// Package gossip implements the membership protocol. A process announces itself
// regularly (it renews) at a few balancers, its witnesses; balancers flood
// transitions of members over a sparse graph of balancers, and compare digests of
// their tables to repair the differences that lost messages leave. Witnesses probe
// silent members, exchange suspicions, and declare a member gone when enough of them
// suspect it. If much of the fleet becomes unreachable at once, a network partition is the likelier
// cause: the panic threshold then retains the unreachable members for a while.
//
// The package does no I/O and reads no clock: the engine's owner passes in time,
// randomness and messages, and carries out the returned actions.
package gossip

import (
	"net/netip"

	"github.com/saltbend/saltbend/internal/adopt"
	"github.com/saltbend/saltbend/internal/member"
)

// Claim is what a process states about its configuration in each message. The
// engine does not use it; the engine's owner sets and reads it.
type Claim struct {
	// Revision is the adopted revision, 0 for none.
	Revision uint64
	// Serving is set if the process is a balancer and serves the revision. An
	// agent never sets it, because an agent receives a revision only after the
	// balancers.
	Serving bool
	// Reading is the newest reading of the configuration's revision from the store
	// that is known to the process; nil for none.
	Reading *adopt.Reading
	// Balancers is the number of live balancers known to the process, without the
	// receiver of the message.
	Balancers int
}

// Announce is a renewal: it tells a balancer that the sender is live, and asks
// for the records that have changed.
type Announce struct {
	Self member.Member
	// Epoch and Cursor say up to which change the sender has received the
	// balancer's table: the balancer's incarnation and the change number of its
	// last reply.
	Epoch, Cursor uint64
	Claim         Claim
}

// AnnounceReply carries the records that changed after the sender's cursor.
type AnnounceReply struct {
	Epoch, Cursor uint64
	// Suspected is set if a balancer suspects the sender of being dead.
	Suspected bool
	Claim     Claim
	// Members are the records the sender needs: for an agent the other agents of
	// its service, for any sender a sample of balancers and a newer record of
	// itself if there is one.
	Members []member.Member
}

// Push forwards transitions and suspicions.
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

// Digest asks whether two balancers have the same live members.
type Digest struct {
	From  netip.AddrPort
	Claim Claim
	Root  uint64
}

// DigestReply carries the receiver's bucket hashes if the root hashes differ.
type DigestReply struct {
	Claim   Claim
	Equal   bool
	Buckets []uint32
}

// Exchange carries the sender's records of the buckets that differ and asks for
// those of the receiver. The reply has the same type.
type Exchange struct {
	From    netip.AddrPort
	Buckets []int
	Members []member.Member
	// Suspicions concern members that are live in the receiver's table and declared
	// gone in the sender's. The receiver probes such a member; if it is live, it
	// refutes the suspicion.
	Suspicions []member.Suspicion
}

// Action is a step that the engine asks its owner to carry out.
type Action interface{ action() }

// SendAnnounce asks the engine's owner to send a renewal; the outcome goes to
// Engine.AnnounceDone or Engine.AnnounceFailed.
type SendAnnounce struct {
	To      netip.AddrPort
	Message Announce
}

// SendPush asks the engine's owner to send a push. The engine does not need the
// outcome: the periodic digests lead to an exchange of the records that a lost push
// carried.
type SendPush struct {
	To      netip.AddrPort
	Message Push
}

// SendDigest asks the engine's owner to send a digest; the reply goes to
// Engine.DigestDone.
type SendDigest struct {
	To      netip.AddrPort
	Message Digest
}

// SendExchange asks the engine's owner to send an exchange; the reply goes to
// Engine.ExchangeDone.
type SendExchange struct {
	To      netip.AddrPort
	Message Exchange
}

// Probe asks the engine's owner to check whether a member answers; the outcome goes to
// Engine.ProbeDone.
type Probe struct {
	To netip.AddrPort
	// Suspicion informs the member that it is suspected; nil if it is not.
	Suspicion *member.Suspicion
}

// NoticeKind is the kind of event that an engine reports.
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
	// NoticeReturned: a member that had been declared gone is live.
	NoticeReturned
	// NoticeRefuted: this process was suspected or declared gone, and refuted it.
	NoticeRefuted
	// NoticeRetained: the panic threshold retains unreachable members, which
	// would otherwise be declared gone.
	NoticeRetained
	// NoticeRetainedEnd: the panic threshold no longer retains any member.
	NoticeRetainedEnd
	// NoticeTableReceived: an exchange brought many records at once, as when the
	// process joins.
	NoticeTableReceived
)

// Notice reports an event for the timeline. It requires no action.
type Notice struct {
	Kind   NoticeKind
	Member member.Member
	// Count is the number of retained members in NoticeRetained, and of received
	// records in NoticeTableReceived.
	Count int
}

// FindPeers asks the engine's owner for addresses to join at, because no known balancer
// answers.
type FindPeers struct{}

func (SendAnnounce) action() {}
func (SendPush) action()     {}
func (SendDigest) action()   {}
func (SendExchange) action() {}
func (Probe) action()        {}
func (FindPeers) action()    {}
func (Notice) action()       {}
