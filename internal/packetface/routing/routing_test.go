package routing_test

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/routing"
	"github.com/saltbend/saltbend/platform"
)

func flow(n int) platform.Flow {
	return platform.Flow{Caller: [4]byte{100, 64, byte(n >> 8), byte(n)}, CallerPort: uint16(n), Face: [4]byte{198, 18, 0, 1}, FacePort: 443}
}

func table(shares ...platform.Share) *routing.Table {
	return routing.NewTable(platform.Configuration{Version: 1, Routes: []platform.Route{
		{Face: netip.MustParseAddrPort("198.18.0.1:443"), Shares: shares},
	}})
}

func TestFlowsAreSplitConsistentlyByWeight(t *testing.T) {
	g := NewWithT(t)
	route := table(platform.Share{Service: "a", Weight: 90}, platform.Share{Service: "b", Weight: 10}).Find(flow(1))
	const flows = 20000
	toB := 0
	for n := range flows {
		service, ok := route.Choose(flow(n))
		g.Expect(ok).To(BeTrue())
		again, _ := route.Choose(flow(n))
		g.Expect(again).To(Equal(service))
		if service == inner.ServiceID("b") {
			toB++
		}
	}
	g.Expect(float64(toB) / flows).To(BeNumerically("~", 0.1, 0.01))
}

func TestUnknownFaceHasNoRouteAndEmptyRouteNoService(t *testing.T) {
	g := NewWithT(t)
	other := flow(1)
	other.FacePort = 80
	g.Expect(table().Find(other)).To(BeNil())
	_, ok := table().Find(flow(1)).Choose(flow(1))
	g.Expect(ok).To(BeFalse())
}

func TestTermsComeFromConfiguration(t *testing.T) {
	g := NewWithT(t)
	for priority, want := range map[int]uint8{-1: 0, 0: 0, 3: 3, 999: 255} {
		built := routing.NewTable(platform.Configuration{Version: 1, Routes: []platform.Route{
			{Face: netip.MustParseAddrPort("198.18.0.1:443"), Priority: priority, TargetLatency: 250 * time.Millisecond, Timeout: 4 * time.Second},
		}})
		g.Expect(built.Find(flow(1)).Terms).To(Equal(inner.Terms{Priority: want, TargetLatency: 250 * time.Millisecond, Timeout: 4 * time.Second}))
	}
}
