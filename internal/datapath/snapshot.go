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

// Snapshot is what the filters act on at one moment. It is immutable once it
// was published.
type Snapshot struct {
	// Revision is the configuration's revision, told to the agents.
	Revision uint64
	Keys     *Keys
	// Faces holds the open faces by their public address.
	Faces map[netip.AddrPort]*Face
	// Gone holds the agents that are gone, by data address.
	Gone map[netip.AddrPort]*Gone
}

// Face is one public address of a service as a balancer serves it.
type Face struct {
	Socket  *Socket
	Service config.Tag
	// Former are services that had the face before: their open flows go on,
	// new flows are Service's.
	Former []config.Tag
	// Agents may get the face's new flows.
	Agents *placement.Set
	// Draining is set once the configuration has dropped the face: open flows
	// go on, new ones are refused.
	Draining bool
}

// carries reports whether flows of the service may use the face.
func (f *Face) carries(service config.Tag) bool {
	return f.Service == service || slices.Contains(f.Former, service)
}

// Keys are the codecs of the current secrets. Each goroutine clones them once
// for each new value.
type Keys struct {
	Tokens  *token.Codec
	Headers *encap.Codec
	Resets  *reset.Keys
}

// NewKeys derives the codecs from the ring.
func NewKeys(ring *keyring.Ring) *Keys {
	return &Keys{Tokens: token.NewCodec(ring), Headers: encap.NewCodec(ring), Resets: reset.NewKeys(ring)}
}

// clone returns codecs for one goroutine.
func (k *Keys) clone() Keys {
	return Keys{Tokens: k.Tokens.Clone(), Headers: k.Headers.Clone(), Resets: k.Resets}
}

// view is the snapshot that one goroutine acts on, with its own copy of the
// keys.
type view struct {
	snapshot *Snapshot
	keys     Keys
}

// use makes s the snapshot of the view. It reports whether it is another one.
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
