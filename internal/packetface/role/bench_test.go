package role

import (
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/routing"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/platform"
)

// These benchmarks compare the cost of forwarding a packet of a known flow with that of a
// relay that only copies datagrams: go test -bench Forward ./internal/packetface/role

const payload = 200

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func socket(b *testing.B) *net.UDPConn {
	conn, err := listen(loopback)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { conn.Close() })
	return conn
}

func addressOf(conn *net.UDPConn) netip.AddrPort { return conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// measureRoundTrips repeatedly sends a packet and waits until it arrives at the sink.
func measureRoundTrips(b *testing.B, to netip.AddrPort, sink *net.UDPConn, p []byte) {
	source := socket(b)
	buffer := make([]byte, inner.MaxSize)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := source.WriteToUDPAddrPort(p, to); err != nil {
			b.Fatal(err)
		}
		if _, _, err := sink.ReadFromUDPAddrPort(buffer); err != nil {
			b.Fatal(err)
		}
	}
}

func callerPacket(flags platform.Flags, size int) []byte {
	p := make([]byte, platform.PacketHeaderSize+size)
	binary.BigEndian.PutUint16(p[12:], uint16(size))
	binary.BigEndian.PutUint16(p[14:], 443)
	copy(p[16:], []byte{198, 18, 0, 1, 100, 64, 0, 1})
	binary.BigEndian.PutUint16(p[24:], 5000)
	p[30] = byte(flags)
	return p
}

func BenchmarkForwardRelay(b *testing.B) {
	relay, sink := socket(b), socket(b)
	to := addressOf(sink)
	go receive(relay, inner.MaxSize, func(_ netip.AddrPort, datagram []byte) { send(relay, to, datagram) })
	measureRoundTrips(b, addressOf(relay), sink, callerPacket(platform.FlagACK, payload))
}

func BenchmarkForwardBalancer(b *testing.B) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	balancer := newBalancer(Env{Logger: log, Host: platform.Host{DataCentre: "a", Packets: loopback}})
	balancer.callers, balancer.agents = socket(b), socket(b)
	sink := socket(b)
	service := "s"
	balancer.core.SetTable(balancer.clock(), routing.NewTable(platform.Configuration{Version: 1, Routes: []platform.Route{
		{Face: netip.MustParseAddrPort("198.18.0.1:443"), Shares: []platform.Share{{Service: service, Weight: 1}}},
	}}), time.Minute)
	agent := addressOf(sink)
	balancer.core.SetAgents(balancer.clock(), []steer.Agent{{Addr: agent, Service: inner.ServiceID(service), DataCentre: "a", Slots: 4}}, steer.ListAge{AsOf: 1, Newest: 1})
	if _, err := balancer.core.FromCaller(balancer.clock(), callerPacket(platform.FlagSYN, 0)); err != nil {
		b.Fatal(err)
	}
	go receive(balancer.callers, platform.MaxPacketSize+1, balancer.fromCaller)
	measureRoundTrips(b, addressOf(balancer.callers), sink, callerPacket(platform.FlagACK, payload))
}
