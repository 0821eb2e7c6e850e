package datapath

import (
	"context"
	"crypto/tls"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/saltbend/saltbend/internal/flow"
	"github.com/saltbend/saltbend/internal/keyring"
	"github.com/saltbend/saltbend/internal/reset"
	"github.com/saltbend/saltbend/internal/token"
)

const incarnation = 77

// startAgentWithRotation starts an agent with the initial secrets, replaces them
// by the rotated secrets, and returns its socket. Closing the socket simulates a
// crash: the agent sends nothing to its callers.
func startAgentWithRotation(t *testing.T, serverTLS *tls.Config, initialSecrets, rotatedSecrets string) *flow.Conn {
	t.Helper()
	g := NewWithT(t)
	ring, err := keyring.Parse(initialSecrets)
	g.Expect(err).NotTo(HaveOccurred())
	rotated, err := keyring.Parse(rotatedSecrets)
	g.Expect(err).NotTo(HaveOccurred())
	conn, err := flow.Listen(flow.Options{Data: anyPort, Service: results, Ring: ring})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	ids, err := flow.NewIDs(ring, conn.Addr(), results, incarnation)
	g.Expect(err).NotTo(HaveOccurred())
	key := quic.StatelessResetKey(reset.NewKeys(ring).Key(conn.Addr()))
	ids.SetKeys(rotated)
	conn.SetKeys(rotated)
	transport := &quic.Transport{Conn: conn, ConnectionIDGenerator: ids, StatelessResetKey: &key}
	listener, err := transport.Listen(serverTLS, &quic.Config{
		MaxIdleTimeout: time.Hour, InitialPacketSize: flow.PacketSize, DisablePathMTUDiscovery: true,
	})
	g.Expect(err).NotTo(HaveOccurred())
	go func() {
		c, err := listener.Accept(context.Background())
		if err == nil {
			answer(c, "agent")
		}
	}()
	return conn
}

// sendRequest sends a request and waits for the answer.
func sendRequest(c *quic.Conn) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	stream, err := c.OpenStreamSync(ctx)
	if err != nil {
		return err
	}
	_ = stream.SetDeadline(time.Now().Add(waitTimeout))
	_, _ = io.WriteString(stream, "hello")
	_ = stream.Close()
	response, err := io.ReadAll(stream)
	if err == nil && string(response) != "agent hello" {
		err = errors.Errorf("unexpected answer %q", response)
	}
	return err
}

func TestCallerIsResetOnlyAfterItsAgentDies(t *testing.T) {
	for name, initialSecrets := range map[string]string{
		"with the current secret":  testSecrets,
		"with the previous secret": oldSecrets,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newRig(t)
			serverTLS, clientTLS := testTLS(t)
			agent := startAgentWithRotation(t, serverTLS, initialSecrets, testSecrets)
			at := agent.Addr()
			r.face.Agents = agentsAt(at)
			r.path.Publish(r.snapshot())
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			caller, err := quic.DialAddr(ctx, r.face.Socket.Addr().String(), clientTLS,
				&quic.Config{MaxIdleTimeout: time.Hour, KeepAlivePeriod: 100 * time.Millisecond})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(sendRequest(caller)).To(Succeed())

			// The fleet considers the agent gone, but it is alive and answers probes.
			s := r.snapshot()
			s.GoneAddresses = goneAddresses(at, 0, token.IncarnationTag(incarnation))
			gone := s.GoneAddresses[at]
			r.path.Publish(s)
			pr := &prober{path: r.path, buffer: make([]byte, bufferSize)}
			resets := r.path.forward.resets.Get()
			for range 2 * unresponsiveAfter {
				pr.probeRound(s)
				g.Eventually(gone.unanswered.Load, waitTimeout).Should(BeZero())
				g.Expect(sendRequest(caller)).To(Succeed())
			}
			g.Expect(r.path.forward.resets.Get()).To(Equal(resets))

			// The agent dies: its callers must be reset.
			g.Expect(agent.Close()).To(Succeed())
			for range unresponsiveAfter {
				pr.probeRound(s)
			}
			g.Eventually(caller.Context().Done(), waitTimeout).Should(BeClosed())
			err = context.Cause(caller.Context())
			var resetErr *quic.StatelessResetError
			g.Expect(errors.As(err, &resetErr)).To(BeTrue(), "%v", err)
		})
	}
}
