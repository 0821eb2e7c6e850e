// Package inner defines the datagrams that the balancers and agents of the packet face
// exchange. It only encodes and decodes; it does no I/O. All numbers are big-endian. A
// datagram begins with its kind and ends with the encapsulated packet, if it carries one.
// Store positions, which have an era and a revision, order the changes of the platform's
// store.
package inner

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/packetface/evacuation"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

// Kind is the type of a datagram, its first byte.
type Kind uint8

// Kinds of datagrams. The sizes in parentheses don't include the encapsulated packet.
const (
	// KindOpen carries a packet that opens a flow to an agent (42 bytes, 46 with terms).
	KindOpen Kind = iota + 1
	// KindForward carries any other packet of a flow to an agent (5 bytes).
	KindForward
	// KindAsk asks an agent whether its upstream holds some flows (13 bytes and 16 bytes
	// a flow).
	KindAsk
	// KindPoll requests the status of an agent (39 bytes).
	KindPoll
	// KindStatus reports the status of an agent and its upstream to a balancer (58 bytes,
	// 71 with the load).
	KindStatus
	// KindReturned returns a packet to the balancer that sent it (12 bytes).
	KindReturned
	// KindAnswer is the response to KindAsk (9 bytes and 13 bytes a flow).
	KindAnswer
	// KindWatchRequest asks a balancer for its current store update and registers the
	// sender as its listener (2 bytes).
	KindWatchRequest
	// KindStoreUpdate carries a store update, the state of the store as the sending
	// balancer knows it (23 bytes).
	KindStoreUpdate
	// KindCheck is sent by an agent to ask a balancer whether the store lists the agent;
	// the balancer answers with a poll (1 byte).
	KindCheck
)

// Flags are options of the datagrams from a balancer to an agent.
type Flags uint8

// The bits of Flags.
const (
	// FlagStatus requests a status in return.
	FlagStatus Flags = 1 << iota
	// FlagLastChoice reports that no other agent is left to accept the packet.
	FlagLastChoice
	// FlagProbe requests that the packet be passed to the upstream although the agent
	// does not know the flow, as only the upstream can tell whether it holds it.
	FlagProbe
	// FlagUnlisted informs the agent that its entry in the store is missing or damaged.
	FlagUnlisted
	// FlagMayBeRetry reports that the caller may have opened an earlier flow for the same
	// request.
	FlagMayBeRetry
	// FlagTerms reports that the header of KindOpen is followed by the route's terms. It
	// is set only towards agents whose status has AcceptsTerms.
	FlagTerms
	// FlagLoad reports that the balancer accepts a Load at the end of a status.
	FlagLoad
)

// Open is the header of a datagram with a packet that opens a flow.
type Open struct {
	Flags Flags
	// Hops is the number of agents that have already returned the packet.
	Hops uint8
	// Service is the ServiceID of the service that the packet is for.
	Service uint64
	// Slots is the last known number of the upstream's slots, 0 if unknown. An agent that
	// has just started uses it until the upstream's first heartbeat.
	Slots uint16
	// Versions holds the versions that the balancer's decision is based on.
	Versions Versions
	// Evacuation is the balancer's information on whether the agent's data centre is
	// evacuated.
	Evacuation evacuation.State
	// Cold describes how the service's upstreams warm up.
	Cold Cold
	// Terms are the terms of the packet's route and Epoch the balancer's epoch of ranks
	// (package admission). Both are sent only with FlagTerms.
	Terms Terms
	Epoch uint8
}

// Cold is a balancer's information on how the upstreams of a service warm up.
type Cold struct {
	// Rate is the number of flows a second that a cold upstream can handle, 0 for no
	// limit.
	Rate uint16
	// Warmup is how long an upstream is cold after its start, in steps of 1 ms up to 65
	// s; 0 if unknown.
	Warmup time.Duration
}

// Poll is a request for an agent's status.
type Poll struct {
	Flags Flags
	// Service is the ServiceID under which the balancer lists the agent, 0 if the balancer
	// does not list the agent.
	Service uint64
	// Versions, Evacuation and Cold have the same meaning as in Open.
	Versions   Versions
	Evacuation evacuation.State
	Cold       Cold
}

// Versions holds the versions of the configuration and of the agent list that a process
// has. Agents forward the highest versions that they receive, so that a balancer detects
// that its own configuration or agent list is outdated.
type Versions struct {
	// Version is the version of the configuration.
	Version uint64
	// Listing is the store position of the latest change to an agent's entry.
	Listing store.Position
}

// Max returns the higher of both versions in each field.
func (v Versions) Max(o Versions) Versions {
	return Versions{Version: max(v.Version, o.Version), Listing: max(v.Listing, o.Listing)}
}

// Status is the status of an agent and its upstream.
type Status struct {
	State State
	// Incarnation is a random number that identifies the run of the agent's process.
	Incarnation uint64
	// Versions holds the highest versions that the agent has received.
	Versions Versions
	// Running is the number of requests that the upstream is processing plus those that
	// wait at the agent.
	Running uint16
	// Slots is the number of requests that the upstream processes concurrently.
	Slots uint16
	// Flows is the number of open flows.
	Flows uint32
	// StateFor is the time since the last change of State, in steps of 1 ms up to 49
	// days.
	StateFor time.Duration
	// Source is the host of the balancer that last reported to the agent the highest
	// versions or a change of the evacuation, zero for none.
	Source [4]byte
	// Balancers is the number of balancers from which the agent recently received
	// datagrams.
	Balancers uint16
	// Cold reports that the upstream has just started and is still slow.
	Cold bool
	// Evacuation is the latest information that the agent has on whether its data centre
	// is evacuated.
	Evacuation evacuation.State
	// ResponseTime is the recent time from a request to its response, in steps of 1 ms up
	// to 65 s; 0 if there was no recent response.
	ResponseTime time.Duration
	// Warmup is how long upstreams of the service are cold after their start, as reported
	// to or estimated by the agent, in steps of 1 ms up to 65 s; 0 if unknown.
	Warmup time.Duration
	// KnowsAllFlows reports that the agent knows all flows of its upstream.
	KnowsAllFlows bool
	// AcceptsTerms reports that the agent decodes FlagTerms.
	AcceptsTerms bool
	// Stopping reports that the agent's process is shutting down, whatever the State.
	Stopping bool
	// Load is the room that the upstream has, valid if HasLoad is set: it is sent only to
	// balancers that set FlagLoad.
	Load    Load
	HasLoad bool
}

// ErrDatagram is returned for a datagram that can't be decoded.
var ErrDatagram = errors.New("inner: malformed datagram")

// Sizes of the fixed parts of datagrams in bytes.
const (
	openSize       = 3 + 8 + 2 + versionsSize + evacuationSize + coldSize
	versionsSize   = 8 + 8
	evacuationSize = 1 + 8
	coldSize       = 2 + 2
	askHead        = 1 + 8 + coldSize
	forwardSize    = 5
	flowSize       = 4 + 4 + 2 + 2
	questionSize   = flowSize + 4
	verdictSize    = 1 + flowSize
	answerHead     = 1 + 8
	pollSize       = 2 + 8 + versionsSize + evacuationSize + coldSize
	statusSize     = 2 + 8 + versionsSize + 2 + 2 + 4 + 4 + 2 + 1 + 4 + evacuationSize + 2 + 2
	returnedSize   = 2 + 8 + 2

	// MaxBusyHops is the number of agents that may return an opening packet because all
	// their slots are in use. A limit of 3 gave shorter waits than 1 or 2 in steer's
	// BenchmarkChoices.
	MaxBusyHops = 3

	// MaxQuestions is the maximum number of flows in one datagram of KindAsk.
	MaxQuestions = 70

	// MaxSize is the size of the largest datagram.
	MaxSize = openSize + termsSize + 1 + platform.MaxPacketSize
)

// ServiceID returns the ID that stands for a service in datagrams.
func ServiceID(name string) uint64 { return xxhash.Sum64String(name) }

// KindOf returns the kind of a datagram, 0 for an empty one.
func KindOf(b []byte) Kind {
	if len(b) == 0 {
		return 0
	}
	return Kind(b[0])
}

// AppendOpen appends a datagram of KindOpen.
func AppendOpen(b []byte, o Open, packet []byte) []byte {
	b = append(b, byte(KindOpen), byte(o.Flags), o.Hops)
	b = binary.BigEndian.AppendUint64(b, o.Service)
	b = binary.BigEndian.AppendUint16(b, o.Slots)
	b = appendVersions(b, o.Versions)
	b = appendEvacuation(b, o.Evacuation)
	b = appendCold(b, o.Cold)
	if o.Flags&FlagTerms != 0 {
		b = append(appendTerms(b, o.Terms), o.Epoch)
	}
	return append(b, packet...)
}

// ParseOpen decodes a datagram of KindOpen. The returned packet is a slice of b.
func ParseOpen(b []byte) (o Open, packet []byte, err error) {
	if len(b) < openSize || KindOf(b) != KindOpen {
		return Open{}, nil, ErrDatagram
	}
	o = Open{
		Flags: Flags(b[1]), Hops: b[2],
		Service: binary.BigEndian.Uint64(b[3:]), Slots: binary.BigEndian.Uint16(b[11:]), Versions: parseVersions(b[13:]),
		Evacuation: parseEvacuation(b[13+versionsSize:]),
		Cold:       parseCold(b[13+versionsSize+evacuationSize:]),
	}
	if o.Flags&FlagTerms == 0 {
		return o, b[openSize:], nil
	}
	if len(b) < openSize+termsSize+1 {
		return Open{}, nil, ErrDatagram
	}
	o.Terms, o.Epoch = parseTerms(b[openSize:]), b[openSize+termsSize]
	return o, b[openSize+termsSize+1:], nil
}

// AppendPoll appends a datagram of KindPoll.
func AppendPoll(b []byte, p Poll) []byte {
	b = binary.BigEndian.AppendUint64(append(b, byte(KindPoll), byte(p.Flags)), p.Service)
	b = appendVersions(b, p.Versions)
	b = appendEvacuation(b, p.Evacuation)
	return appendCold(b, p.Cold)
}

// ParsePoll decodes a datagram of KindPoll.
func ParsePoll(b []byte) (Poll, error) {
	if len(b) != pollSize || KindOf(b) != KindPoll {
		return Poll{}, ErrDatagram
	}
	return Poll{
		Flags: Flags(b[1]), Service: binary.BigEndian.Uint64(b[2:]), Versions: parseVersions(b[10:]),
		Evacuation: parseEvacuation(b[10+versionsSize:]), Cold: parseCold(b[10+versionsSize+evacuationSize:]),
	}, nil
}

// AppendCheck appends a datagram of KindCheck.
func AppendCheck(b []byte) []byte { return append(b, byte(KindCheck)) }

// AppendStatus appends a datagram of KindStatus.
func AppendStatus(b []byte, s Status) []byte {
	b = append(b, byte(KindStatus), byte(s.State))
	b = binary.BigEndian.AppendUint64(b, s.Incarnation)
	b = appendVersions(b, s.Versions)
	b = binary.BigEndian.AppendUint16(b, s.Running)
	b = binary.BigEndian.AppendUint16(b, s.Slots)
	b = binary.BigEndian.AppendUint32(b, s.Flows)
	b = binary.BigEndian.AppendUint32(b, uint32(s.StateFor/time.Millisecond))
	b = binary.BigEndian.AppendUint16(b, s.Balancers)
	b = append(b, flag(s.Cold, statusCold)|flag(s.KnowsAllFlows, statusAllFlows)|flag(s.AcceptsTerms, statusTerms)|flag(s.Stopping, statusStopping))
	b = append(b, s.Source[:]...)
	b = appendEvacuation(b, s.Evacuation)
	b = appendMillis(b, s.ResponseTime)
	b = appendMillis(b, s.Warmup)
	if s.HasLoad {
		b = appendLoad(b, s.Load)
	}
	return b
}

// Bits of the flag byte of KindStatus.
const (
	statusCold = 1 << iota
	statusAllFlows
	statusTerms
	statusStopping
)

// ParseStatus decodes a datagram of KindStatus.
func ParseStatus(b []byte) (Status, error) {
	if len(b) != statusSize && len(b) != statusSize+loadSize || KindOf(b) != KindStatus {
		return Status{}, ErrDatagram
	}
	s := Status{
		State:         State(b[1]),
		Incarnation:   binary.BigEndian.Uint64(b[2:]),
		Versions:      parseVersions(b[10:]),
		Running:       binary.BigEndian.Uint16(b[26:]),
		Slots:         binary.BigEndian.Uint16(b[28:]),
		Flows:         binary.BigEndian.Uint32(b[30:]),
		StateFor:      time.Duration(binary.BigEndian.Uint32(b[34:])) * time.Millisecond,
		Balancers:     binary.BigEndian.Uint16(b[38:]),
		Cold:          b[40]&statusCold != 0,
		KnowsAllFlows: b[40]&statusAllFlows != 0,
		AcceptsTerms:  b[40]&statusTerms != 0,
		Stopping:      b[40]&statusStopping != 0,
		Source:        [4]byte(b[41:]),
		Evacuation:    parseEvacuation(b[45:]),
		ResponseTime:  parseMillis(b[45+evacuationSize:]),
		Warmup:        parseMillis(b[47+evacuationSize:]),
	}
	if len(b) > statusSize {
		s.Load, s.HasLoad = parseLoad(b[statusSize:]), true
	}
	return s, nil
}

// Returned is the header of a datagram that returns a packet to the balancer that sent
// it.
type Returned struct {
	Reason Reason
	// Listing is the highest store position that the agent knows. A balancer whose agent
	// list is older may lack the agent that holds the flow.
	Listing store.Position
	// Running is Status.Running at the time of the return.
	Running uint16
}

// AppendReturned appends a datagram of KindReturned.
func AppendReturned(b []byte, head Returned, packet []byte) []byte {
	b = append(b, byte(KindReturned), byte(head.Reason))
	b = appendPosition(b, head.Listing)
	b = binary.BigEndian.AppendUint16(b, head.Running)
	return append(b, packet...)
}

// ParseReturned decodes a datagram of KindReturned. The returned packet is a slice of b.
func ParseReturned(b []byte) (head Returned, packet []byte, err error) {
	if len(b) < returnedSize || KindOf(b) != KindReturned {
		return Returned{}, nil, ErrDatagram
	}
	head = Returned{Reason: Reason(b[1]), Listing: parsePosition(b[2:]), Running: binary.BigEndian.Uint16(b[10:])}
	return head, b[returnedSize:], nil
}

// appendPosition appends a store position, which takes 8 bytes.
func appendPosition(b []byte, p store.Position) []byte {
	return binary.BigEndian.AppendUint64(b, uint64(p))
}

func parsePosition(b []byte) store.Position { return store.Position(binary.BigEndian.Uint64(b)) }

func appendVersions(b []byte, v Versions) []byte {
	b = binary.BigEndian.AppendUint64(b, v.Version)
	return appendPosition(b, v.Listing)
}

func parseVersions(b []byte) Versions {
	return Versions{Version: binary.BigEndian.Uint64(b), Listing: parsePosition(b[8:])}
}

func appendCold(b []byte, c Cold) []byte {
	b = binary.BigEndian.AppendUint16(b, c.Rate)
	return appendMillis(b, c.Warmup)
}

// appendMillis appends a duration in steps of 1 ms up to 65 s.
func appendMillis(b []byte, d time.Duration) []byte {
	return binary.BigEndian.AppendUint16(b, uint16(min(max(d/time.Millisecond, 0), math.MaxUint16)))
}

func parseMillis(b []byte) time.Duration {
	return time.Duration(binary.BigEndian.Uint16(b)) * time.Millisecond
}

func parseCold(b []byte) Cold {
	return Cold{Rate: binary.BigEndian.Uint16(b), Warmup: parseMillis(b[2:])}
}

func appendEvacuation(b []byte, s evacuation.State) []byte {
	evacuated := byte(0)
	if s.Evacuated {
		evacuated = 1
	}
	return appendPosition(append(b, evacuated), s.AsOf)
}

func parseEvacuation(b []byte) evacuation.State {
	return evacuation.State{Evacuated: b[0] != 0, AsOf: parsePosition(b[1:])}
}

func appendFlow(b []byte, f platform.Flow) []byte {
	b = append(b, f.Caller[:]...)
	b = append(b, f.Face[:]...)
	b = binary.BigEndian.AppendUint16(b, f.CallerPort)
	return binary.BigEndian.AppendUint16(b, f.FacePort)
}

func parseFlow(b []byte) platform.Flow {
	return platform.Flow{
		Caller: [4]byte(b), Face: [4]byte(b[4:]),
		CallerPort: binary.BigEndian.Uint16(b[8:]), FacePort: binary.BigEndian.Uint16(b[10:]),
	}
}
