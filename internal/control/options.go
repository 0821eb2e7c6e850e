package control

import (
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/adopt"
	"github.com/saltbend/saltbend/internal/event"
	"github.com/saltbend/saltbend/internal/gossip"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/peer"
	"github.com/saltbend/saltbend/internal/record"
	"github.com/saltbend/saltbend/internal/seed"
	"github.com/saltbend/saltbend/internal/store"
)

// Part is the name of this package in logs and events.
const Part = "control"

// Peer transports net/rpc calls between processes.
type Peer interface {
	peer.Caller
	peer.Registry
}

// Decode extracts the text of the configuration from a stored value.
type Decode func(value []byte) (text []byte, err error)

// Options are the parameters of Start.
type Options struct {
	// Self is the process's own record. If its incarnation is 0, the current time
	// is used; if its state is 0, member.StateStarting.
	Self member.Member
	// Peer carries calls to and from other processes.
	Peer Peer
	// Store is the platform's key-value service; nil means none.
	Store store.Store
	// Join are the control addresses at which the process joins the fleet.
	Join []netip.AddrPort
	// Decode extracts the configuration from stored values; nil means the
	// product's format.
	Decode Decode
	// Events receives the timeline's events; nil means that none are recorded.
	Events *event.Ring
	// Logger is the process's logger; nil means the default one.
	Logger *slog.Logger
	// Timing holds the protocol's periods; the zero value means the defaults.
	Timing gossip.Timing
	// SeedLease is the length of a seed's lease; zero means the default.
	SeedLease time.Duration
	// Rules are the parameters of the adoption rules; the zero value means the
	// defaults.
	Rules adopt.Rules
	// Now is the clock; nil means the system clock.
	Now func() time.Time
}

// withDefaults checks the required options and sets defaults for the others.
func (o Options) withDefaults() (Options, error) {
	if o.Peer == nil {
		return o, errors.New("control: option Peer is not set")
	}
	if !o.Self.Control.IsValid() {
		return o, errors.New("control: option Self has no valid control address")
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Self.Incarnation == 0 {
		o.Self.Incarnation = uint64(o.Now().UnixNano())
	}
	if o.Self.State == 0 {
		o.Self.State = member.StateStarting
	}
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	if o.Timing == (gossip.Timing{}) {
		o.Timing = gossip.DefaultTiming()
	}
	if o.SeedLease == 0 {
		o.SeedLease = seed.DefaultLease
	}
	if o.Rules == (adopt.Rules{}) {
		o.Rules = adopt.DefaultRules()
	}
	if o.Decode == nil {
		o.Decode = record.ConfigJSON
	}
	return o, nil
}

// newRand returns a random source for jitter and choices, seeded with the
// process's incarnation and control port.
func newRand(self member.Member) *rand.Rand {
	return rand.New(rand.NewPCG(self.Incarnation, uint64(self.Control.Port())))
}
