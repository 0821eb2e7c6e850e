package balancer

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/datapath"
	"github.com/saltbend/saltbend/internal/keyring"
	"github.com/saltbend/saltbend/internal/member"
)

var (
	loopback = netip.MustParseAddr("127.0.0.1")
	faceA    = netip.MustParseAddrPort("192.0.2.10:443")
	faceB    = netip.MustParseAddrPort("192.0.2.11:443")
	start    = time.Unix(1000, 0)
)

const drain = time.Minute

func testPublisher(t *testing.T, changes *[]faceChange) (p *publisher, ready *int) {
	t.Helper()
	ring, err := keyring.Parse("1:000102030405060708090a0b0c0d0e0f")
	if err != nil {
		t.Fatal(err)
	}
	data, err := datapath.Bind(netip.AddrPortFrom(loopback, 0))
	if err != nil {
		t.Fatal(err)
	}
	ready = new(int)
	keys := datapath.NewKeys(ring)
	p = &publisher{
		path: datapath.Start(data, faceA, &datapath.Snapshot{Keys: keys}),
		faces: newFaces(loopback, drain, func(c faceChange, _ netip.AddrPort, _ error) {
			*changes = append(*changes, c)
		}),
		services:    newServices(func(string, serviceState) {}),
		keys:        make(chan *datapath.Keys, 1),
		currentKeys: keys,
		ready:       func() { *ready++ },
	}
	t.Cleanup(p.path.Close)
	return p, ready
}

func withFaces(service string, faces ...netip.AddrPort) *control.Snapshot {
	return &control.Snapshot{Config: &config.Config{Revision: 3, Services: []config.Service{{Name: service, Faces: faces}}}}
}

func TestFacesFollowTheConfiguration(t *testing.T) {
	g := NewWithT(t)
	var changes []faceChange
	p, ready := testPublisher(t, &changes)

	p.publish(&control.Snapshot{}, start)
	g.Expect(p.check()).To(ConsistOf("no configuration in force"))
	g.Expect(*ready).To(BeZero())

	p.publish(withFaces("results", faceA, faceB), start)
	g.Expect(p.check()).To(BeEmpty())
	g.Expect(*ready).To(Equal(1))
	g.Expect(p.local()).To(HaveLen(2))
	g.Expect(changes).To(Equal([]faceChange{faceOpened, faceOpened}))
	local := p.local()[faceB]

	// A face that was removed from the configuration keeps its socket while it
	// drains.
	p.publish(withFaces("results", faceA), start)
	g.Expect(p.local()).To(HaveKeyWithValue(faceB, local))
	g.Expect(p.faces.needsRecheck()).To(BeTrue())
	s := p.snapshot(withFaces("results", faceA))
	g.Expect(s.Faces[faceB].Draining).To(BeTrue())
	g.Expect(s.Faces[faceA].Draining).To(BeFalse())
	g.Expect(s.Revision).To(Equal(uint64(3)))

	// A face that is added again before its drain ends keeps its socket.
	p.publish(withFaces("results", faceA, faceB), start.Add(drain-1))
	g.Expect(p.local()).To(HaveKeyWithValue(faceB, local))
	p.publish(withFaces("results", faceA), start.Add(drain))
	p.publish(withFaces("results", faceA), start.Add(2*drain))
	g.Expect(p.local()).NotTo(HaveKey(faceB))
	g.Expect(changes[2:]).To(Equal([]faceChange{faceDraining, faceDraining, faceClosed}))

	// A snapshot without a confirmed configuration changes nothing.
	p.publish(&control.Snapshot{}, start.Add(3*drain))
	g.Expect(p.local()).To(HaveKey(faceA))
	g.Expect(*ready).To(Equal(1))
}

func TestFaceMovedToAnotherServiceAcceptsFlowsOfBoth(t *testing.T) {
	g := NewWithT(t)
	var changes []faceChange
	p, _ := testPublisher(t, &changes)
	p.publish(withFaces("results", faceA), start)
	moved := withFaces("standings", faceA)
	p.publish(moved, start)
	face := p.snapshot(moved).Faces[faceA]
	g.Expect(face.Service).To(Equal(config.TagOf("standings")))
	g.Expect(face.FormerServices).To(ConsistOf(config.TagOf("results")))
	p.publish(withFaces("results", faceA), start.Add(1))
	p.publish(moved, start.Add(2))
	g.Expect(p.snapshot(moved).Faces[faceA].FormerServices).To(ConsistOf(config.TagOf("results")))
	p.publish(moved, start.Add(2+drain))
	g.Expect(p.snapshot(moved).Faces[faceA].FormerServices).To(BeEmpty())
	g.Expect(p.faces.needsRecheck()).To(BeFalse())
}

func TestFaceThatCannotBeBoundIsReportedAndRetried(t *testing.T) {
	g := NewWithT(t)
	var changes []faceChange
	p, _ := testPublisher(t, &changes)
	taken, err := datapath.Bind(netip.AddrPortFrom(loopback, 0))
	g.Expect(err).NotTo(HaveOccurred())
	p.faces.host = netip.Addr{}
	face := taken.LocalAddr().String()
	s := withFaces("results", netip.MustParseAddrPort(face))
	p.publish(s, start)
	p.publish(s, start)
	g.Expect(p.check()).To(ConsistOf(ContainSubstring(face)))
	g.Expect(p.faces.needsRecheck()).To(BeTrue())
	g.Expect(taken.Close()).To(Succeed())
	p.publish(s, start)
	g.Expect(p.check()).To(BeEmpty())
	g.Expect(changes).To(Equal([]faceChange{faceFailed, faceOpened}))
}

func TestFaceGetsOnlyTheAgentsOfItsService(t *testing.T) {
	g := NewWithT(t)
	var changes []faceChange
	p, _ := testPublisher(t, &changes)
	s := withFaces("results", faceA)
	s.Self.DataCentre = "a"
	for i, service := range []string{"results", "results", "intake"} {
		addr := netip.AddrPortFrom(loopback, uint16(7000+i))
		s.Agents = append(s.Agents, member.Member{
			Control: addr, Data: addr, Service: service, DataCentre: "a", State: member.StateReady, Weight: 1000,
		})
	}
	p.publish(s, start)
	face := p.snapshot(s).Faces[faceA]
	g.Expect(face.Service).To(Equal(config.TagOf("results")))
	g.Expect(face.Agents.Len()).To(Equal(2))
}

func TestServiceStateChangesAreReported(t *testing.T) {
	g := NewWithT(t)
	var notified []serviceState
	all := newServices(func(_ string, s serviceState) { notified = append(notified, s) })
	s := withFaces("results", faceA)
	s.Agents = []member.Member{{Control: faceA, Data: faceA, Service: "results", State: member.StateReady, Weight: 1}}
	updateTo := func(state member.State) { s.Agents[0].State = state; all.update(s) }
	updateTo(member.StateReady)
	g.Expect(notified).To(BeEmpty(), "a new service that is served must not be reported")
	updateTo(member.StateStarting)
	updateTo(member.StateStarting)
	updateTo(member.StateGone)
	updateTo(member.StateReady)
	g.Expect(notified).To(Equal([]serviceState{servicePanics, serviceUnserved, serviceServed}))
	g.Expect(all.counts[serviceServed].Get()).To(Equal(1.0))
	g.Expect(all.counts[serviceUnserved].Get()).To(BeZero())
}

func TestAgentSetIsRebuiltOnlyIfPlacementInputsChange(t *testing.T) {
	g := NewWithT(t)
	all := newServices(func(string, serviceState) {})
	s := withFaces("results", faceA)
	s.Agents = []member.Member{{Control: faceA, Data: faceA, Service: "results", State: member.StateReady, Weight: 1}}
	all.update(s)
	set := all.set("results")
	same := func() bool { all.update(s); before := set; set = all.set("results"); return set == before }
	s.Agents[0].Version, s.Agents[0].Revision = 2, 9
	g.Expect(same()).To(BeTrue())
	for name, change := range map[string]func(){
		"weight":      func() { s.Agents[0].Weight = 2 },
		"state":       func() { s.Agents[0].State = member.StateDraining },
		"data":        func() { s.Agents[0].Data = faceB },
		"data centre": func() { s.Agents[0].DataCentre = "b" },
		"threshold":   func() { s.Config.Services[0].Health.PanicThreshold = 0.5 },
		"locality":    func() { s.Self.DataCentre = "c" },
		"another":     func() { s.Agents = append(s.Agents, s.Agents[0]) },
	} {
		change()
		g.Expect(same()).To(BeFalse(), name)
	}
	s.Agents = nil
	all.update(s)
	g.Expect(all.set("results").Len()).To(BeZero())
}

func TestSettingsReportAllFindings(t *testing.T) {
	g := NewWithT(t)
	s := Settings{FaceHost: "face.example", FaceDrain: -1, Grace: -1}
	s.Data = "0.0.0.0:0"
	var places []string
	for _, f := range s.Check() {
		places = append(places, f.Place)
	}
	g.Expect(places).To(ContainElements(
		"--data (SALTBEND_DATA)", "--face-host (SALTBEND_FACE_HOST)",
		"--face-drain (SALTBEND_FACE_DRAIN)", "--grace (SALTBEND_GRACE)",
	))
}
