package inner

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/store"
)

// Datagrams between balancers: some watch the platform's store, and others listen to
// them (package watchshare).

// News is what a balancer tells others of its knowledge of the store.
type News struct {
	// Watches tells that it may be listened to: it watches the store, or listens to one
	// that does.
	Watches bool
	// Below tells that Source is one of its listeners, as it has no room itself.
	Below bool
	// Depth is the number of levels up to the balancer that watches the store.
	Depth uint8
	// Balancers is the size of the fleet as far as it knows.
	Balancers uint16
	// AsOf is the store's position up to which it knows every change.
	AsOf store.Position
	// Age is the time since the store last answered the one that watches, in steps of 1 ms
	// up to 65 s.
	Age time.Duration
	// Source is the host that it listens to itself, or names, invalid for none.
	Source netip.Addr
	// Other is a balancer that listens to the sender, too, invalid for none: one to ask
	// once the sender is gone.
	Other netip.Addr
}

// Follow asks a balancer for news, now and when there are any.
type Follow struct {
	// Below tells the other that its source has named it.
	Below bool
	// Leads tells that the one that asks watches the store, and others rely on that.
	Leads bool
}

const (
	newsSize   = 3 + 8 + 2 + 4 + 4 + 2
	followSize = 2
)

// Bits of the second byte of KindNews.
const (
	newsWatches = 1 << iota
	newsBelow
)

// Bits of the second byte of KindFollow.
const (
	followBelow = 1 << iota
	followLeads
)

// AppendFollow appends a datagram of KindFollow.
func AppendFollow(b []byte, f Follow) []byte {
	return append(b, byte(KindFollow), flag(f.Below, followBelow)|flag(f.Leads, followLeads))
}

// ParseFollow reads a datagram of KindFollow.
func ParseFollow(b []byte) (Follow, error) {
	if len(b) != followSize || KindOf(b) != KindFollow {
		return Follow{}, ErrDatagram
	}
	return Follow{Below: b[1]&followBelow != 0, Leads: b[1]&followLeads != 0}, nil
}

// flag returns a bit if it is set.
func flag(set bool, bit byte) byte {
	if set {
		return bit
	}
	return 0
}

// AppendNews appends a datagram of KindNews.
func AppendNews(b []byte, n *News) []byte {
	b = append(b, byte(KindNews), flag(n.Watches, newsWatches)|flag(n.Below, newsBelow), n.Depth)
	b = appendPosition(b, n.AsOf)
	b = appendMillis(b, n.Age)
	b = appendHost(b, n.Source)
	b = appendHost(b, n.Other)
	return binary.BigEndian.AppendUint16(b, n.Balancers)
}

// ParseNews reads a datagram of KindNews.
func ParseNews(b []byte) (News, error) {
	if len(b) != newsSize || KindOf(b) != KindNews {
		return News{}, ErrDatagram
	}
	n := News{
		Watches:   b[1]&newsWatches != 0,
		Below:     b[1]&newsBelow != 0,
		Depth:     b[2],
		AsOf:      parsePosition(b[3:]),
		Age:       parseMillis(b[11:]),
		Source:    parseHost(b[13:]),
		Other:     parseHost(b[17:]),
		Balancers: binary.BigEndian.Uint16(b[21:]),
	}
	return n, nil
}

// appendHost appends the 4 bytes of a host, zeros for none.
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
