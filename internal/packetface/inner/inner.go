// Package inner holds the datagrams that balancers and agents of the packet
// face send each other. It is pure. All numbers are big-endian; a datagram
// begins with its kind and, where a packet travels in it, ends with that.
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

// Kind is the first byte of a datagram.
type Kind uint8

// Kinds of datagrams; their sizes are given without the packet.
const (
	// KindOpen carries a packet that opens a flow to an agent (42 bytes).
	KindOpen Kind = iota + 1
	// KindForward carries another packet of a flow to an agent (5 bytes).
	KindForward
	// KindAsk asks an agent whether its upstream holds some flows (13 bytes and 16
	// bytes a flow).
	KindAsk
	// KindPoll asks an agent for its status (39 bytes).
	KindPoll
	// KindStatus tells a balancer how an agent and its upstream are (58 bytes).
	KindStatus
	// KindReturned gives a packet back to the balancer that sent it (12 bytes).
	KindReturned
	// KindAnswer answers KindAsk (9 bytes and 13 bytes a flow).
	KindAnswer
	// KindFollow asks a balancer for news of the store, now and when there are any
	// (2 bytes), KindNews brings them (23 bytes).
	KindFollow
	KindNews
	// KindCheck asks a balancer, by a poll, whether the store lists the agent (1 byte).
	KindCheck
)

// Flags modify what a balancer asks of an agent.
type Flags uint8

// The bits of Flags.
const (
	// FlagStatus asks for a status in return.
	FlagStatus Flags = 1 << iota
	// FlagMust tells that no other agent is left to take the packet.
	FlagMust
	// FlagProbe asks to hand the packet to the upstream although the agent does
	// not know the flow, as only the upstream can tell.
	FlagProbe
	// FlagUnlisted tells the agent that the store no longer lists it.
	FlagUnlisted
	// FlagRepeated tells that the flow's caller may have begun another one for the
	// same request before.
	FlagRepeated
)

// Open is the head of a packet that opens a flow.
type Open struct {
	Flags Flags
	// Hops counts the agents that have returned the packet before.
	Hops uint8
	// Service is the ServiceID that the packet is meant for.
	Service uint64
	// Slots is the number of the upstream's slots as it was last known, 0 for not:
	// an agent that has just started learns it before the first heartbeat.
	Slots uint16
	// Known is what the balancer decided by.
	Known Known
	// Evacuation is what the balancer knows of the agent's data centre.
	Evacuation evacuation.Word
	// Cold is what is known of the service's upstreams while they are cold.
	Cold Cold
}

// Cold is what a balancer knows of how upstreams of a service warm up.
type Cold struct {
	// Rate is how many flows a second a cold one bears, 0 for no bound.
	Rate uint16
	// Warmup is how long one is cold after its start, in steps of 1 ms up to 65 s; 0
	// where that is not known.
	Warmup time.Duration
}

// Poll asks for a status.
type Poll struct {
	Flags Flags
	// Service is the ServiceID that the balancer knows the agent by.
	Service uint64
	// Known, Evacuation and Cold are the same as in Open.
	Known      Known
	Evacuation evacuation.Word
	Cold       Cold
}

// Known tells how new the beliefs of a process are. Agents pass on the newest
// that they hear of, so that a balancer learns that it has fallen behind.
type Known struct {
	// Version is that of the configuration.
	Version uint64
	// Listing is the store's position of the newest entry of an agent.
	Listing store.Position
}

// Max returns the newer of both in each part.
func (k Known) Max(o Known) Known {
	return Known{Version: max(k.Version, o.Version), Listing: max(k.Listing, o.Listing)}
}

// Status is how an agent and its upstream are.
type Status struct {
	State State
	// Incarnation is that of the agent's process.
	Incarnation uint64
	// Known is the newest that the agent has heard of.
	Known Known
	// Running counts the requests that the upstream works on, and those that wait
	// at the agent.
	Running uint16
	// Slots is the number of requests that the upstream works on at once.
	Slots uint16
	// Flows counts the open flows.
	Flows uint32
	// StateFor is how long the state has lasted, in steps of 1 ms up to 49 days.
	StateFor time.Duration
	// Source is the host of a balancer that knows what Known tells, zero for none.
	Source [4]byte
	// Balancers counts the balancers that have lately sent anything.
	Balancers uint16
	// Cold tells that the upstream has only just started.
	Cold bool
	// Evacuation is the newest that the agent has heard of its data centre.
	Evacuation evacuation.Word
	// Answer is the time from a request to its answer lately, in steps of 1 ms up to 65 s;
	// 0 where there was none.
	Answer time.Duration
	// Warmup is how long upstreams of the service are cold after their start as far as the
	// agent can tell, in steps of 1 ms up to 65 s; 0 where it can't.
	Warmup time.Duration
	// Whole tells that the agent knows all flows of its upstream.
	Whole bool
}

// ErrDatagram says that a datagram could not be read.
var ErrDatagram = errors.New("inner: unreadable datagram")

// Sizes of the fixed parts in bytes.
const (
	openSize     = 3 + 8 + 2 + knownSize + wordSize + coldSize
	knownSize    = 8 + 8
	wordSize     = 1 + 8
	coldSize     = 2 + 2
	askHead      = 1 + 8 + coldSize
	forwardSize  = 5
	flowSize     = 4 + 4 + 2 + 2
	questionSize = flowSize + 4
	verdictSize  = 1 + flowSize
	answerHead   = 1 + 8
	pollSize     = 2 + 8 + knownSize + wordSize + coldSize
	statusSize   = 2 + 8 + knownSize + 2 + 2 + 4 + 4 + 2 + 1 + 4 + wordSize + 2 + 2
	returnedSize = 2 + 8 + 2

	// MaxBusyHops is how many agents may give an opening packet back as all slots
	// are taken: 3 gave shorter waits than 1 or 2 in steer's BenchmarkChoices.
	MaxBusyHops = 3

	// MaxQuestions is the most flows that one datagram asks for.
	MaxQuestions = 70

	// MaxSize is the size of the largest datagram.
	MaxSize = openSize + platform.MaxPacketSize
)

// ServiceID returns the id of a service in datagrams.
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
	b = appendKnown(b, o.Known)
	b = appendWord(b, o.Evacuation)
	b = appendCold(b, o.Cold)
	return append(b, packet...)
}

// ParseOpen reads a datagram of KindOpen; the packet aliases b.
func ParseOpen(b []byte) (o Open, packet []byte, err error) {
	if len(b) < openSize || KindOf(b) != KindOpen {
		return Open{}, nil, ErrDatagram
	}
	o = Open{
		Flags: Flags(b[1]), Hops: b[2],
		Service: binary.BigEndian.Uint64(b[3:]), Slots: binary.BigEndian.Uint16(b[11:]), Known: parseKnown(b[13:]),
		Evacuation: parseWord(b[13+knownSize:]),
		Cold:       parseCold(b[13+knownSize+wordSize:]),
	}
	return o, b[openSize:], nil
}

// AppendPoll appends a datagram of KindPoll.
func AppendPoll(b []byte, p Poll) []byte {
	b = binary.BigEndian.AppendUint64(append(b, byte(KindPoll), byte(p.Flags)), p.Service)
	b = appendKnown(b, p.Known)
	b = appendWord(b, p.Evacuation)
	return appendCold(b, p.Cold)
}

// ParsePoll reads a datagram of KindPoll.
func ParsePoll(b []byte) (Poll, error) {
	if len(b) != pollSize || KindOf(b) != KindPoll {
		return Poll{}, ErrDatagram
	}
	return Poll{
		Flags: Flags(b[1]), Service: binary.BigEndian.Uint64(b[2:]), Known: parseKnown(b[10:]),
		Evacuation: parseWord(b[10+knownSize:]), Cold: parseCold(b[10+knownSize+wordSize:]),
	}, nil
}

// AppendCheck appends a datagram of KindCheck.
func AppendCheck(b []byte) []byte { return append(b, byte(KindCheck)) }

// AppendStatus appends a datagram of KindStatus.
func AppendStatus(b []byte, s Status) []byte {
	b = append(b, byte(KindStatus), byte(s.State))
	b = binary.BigEndian.AppendUint64(b, s.Incarnation)
	b = appendKnown(b, s.Known)
	b = binary.BigEndian.AppendUint16(b, s.Running)
	b = binary.BigEndian.AppendUint16(b, s.Slots)
	b = binary.BigEndian.AppendUint32(b, s.Flows)
	b = binary.BigEndian.AppendUint32(b, uint32(s.StateFor/time.Millisecond))
	b = binary.BigEndian.AppendUint16(b, s.Balancers)
	b = append(b, flag(s.Cold, statusCold)|flag(s.Whole, statusWhole))
	b = append(b, s.Source[:]...)
	b = appendWord(b, s.Evacuation)
	b = appendMillis(b, s.Answer)
	return appendMillis(b, s.Warmup)
}

// Bits of a status.
const (
	statusCold = 1 << iota
	statusWhole
)

// ParseStatus reads a datagram of KindStatus.
func ParseStatus(b []byte) (Status, error) {
	if len(b) != statusSize || KindOf(b) != KindStatus {
		return Status{}, ErrDatagram
	}
	return Status{
		State:       State(b[1]),
		Incarnation: binary.BigEndian.Uint64(b[2:]),
		Known:       parseKnown(b[10:]),
		Running:     binary.BigEndian.Uint16(b[26:]),
		Slots:       binary.BigEndian.Uint16(b[28:]),
		Flows:       binary.BigEndian.Uint32(b[30:]),
		StateFor:    time.Duration(binary.BigEndian.Uint32(b[34:])) * time.Millisecond,
		Balancers:   binary.BigEndian.Uint16(b[38:]),
		Cold:        b[40]&statusCold != 0,
		Whole:       b[40]&statusWhole != 0,
		Source:      [4]byte(b[41:]),
		Evacuation:  parseWord(b[45:]),
		Answer:      parseMillis(b[45+wordSize:]),
		Warmup:      parseMillis(b[47+wordSize:]),
	}, nil
}

// Returned is the head of a packet that goes back to the balancer that sent it.
type Returned struct {
	Reason Reason
	// Listing is the newest that the agent has heard of: a balancer that knows an
	// older one may lack the agent that holds the flow.
	Listing store.Position
	// Running is the same as in Status, at the time of the return.
	Running uint16
}

// AppendReturned appends a datagram of KindReturned.
func AppendReturned(b []byte, head Returned, packet []byte) []byte {
	b = append(b, byte(KindReturned), byte(head.Reason))
	b = appendPosition(b, head.Listing)
	b = binary.BigEndian.AppendUint16(b, head.Running)
	return append(b, packet...)
}

// ParseReturned reads a datagram of KindReturned; the packet aliases b.
func ParseReturned(b []byte) (head Returned, packet []byte, err error) {
	if len(b) < returnedSize || KindOf(b) != KindReturned {
		return Returned{}, nil, ErrDatagram
	}
	head = Returned{Reason: Reason(b[1]), Listing: parsePosition(b[2:]), Running: binary.BigEndian.Uint16(b[10:])}
	return head, b[returnedSize:], nil
}

// appendPosition appends a position of the store, which takes the bytes of a revision.
func appendPosition(b []byte, p store.Position) []byte {
	return binary.BigEndian.AppendUint64(b, uint64(p))
}

func parsePosition(b []byte) store.Position { return store.Position(binary.BigEndian.Uint64(b)) }

func appendKnown(b []byte, k Known) []byte {
	b = binary.BigEndian.AppendUint64(b, k.Version)
	return appendPosition(b, k.Listing)
}

func parseKnown(b []byte) Known {
	return Known{Version: binary.BigEndian.Uint64(b), Listing: parsePosition(b[8:])}
}

func appendCold(b []byte, c Cold) []byte {
	b = binary.BigEndian.AppendUint16(b, c.Rate)
	return appendMillis(b, c.Warmup)
}

// appendMillis appends a time in steps of 1 ms up to 65 s.
func appendMillis(b []byte, d time.Duration) []byte {
	return binary.BigEndian.AppendUint16(b, uint16(min(max(d/time.Millisecond, 0), math.MaxUint16)))
}

func parseMillis(b []byte) time.Duration {
	return time.Duration(binary.BigEndian.Uint16(b)) * time.Millisecond
}

func parseCold(b []byte) Cold {
	return Cold{Rate: binary.BigEndian.Uint16(b), Warmup: parseMillis(b[2:])}
}

func appendWord(b []byte, w evacuation.Word) []byte {
	evacuated := byte(0)
	if w.Evacuated {
		evacuated = 1
	}
	return appendPosition(append(b, evacuated), w.AsOf)
}

func parseWord(b []byte) evacuation.Word {
	return evacuation.Word{Evacuated: b[0] != 0, AsOf: parsePosition(b[1:])}
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
