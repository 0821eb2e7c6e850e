package datapath

import (
	"net/netip"
	"slices"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/encap"
	"github.com/saltbend/saltbend/internal/keyring"
	"github.com/saltbend/saltbend/internal/placement"
	"github.com/saltbend/saltbend/internal/reset"
	"github.com/saltbend/saltbend/internal/token"
)

// Snapshot holds the configuration, keys and agents that the filters use. It must
// not be changed after it was published.
type Snapshot struct {
	// Revision is the revision of the configuration; headers to agents carry it.
	Revision uint64
	Keys     *Keys
	// Faces holds the open faces by their public address.
	Faces map[netip.AddrPort]*Face
	// GoneAddresses holds the data addresses whose agents are gone.
	GoneAddresses map[netip.AddrPort]*GoneAddress
}

// Face is one public address of a service, with the socket and the agents that
// this balancer uses for it.
type Face struct {
	Socket  *Socket
	Service config.Tag
	// FormerServices are the services that had the face previously: their open flows
	// are still forwarded, but new flows go to Service.
	FormerServices []config.Tag
	// Agents are the candidates for the face's new flows.
	Agents *placement.Set
	// Draining is set after the face was removed from the configuration: datagrams
	// of open flows are still forwarded, new flows are dropped.
	Draining bool
}

// accepts reports whether flows of the service may use the face.
func (f *Face) accepts(service config.Tag) bool {
	return f.Service == service || slices.Contains(f.FormerServices, service)
}

// Keys holds the codecs derived from the current secrets. A codec is not safe for
// concurrent use, so each goroutine clones each new value once.
type Keys struct {
	Tokens  *token.Codec
	Headers *encap.Codec
	Resets  *reset.Keys
}

// NewKeys derives the codecs from the ring.
func NewKeys(ring *keyring.Ring) *Keys {
	return &Keys{Tokens: token.NewCodec(ring), Headers: encap.NewCodec(ring), Resets: reset.NewKeys(ring)}
}

// clone returns codecs for use by one goroutine.
func (k *Keys) clone() Keys {
	return Keys{Tokens: k.Tokens.Clone(), Headers: k.Headers.Clone(), Resets: k.Resets}
}

// view is the snapshot that one goroutine uses, with its own clone of the codecs.
type view struct {
	snapshot *Snapshot
	keys     Keys
}

// use makes s the snapshot of the view and reports whether the view changed.
func (v *view) use(s *Snapshot) bool {
	if v.snapshot == s {
		return false
	}
	if v.snapshot == nil || v.snapshot.Keys != s.Keys {
		v.keys = s.Keys.clone()
	}
	v.snapshot = s
	return true
}
