package quicid_test

import (
	"bytes"
	"testing"

	"github.com/saltbend/saltbend/internal/quicid"
)

const shortSize = 3

func TestDestination(t *testing.T) {
	for _, tc := range []struct {
		name, in, id string
		ok           bool
	}{
		{"empty", "", "", false},
		{"short header", "\x40abcdef", "abc", true},
		{"short header that ends with the ID", "\x40abc", "abc", true},
		{"truncated short header", "\x40ab", "", false},
		{"long header", "\xc0\x00\x00\x00\x01\x02abcdef", "ab", true},
		{"long header that ends with the ID", "\xc0\x00\x00\x00\x01\x02ab", "ab", true},
		{"long header of an unknown version", "\x80\xff\xff\xff\xff\x01abc", "a", true},
		{"long header without an ID", "\xc0\x00\x00\x00\x01\x00", "", true},
		{"long header truncated before the length", "\xc0\x00\x00\x00\x01", "", false},
		{"long header truncated within the ID", "\xc0\x00\x00\x00\x01\x03ab", "", false},
	} {
		id, ok := quicid.Destination([]byte(tc.in), shortSize)
		if string(id) != tc.id || ok != tc.ok {
			t.Errorf("%s: got ID %q, ok %v", tc.name, id, ok)
		}
	}
}

func FuzzDestination(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("\x40abcdef"))
	f.Add([]byte("\xc3\x00\x00\x00\x01\x14short"))
	f.Add([]byte("\xc3\x00\x00\x00\x01\x02abcdef"))
	f.Fuzz(func(t *testing.T, packet []byte) {
		id, ok := quicid.Destination(packet, shortSize)
		switch {
		case !ok && id != nil:
			t.Fatal("got an ID although ok is false")
		case ok && !quicid.IsLong(packet) && len(id) != shortSize:
			t.Fatalf("got an ID of %d bytes from a short header", len(id))
		case !bytes.Contains(packet, id):
			t.Fatal("got an ID that the packet does not contain")
		}
	})
}
