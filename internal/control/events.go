package control

import (
	"fmt"
	"log/slog"

	"github.com/saltbend/saltbend/internal/event"
	"github.com/saltbend/saltbend/internal/gossip"
	"github.com/saltbend/saltbend/internal/member"
)

// Events about members.
const (
	EventJoined        event.Kind = "member-joined"
	EventState         event.Kind = "member-state-changed"
	EventSuspected     event.Kind = "member-suspected"
	EventDeclared      event.Kind = "member-declared-gone"
	EventReturned      event.Kind = "member-returned"
	EventRefuted       event.Kind = "own-death-refuted"
	EventRetained      event.Kind = "unreachable-kept"
	EventRetainedEnd   event.Kind = "unreachable-kept-no-longer"
	EventTableReceived event.Kind = "table-learned"
)

// noticeKinds maps the engine's notices to events.
var noticeKinds = map[gossip.NoticeKind]event.Kind{
	gossip.NoticeJoined:        EventJoined,
	gossip.NoticeState:         EventState,
	gossip.NoticeSuspected:     EventSuspected,
	gossip.NoticeDeclared:      EventDeclared,
	gossip.NoticeReturned:      EventReturned,
	gossip.NoticeRefuted:       EventRefuted,
	gossip.NoticeRetained:      EventRetained,
	gossip.NoticeRetainedEnd:   EventRetainedEnd,
	gossip.NoticeTableReceived: EventTableReceived,
}

// logMessages are the log messages of events.
var logMessages = map[event.Kind]string{
	EventJoined:        "Member joined.",
	EventState:         "Member changed state.",
	EventSuspected:     "Member suspected.",
	EventDeclared:      "Member declared gone.",
	EventReturned:      "Member returned.",
	EventRefuted:       "Suspicion or declaration against this process refuted.",
	EventRetained:      "Unreachable members retained by the panic threshold.",
	EventRetainedEnd:   "Panic threshold no longer retains unreachable members.",
	EventTableReceived: "Membership table received from a peer.",
	EventSeedsRead:     "Seeds read from the store.",
	EventSeedTaken:     "Seed lease taken.",
	EventSeedLost:      "Seed lease lost.",
	EventAdopted:       "Configuration adopted.",
	EventServing:       "Configuration in force.",
	EventRefused:       "Configuration refused.",
	EventUnconfigured:  "Service is not configured.",
}

// recordEvent adds an event to the timeline and logs it.
func (n *Node) recordEvent(kind event.Kind, detail string) {
	if n.options.Events != nil {
		n.options.Events.Add(Part, kind, detail)
	}
	n.logger.Info(logMessages[kind], slog.String("detail", detail))
}

// recordNotice records a notice of the engine as an event.
func (n *Node) recordNotice(a gossip.Notice) {
	switch a.Kind {
	case gossip.NoticeRetained, gossip.NoticeRetainedEnd, gossip.NoticeTableReceived:
		n.recordEvent(noticeKinds[a.Kind], fmt.Sprintf("%d members", a.Count))
		return
	}
	n.recordEvent(noticeKinds[a.Kind], describe(a.Member))
}

func describe(m member.Member) string {
	role := "balancer"
	if m.Role == member.RoleAgent {
		role = "agent of " + m.Service
	}
	return fmt.Sprintf("%s %s, incarnation %d, version %d, state %s", role, m.Control, m.Incarnation, m.Version, m.State)
}
