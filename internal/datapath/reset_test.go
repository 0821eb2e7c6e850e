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

// startResetting starts an agent with one ring, gives it another, and returns
// its socket. Once that is closed, the agent is dead without a word.
func startResetting(t *testing.T, serverTLS *tls.Config, started, now string) *flow.Conn {
	t.Helper()
	g := NewWithT(t)
	ring, err := keyring.Parse(started)
	g.Expect(err).NotTo(HaveOccurred())
	rotated, err := keyring.Parse(now)
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

// ask sends a request and waits for the answer.
func ask(c *quic.Conn) error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	stream, err := c.OpenStreamSync(ctx)
	if err != nil {
		return err
	}
	_ = stream.SetDeadline(time.Now().Add(patience))
	_, _ = io.WriteString(stream, "hello")
	_ = stream.Close()
	said, err := io.ReadAll(stream)
	if err == nil && string(said) != "agent hello" {
		err = errors.Errorf("the answer is %q", said)
	}
	return err
}

func TestACallerOfADeadAgentIsToldAndOneOfALiveAgentIsNot(t *testing.T) {
	for name, started := range map[string]string{
		"with the current secret":  testSecrets,
		"with the previous secret": oldSecrets,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newRig(t)
			serverTLS, clientTLS := testTLS(t)
			agent := startResetting(t, serverTLS, started, testSecrets)
			at := agent.Addr()
			r.face.Agents = agentsAt(at)
			r.path.Publish(r.snapshot())
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			caller, err := quic.DialAddr(ctx, r.face.Socket.Addr().String(), clientTLS,
				&quic.Config{MaxIdleTimeout: time.Hour, KeepAlivePeriod: 100 * time.Millisecond})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(ask(caller)).To(Succeed())

			// The fleet is wrong: the agent lives, and says so when it is probed.
			s := r.snapshot()
			s.Gone = goneAt(at, 0, token.IncarnationTag(incarnation))
			gone := s.Gone[at]
			r.path.Publish(s)
			a := &asker{path: r.path, buffer: make([]byte, bufferSize)}
			resets := r.path.forward.resets.Get()
			for range 2 * silentAfter {
				a.round(s)
				g.Eventually(gone.unanswered.Load, patience).Should(BeZero())
				g.Expect(ask(caller)).To(Succeed())
			}
			g.Expect(r.path.forward.resets.Get()).To(Equal(resets))

			// Now it is right.
			g.Expect(agent.Close()).To(Succeed())
			for range silentAfter {
				a.round(s)
			}
			g.Eventually(caller.Context().Done(), patience).Should(BeClosed())
			err = context.Cause(caller.Context())
			var told *quic.StatelessResetError
			g.Expect(errors.As(err, &told)).To(BeTrue(), "%v", err)
		})
	}
}
