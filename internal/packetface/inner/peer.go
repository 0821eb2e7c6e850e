package inner

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/store"
)

// Datagrams with which balancers share watches of the platform's store: some balancers
// watch the store, and others subscribe to a balancer that has the store's changes
// (package watchshare). Subscriptions form trees. The root of a tree watches the store,
// and the source of any other balancer is the one that it subscribes to.

// StoreUpdate is a store update: the state of the store as a balancer knows it.
type StoreUpdate struct {
	// AcceptsListeners reports that the sender accepts subscribers: it watches the store, or
	// subscribes to a balancer that has the store's changes.
	AcceptsListeners bool
	// Redirects reports that Source is one of the sender's subscribers, named because the
	// sender can accept no more.
	Redirects bool
	// Depth is the number of levels between the sender and the balancer that watches the
	// store, 0 for that balancer itself.
	Depth uint8
	// Balancers is the number of balancers in the fleet as far as the sender knows.
	Balancers uint16
	// AsOf is the store position up to which the sender has every change.
	AsOf store.Position
	// Age is the time since the store last answered the root of the sender's tree, in
	// steps of 1 ms up to 65 s.
	Age time.Duration
	// Source is the host of the sender's own source, or of one of its subscribers if
	// Below is set; invalid for none.
	Source netip.Addr
	// OtherListener is the host of another subscriber of the sender, invalid for none. The
	// receiver can ask it for a new source if the sender fails.
	OtherListener netip.Addr
}

// WatchRequest asks a balancer for its current store update and subscribes to later ones.
type WatchRequest struct {
	// Redirected reports that the receiver's source named the receiver. The receiver then
	// accepts the subscriber or names one of its own subscribers, never its source.
	Redirected bool
	// Root reports that the sender watches the store and has subscribers.
	Root bool
}

const (
	updateSize    = 3 + 8 + 2 + 4 + 4 + 2
	subscribeSize = 2
)

// Bits of the flag byte of KindNews.
const (
	updateAccepts = 1 << iota
	updateRedirects
)

// Bits of the flag byte of KindFollow.
const (
	subscribeRedirected = 1 << iota
	subscribeRoot
)

// AppendWatchRequest appends a datagram of KindFollow.
func AppendWatchRequest(b []byte, f WatchRequest) []byte {
	return append(b, byte(KindWatchRequest), flag(f.Redirected, subscribeRedirected)|flag(f.Root, subscribeRoot))
}

// ParseWatchRequest decodes a datagram of KindFollow.
func ParseWatchRequest(b []byte) (WatchRequest, error) {
	if len(b) != subscribeSize || KindOf(b) != KindWatchRequest {
		return WatchRequest{}, ErrDatagram
	}
	return WatchRequest{Redirected: b[1]&subscribeRedirected != 0, Root: b[1]&subscribeRoot != 0}, nil
}

// flag returns the bit if set is true, otherwise 0.
func flag(set bool, bit byte) byte {
	if set {
		return bit
	}
	return 0
}

// AppendStoreUpdate appends a datagram of KindNews.
func AppendStoreUpdate(b []byte, n *StoreUpdate) []byte {
	b = append(b, byte(KindStoreUpdate), flag(n.AcceptsListeners, updateAccepts)|flag(n.Redirects, updateRedirects), n.Depth)
	b = appendPosition(b, n.AsOf)
	b = appendMillis(b, n.Age)
	b = appendHost(b, n.Source)
	b = appendHost(b, n.OtherListener)
	return binary.BigEndian.AppendUint16(b, n.Balancers)
}

// ParseStoreUpdate decodes a datagram of KindNews.
func ParseStoreUpdate(b []byte) (StoreUpdate, error) {
	if len(b) != updateSize || KindOf(b) != KindStoreUpdate {
		return StoreUpdate{}, ErrDatagram
	}
	n := StoreUpdate{
		AcceptsListeners: b[1]&updateAccepts != 0,
		Redirects:        b[1]&updateRedirects != 0,
		Depth:            b[2],
		AsOf:             parsePosition(b[3:]),
		Age:              parseMillis(b[11:]),
		Source:           parseHost(b[13:]),
		OtherListener:    parseHost(b[17:]),
		Balancers:        binary.BigEndian.Uint16(b[21:]),
	}
	return n, nil
}

// appendHost appends an IPv4 address, zeros if the address is invalid.
func appendHost(b []byte, host netip.Addr) []byte {
	var bytes [4]byte
	if host.Is4() {
		bytes = host.As4()
	}
	return append(b, bytes[:]...)
}

func parseHost(b []byte) netip.Addr {
	if host := [4]byte(b); host != ([4]byte{}) {
		return netip.AddrFrom4(host)
	}
	return netip.Addr{}
}
