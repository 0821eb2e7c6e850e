package control

import (
	"fmt"

	"github.com/saltbend/saltbend/internal/event"
	"github.com/saltbend/saltbend/internal/gossip"
	"github.com/saltbend/saltbend/internal/member"
)

// Events of membership.
const (
	EventJoined    event.Kind = "Member joined."
	EventState     event.Kind = "Member changed state."
	EventSuspected event.Kind = "Member suspected."
	EventDeclared  event.Kind = "Member declared gone."
	EventReturned  event.Kind = "Member returned."
	EventRefuted   event.Kind = "Own death refuted."
	EventKept      event.Kind = "Unreachable members kept."
	EventKeptEnd   event.Kind = "Unreachable members kept no longer."
	EventLearned   event.Kind = "Table learned from a peer."
)

var noticeKinds = map[gossip.NoticeKind]event.Kind{
	gossip.NoticeJoined:    EventJoined,
	gossip.NoticeState:     EventState,
	gossip.NoticeSuspected: EventSuspected,
	gossip.NoticeDeclared:  EventDeclared,
	gossip.NoticeReturned:  EventReturned,
	gossip.NoticeRefuted:   EventRefuted,
	gossip.NoticeKept:      EventKept,
	gossip.NoticeKeptEnd:   EventKeptEnd,
	gossip.NoticeLearned:   EventLearned,
}

// notice puts what the engine noticed on the time line.
func (n *Node) notice(a gossip.Notice) {
	switch a.Kind {
	case gossip.NoticeKept, gossip.NoticeKeptEnd, gossip.NoticeLearned:
		n.event(noticeKinds[a.Kind], fmt.Sprintf("%d members", a.Count))
		return
	}
	n.event(noticeKinds[a.Kind], describe(a.Member))
}

func describe(m member.Member) string {
	role := "balancer"
	if m.Role == member.RoleAgent {
		role = "agent of " + m.Service
	}
	return fmt.Sprintf("%s %s, incarnation %d, version %d, state %s", role, m.Control, m.Incarnation, m.Version, m.State)
}
