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

// Part is the fixed prefix of this package's logs and events.
const Part = "control"

// Peer carries net/rpc between the processes.
type Peer interface {
	peer.Caller
	peer.Registry
}

// Decode returns the text of the configuration in a stored value.
type Decode func(value []byte) (text []byte, err error)

// Options are what a node needs to start.
type Options struct {
	// Self is the process's own record. A zero incarnation is set from the
	// clock, a zero state to starting.
	Self member.Member
	// Peer carries calls to and from other processes.
	Peer Peer
	// Store is the platform's key-value service; nil means none.
	Store store.Store
	// Join are control addresses to learn the fleet from.
	Join []netip.AddrPort
	// Decode reads stored values; nil means the product's format.
	Decode Decode
	// Events takes the time line's events; nil means none.
	Events *event.Ring
	// Logger is the process's logger; nil means the default one.
	Logger *slog.Logger
	// Timing holds periods; the zero value means the defaults.
	Timing gossip.Timing
	// SeedLease is the length of a seed's lease; zero means the default.
	SeedLease time.Duration
	// Rules are those of adoption; the zero value means the defaults.
	Rules adopt.Rules
	// Now is the clock; nil means the system's.
	Now func() time.Time
}

// withDefaults fills in what the caller left out.
func (o Options) withDefaults() (Options, error) {
	if o.Peer == nil {
		return o, errors.New("control: no peer transport is given")
	}
	if !o.Self.Control.IsValid() {
		return o, errors.New("control: the process's own control address is not set")
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
		o.Decode = record.Text
	}
	return o, nil
}

// newRand returns a source of randomness for jitter and choices, seeded by the
// process's identity and start.
func newRand(self member.Member) *rand.Rand {
	return rand.New(rand.NewPCG(self.Incarnation, uint64(self.Control.Port())))
}
