package balancer

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/encap"
	"github.com/saltbend/saltbend/internal/keyring"
	"github.com/saltbend/saltbend/internal/settings"
	"github.com/saltbend/saltbend/internal/token"
	"github.com/saltbend/saltbend/test/rolerun"
)

const (
	waitTimeout    = 20 * time.Second
	receiveTimeout = time.Second
	testSecrets    = "1:000102030405060708090a0b0c0d0e0f"
	newSecret      = "2:f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff"
	testConfig     = `version: 1
services:
  - name: results
    faces: ["192.0.2.10:443"]
    limits: {slots: 5, queue: 64, connections: 2000}
    classes:
      - {name: lookup, methods: [GET], path: "/*", idempotent: true, deadline: 5s}
`
)

func startBalancer(t *testing.T, s Settings) *rolerun.Role {
	t.Helper()
	g := NewWithT(t)
	s.Control, s.Data, s.Ops = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.DataCentre, s.Secrets, s.FaceHost = "a", testSecrets, "127.0.0.1"
	s.LogFormat, s.LogLevel = settings.FormatJSON, "info"
	g.Expect(s.Check()).To(BeEmpty())
	return rolerun.Start(t, ring(t, testSecrets), func(ctx context.Context, env settings.Env) error { return Run(ctx, s, env) })
}

// get returns the status and the body of an ops endpoint.
func get(p *rolerun.Role, path string) (int, string) {
	answer, err := http.Get("http://" + p.Addresses.Ops.String() + path)
	if err != nil {
		return 0, ""
	}
	defer answer.Body.Close()
	var raw json.RawMessage
	_ = json.NewDecoder(answer.Body).Decode(&raw)
	return answer.StatusCode, string(raw)
}

func TestBalancerForwardsUntilItsGracePeriodEnds(t *testing.T) {
	g := NewWithT(t)
	s := Settings{FaceDrain: time.Hour, Grace: 3 * time.Second}
	s.Store = []string{rolerun.NewStore(t, testConfig)}
	p := startBalancer(t, s)
	local := p.Addresses.Faces[faceA]
	g.Expect(local.Addr()).To(Equal(loopback))
	_, faces := get(p, "/faces")
	g.Expect(faces).To(MatchJSON(`{"` + faceA.String() + `":"` + local.String() + `"}`))
	status, _ := get(p, "/readyz")
	g.Expect(status).To(Equal(http.StatusOK))

	caller, agent := listen(t), listen(t)
	g.Expect(reachesAgent(t, testSecrets, caller, agent, local)).To(BeTrue())
	p.Keys.Set(ring(t, newSecret+","+testSecrets))
	g.Eventually(func() bool { return reachesAgent(t, newSecret, caller, agent, local) }, waitTimeout).Should(BeTrue())
	g.Expect(reachesAgent(t, testSecrets, caller, agent, local)).To(BeTrue(), "the previous secret must still be accepted")
	p.Stop()
	g.Eventually(func() int { status, _ := get(p, "/readyz"); return status }, waitTimeout).Should(Equal(http.StatusServiceUnavailable))
	g.Expect(reachesAgent(t, testSecrets, caller, agent, local)).To(BeTrue(), "open flows must be forwarded during the grace period")
	g.Eventually(p.Ended, waitTimeout).Should(BeClosed())
	g.Expect(p.Err).NotTo(HaveOccurred())
	g.Expect(reachesAgent(t, testSecrets, caller, agent, local)).To(BeFalse())
}

func listen(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(loopback, 0)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func ring(t *testing.T, secrets string) *keyring.Ring {
	t.Helper()
	r, err := keyring.Parse(secrets)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// reachesAgent reports whether a packet of an open flow reaches its agent. Its
// token is signed with the current one of the secrets.
func reachesAgent(t *testing.T, secrets string, caller, agent *net.UDPConn, face netip.AddrPort) bool {
	t.Helper()
	packet := make([]byte, 100)
	packet[0] = 0x40
	token.NewCodec(ring(t, secrets)).Seal(packet[1:], token.Token{
		Agent: agent.LocalAddr().(*net.UDPAddr).AddrPort(), Service: config.TagOf("results"),
	})
	if _, err := caller.WriteToUDPAddrPort(packet, face); err != nil {
		return false
	}
	_ = agent.SetReadDeadline(time.Now().Add(receiveTimeout))
	buffer := make([]byte, encap.MaxDatagram)
	n, _, err := agent.ReadFromUDPAddrPort(buffer)
	if err != nil {
		return false
	}
	_, payload, err := encap.NewCodec(ring(t, newSecret+","+testSecrets)).Decode(buffer[:n])
	return err == nil && string(payload) == string(packet)
}
