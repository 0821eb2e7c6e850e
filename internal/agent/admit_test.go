package agent

import (
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/encap"
)

func TestNewFlowsWithOlderRevisionAreAdmittedOnlyThroughFacesOfTheService(t *testing.T) {
	g := NewWithT(t)
	const revision = 7
	here, elsewhere := netip.MustParseAddrPort("192.0.2.1:443"), netip.MustParseAddrPort("192.0.2.2:443")
	service := &config.Service{Name: "results", Faces: []netip.AddrPort{here}}
	for _, c := range []struct {
		name    string
		service *config.Service
		face    netip.AddrPort
		seen    uint64
		admits  bool
	}{
		{"a face of the service, older revision", service, here, revision - 1, true},
		{"a former face, older revision", service, elsewhere, revision - 1, false},
		{"a new face that the agent's configuration does not have yet", service, elsewhere, revision + 1, true},
		{"the same revision", service, elsewhere, revision, true},
		{"a removed service, older revision", nil, here, revision - 1, false},
	} {
		h := encap.Header{Face: c.face, Revision: c.seen}
		g.Expect(admits(revision, c.service, h)).To(Equal(c.admits), c.name)
	}
}
