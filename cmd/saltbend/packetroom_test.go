package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/exit"
	packetreport "github.com/saltbend/saltbend/internal/packetface/report"
)

// shortReport is the report of a balancer that knows a service without room and one with
// room.
var shortReport = packetreport.Balancer{
	Host: "front-1", DataCentre: "hall", Ready: true, Version: 7,
	Services: []packetreport.Service{
		{
			Service: "exams", Agents: 2, Recent: 2, Slots: 8, Short: true, ShortForMS: 4260, Bar: &packetreport.Bar{Priority: 2, Rank: 64},
			RefusedShare: 0.314, ShortestWaitMS: 120, LongestWaitMS: 1500, NewestAgeMS: 3, OldestAgeMS: 210,
		},
		{Service: "results", Agents: 1, Slots: 4, FreeSlots: 3, RefusedShare: 0.001},
	},
	DataCentres: []packetreport.DataCentre{{DataCentre: "hall", Agents: 3, Slots: 12, FreeSlots: 3, Utilization: 0.755}},
	Agents: []packetreport.Agent{
		{
			Address: netip.MustParseAddrPort("10.0.0.2:1"), DataCentre: "hall", Service: "exams", State: "ready", Running: 4, Slots: 4, HeardAgeMS: 3,
			Load: &packetreport.Load{
				WaitMS: 120, Utilization: 0.98, AgeMS: 3, Bar: &packetreport.Bar{Priority: 2, Rank: 64},
				ServiceTimes: []packetreport.ServiceTime{{Priority: 1, MeanMS: 12.25}, {Priority: 2, MeanMS: 40}},
			},
		},
		{Address: netip.MustParseAddrPort("10.0.0.3:1"), DataCentre: "hall", Service: "results", State: "ready", Slots: 4, HeardAgeMS: 3},
	},
}

// serveReport serves a report and returns the address.
func serveReport(t *testing.T, b packetreport.Balancer) string {
	mux := http.NewServeMux()
	packetreport.Handle(mux, func() packetreport.Balancer { return b })
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// lineWith returns the fields of the line that contains all texts, separated by single
// spaces.
func lineWith(text string, parts ...string) string {
lines:
	for line := range strings.Lines(text) {
		for _, part := range parts {
			if !strings.Contains(line, part) {
				continue lines
			}
		}
		return strings.Join(strings.Fields(line), " ")
	}
	return ""
}

func TestPacketStatusShowsTheRoomOfServices(t *testing.T) {
	g := NewWithT(t)
	control := serveReport(t, shortReport)
	code, out, _ := runTool("packet-status", control)
	g.Expect(code).To(Equal(exit.OK))
	g.Expect(lineWith(out, control)).To(HaveSuffix("exams short of room for 4.3s"))
	g.Expect(out).NotTo(ContainSubstring("FREE SLOTS"))

	_, out, _ = runTool("packet-status", "--services", control)
	g.Expect(lineWith(out, "exams", "0 of 8")).To(HaveSuffix(
		"2 2 0 of 8 for 4.3s 31% 120ms to 1.5s 3ms to 210ms ago priority 2 rank 64 (25% of priority 2, all below it)"))
	g.Expect(lineWith(out, "results", "3 of 4")).To(HaveSuffix("no <1% 0s 0s ago none"))
	g.Expect(lineWith(out, "3 of 12")).To(Equal("front-1 hall 3 3 of 12 76%"))
}

func TestPacketStatusShowsTheLoadOfAgents(t *testing.T) {
	g := NewWithT(t)
	_, out, _ := runTool("packet-status", "--agents", serveReport(t, shortReport))
	g.Expect(lineWith(out, "10.0.0.2:1")).To(HaveSuffix(
		"120ms 98% priority 1 12.2ms, priority 2 40.0ms 3ms ago priority 2 rank 64 (25% of priority 2, all below it) -"))
	g.Expect(lineWith(out, "10.0.0.3:1")).To(HaveSuffix("4 0 3ms ago - - - - - -"))
}

func TestPacketStatusInJSONHasTheRoom(t *testing.T) {
	g := NewWithT(t)
	_, out, _ := runTool("packet-status", "--output", "json", serveReport(t, shortReport))
	var views []balancerView
	g.Expect(json.Unmarshal([]byte(out), &views)).To(Succeed())
	g.Expect(views).To(HaveLen(1))
	g.Expect(*views[0].Balancer).To(Equal(shortReport))
}
