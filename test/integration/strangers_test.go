package integration_test

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/keyring"
	"github.com/saltbend/saltbend/internal/token"
	"github.com/saltbend/saltbend/test/caller"
	"github.com/saltbend/saltbend/test/harness"
)

const (
	shortHeader = 0x40
	packetSize  = 100
	// strangerKey is a secret that the fleet does not have, under the id of the fleet's
	// secret; unknownKey is one under an id that the fleet does not have.
	strangerKey = "1:00112233445566778899aabbccddeeff"
	unknownKey  = "9:00112233445566778899aabbccddeeff"
)

// packet returns a QUIC packet with a short header, the connection ID and random content.
func packet(id []byte) []byte {
	p := make([]byte, packetSize)
	_, _ = rand.Read(p) // crypto/rand.Read never returns an error
	p[0] = shortHeader
	copy(p[1:], id)
	return p
}

// seal returns a connection ID with a token for the pair's agent and the service,
// encrypted with the secrets.
func seal(secrets string, pair *harness.Pair, service string) []byte {
	ring, err := keyring.Parse(secrets)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	id := make([]byte, token.Size)
	token.NewCodec(ring).Seal(id, token.Token{Agent: pair.Agent.Address("data"), Service: config.TagOf(service)})
	return id
}

var _ = ginkgo.Describe("a packet", func() {
	const enough = 100

	ginkgo.It("without a token of the face's service reaches no agent", func(ctx ginkgo.SpecContext) {
		fleet, pairs := start(ctx, size{balancers: 2, pairs: 1}, harness.DefaultValues(), results, exams)
		atResults := pairs[0]
		gomega.Expect(atResults.Service).To(gomega.Equal(results))
		conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(fleet.Faces[exams]))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer conn.Close()

		forwarded := total(ctx, fleet, `saltbend_balancer_forwarded_total`)
		for reason, bad := range map[string][]byte{
			"other_service": packet(seal(harness.Secrets, atResults, results)),
			"forged":        packet(seal(strangerKey, atResults, exams)),
			"unknown_key":   packet(seal(unknownKey, atResults, exams)),
			"truncated":     packet(nil)[:token.Size/2],
		} {
			drops := fmt.Sprintf(`saltbend_balancer_dropped_total{direction="forward",reason=%q}`, reason)
			before := total(ctx, fleet, drops)
			gomega.Eventually(func() float64 {
				_, _ = conn.Write(bad) // the poll repeats lost packets
				return total(ctx, fleet, drops) - before
			}, waitTimeout, time.Microsecond).Should(gomega.BeNumerically(">=", enough), reason)
		}
		gomega.Expect(total(ctx, fleet, `saltbend_balancer_forwarded_total`)).To(gomega.Equal(forwarded))

		// A valid caller is still served.
		tally := caller.NewTally()
		one := fleet.Caller("one", exams, tally, 0)
		defer one.Close()
		gomega.Expect(one.Lookup(ctx)).To(gomega.Succeed())
		expectNoErrors(fleet, tally, 0)
	}, ginkgo.SpecTimeout(specTimeout))
})

// total returns the sum of a metric over the running balancers.
func total(ctx context.Context, fleet *harness.Fleet, prefix string) float64 {
	ginkgo.GinkgoHelper()
	sum := 0.0
	for _, b := range fleet.Balancers() {
		v, err := b.Metric(ctx, prefix)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		sum += v
	}
	return sum
}
