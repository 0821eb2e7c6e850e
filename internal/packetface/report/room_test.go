package report_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/admission"
	"github.com/saltbend/saltbend/internal/packetface/report"
)

func TestBarInWords(t *testing.T) {
	g := NewWithT(t)
	g.Expect(report.BarOf(0)).To(BeNil())
	g.Expect(report.BarOf(0).String()).To(Equal("none"))
	bar := report.BarOf(admission.StandingOf(2, 64))
	g.Expect(bar).To(Equal(&report.Bar{Priority: 2, Rank: 64}))
	g.Expect(bar.String()).To(Equal("priority 2 rank 64 (25% of priority 2, all below it)"))
}

// largest returns a report on n agents with all fields set to long values.
func largest(n int) report.Balancer {
	load := &report.Load{
		WaitMS: 65535, Utilization: 0.9990000000000001, Bar: &report.Bar{Priority: 250, Rank: 250}, AgeMS: 1 << 40,
		ServiceTimes: []report.ServiceTime{{Priority: 250, MeanMS: 6553.5}, {Priority: 251, MeanMS: 6553.4}},
	}
	var out report.Balancer
	for range n {
		out.Agents = append(out.Agents, report.Agent{
			Address: netip.MustParseAddrPort("255.255.255.255:65535"), DataCentre: strings.Repeat("d", 32), Service: strings.Repeat("s", 32),
			State: "probation", Running: 65535, Slots: 65535, Flows: 1 << 31, HeardAgeMS: 1 << 40, Suspected: true, Unlisted: true, Evacuated: true,
			Load: load,
		})
	}
	return out
}

// The size of a report is bounded where it is fetched; the largest planned fleet has 6,100
// agents.
func TestReportOfManyAgentsStaysBelowTheBound(t *testing.T) {
	for _, agents := range []int{1000, 7000} {
		g := NewWithT(t)
		want := largest(agents)
		mux := http.NewServeMux()
		report.Handle(mux, func() report.Balancer { return want })
		server := httptest.NewServer(mux)
		defer server.Close()
		got, err := report.Fetch(t.Context(), netip.MustParseAddrPort(server.Listener.Addr().String()))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(want))
		text, err := json.Marshal(want)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(text)/agents).To(BeNumerically("<", 640), "bytes for each agent")
	}
}
