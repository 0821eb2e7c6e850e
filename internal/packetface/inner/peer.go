package inner

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/store"
)

// Datagrams with which balancers share watches of the platform's store: some balancers
// watch the store, and others listen to a balancer that has the store's changes (package
// watchshare). Listeners form trees. The root of a tree watches the store, and the source
// of any other balancer is the one that it listens to.

// StoreUpdate is a store update: the state of the store as a balancer knows it.
type StoreUpdate struct {
	// AcceptsListeners reports that the sender accepts listeners: it watches the store, or
	// listens to a balancer that has the store's changes.
	AcceptsListeners bool
	// Redirects reports that Source is one of the sender's listeners, named because the
	// sender can accept no more listeners.
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
	// Source is the host of the sender's own source, or of one of its listeners if
	// Redirects is set; invalid for none.
	Source netip.Addr
	// OtherListener is the host of another listener of the sender, invalid for none. If the
	// sender fails, the receiver can ask that listener for a new source.
	OtherListener netip.Addr
}

// WatchRequest asks a balancer for its current store update and registers the sender as its
// listener, unless SizeOnly is set.
type WatchRequest struct {
	// Redirected reports that the receiver's source referred the sender to the receiver. The
	// receiver then accepts the sender as a listener or names one of its own listeners,
	// never its source.
	Redirected bool
	// Root reports that the sender watches the store and has listeners.
	Root bool
	// SizeOnly reports that the sender asks only for the size of the fleet. The receiver
	// does not register it as a listener.
	SizeOnly bool
	// LargeFleet reports that the sender knows the fleet to be large enough to share
	// watches.
	LargeFleet bool
}

const (
	storeUpdateSize  = 3 + 8 + 2 + 4 + 4 + 2
	watchRequestSize = 2
)

// Bits of the flag byte of KindStoreUpdate.
const (
	storeUpdateAccepts = 1 << iota
	storeUpdateRedirects
)

// Bits of the flag byte of KindWatchRequest.
const (
	watchRequestRedirected = 1 << iota
	watchRequestRoot
	watchRequestSizeOnly
	watchRequestLargeFleet
)

// AppendWatchRequest appends a datagram of KindWatchRequest.
func AppendWatchRequest(b []byte, r WatchRequest) []byte {
	flags := flag(r.Redirected, watchRequestRedirected) | flag(r.Root, watchRequestRoot) |
		flag(r.SizeOnly, watchRequestSizeOnly) | flag(r.LargeFleet, watchRequestLargeFleet)
	return append(b, byte(KindWatchRequest), flags)
}

// ParseWatchRequest decodes a datagram of KindWatchRequest.
func ParseWatchRequest(b []byte) (WatchRequest, error) {
	if len(b) != watchRequestSize || KindOf(b) != KindWatchRequest {
		return WatchRequest{}, ErrDatagram
	}
	return WatchRequest{
		Redirected: b[1]&watchRequestRedirected != 0, Root: b[1]&watchRequestRoot != 0,
		SizeOnly: b[1]&watchRequestSizeOnly != 0, LargeFleet: b[1]&watchRequestLargeFleet != 0,
	}, nil
}

// flag returns the bit if set is true, otherwise 0.
func flag(set bool, bit byte) byte {
	if set {
		return bit
	}
	return 0
}

// AppendStoreUpdate appends a datagram of KindStoreUpdate.
func AppendStoreUpdate(b []byte, u *StoreUpdate) []byte {
	b = append(b, byte(KindStoreUpdate), flag(u.AcceptsListeners, storeUpdateAccepts)|flag(u.Redirects, storeUpdateRedirects), u.Depth)
	b = appendPosition(b, u.AsOf)
	b = appendMillis(b, u.Age)
	b = appendHost(b, u.Source)
	b = appendHost(b, u.OtherListener)
	return binary.BigEndian.AppendUint16(b, u.Balancers)
}

// ParseStoreUpdate decodes a datagram of KindStoreUpdate.
func ParseStoreUpdate(b []byte) (StoreUpdate, error) {
	if len(b) != storeUpdateSize || KindOf(b) != KindStoreUpdate {
		return StoreUpdate{}, ErrDatagram
	}
	u := StoreUpdate{
		AcceptsListeners: b[1]&storeUpdateAccepts != 0,
		Redirects:        b[1]&storeUpdateRedirects != 0,
		Depth:            b[2],
		AsOf:             parsePosition(b[3:]),
		Age:              parseMillis(b[11:]),
		Source:           parseHost(b[13:]),
		OtherListener:    parseHost(b[17:]),
		Balancers:        binary.BigEndian.Uint16(b[21:]),
	}
	return u, nil
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
