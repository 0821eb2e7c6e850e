package inner

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/store"
)

// Datagrams between balancers: some watch the platform's store, and others listen to
// them (package watchshare).

// News is what a balancer tells others of its knowledge of the store.
type News struct {
	// Watches tells that it watches the store itself and may be listened to.
	Watches bool
	// AsOf is the store's position up to which it knows every change.
	AsOf store.Position
	// Age is the time since the store last answered it, in steps of 1 ms up to 65 s.
	Age time.Duration
	// Source is the host that it listens to itself, invalid for none.
	Source netip.Addr
}

const newsSize = 2 + 8 + 2 + 4

// AppendFollow appends a datagram of KindFollow.
func AppendFollow(b []byte) []byte { return append(b, byte(KindFollow)) }

// AppendNews appends a datagram of KindNews.
func AppendNews(b []byte, n *News) []byte {
	watches := byte(0)
	if n.Watches {
		watches = 1
	}
	b = append(b, byte(KindNews), watches)
	b = appendPosition(b, n.AsOf)
	b = binary.BigEndian.AppendUint16(b, uint16(min(max(n.Age/time.Millisecond, 0), math.MaxUint16)))
	var source [4]byte
	if n.Source.Is4() {
		source = n.Source.As4()
	}
	return append(b, source[:]...)
}

// ParseNews reads a datagram of KindNews.
func ParseNews(b []byte) (News, error) {
	if len(b) != newsSize || KindOf(b) != KindNews {
		return News{}, ErrDatagram
	}
	n := News{
		Watches: b[1] != 0,
		AsOf:    parsePosition(b[2:]),
		Age:     time.Duration(binary.BigEndian.Uint16(b[10:])) * time.Millisecond,
	}
	if source := [4]byte(b[12:]); source != ([4]byte{}) {
		n.Source = netip.AddrFrom4(source)
	}
	return n, nil
}
