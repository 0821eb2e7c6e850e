package datapath

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"golang.org/x/sync/errgroup"

	"github.com/saltbend/saltbend/internal/flow"
	"github.com/saltbend/saltbend/internal/keyring"
	"github.com/saltbend/saltbend/internal/quicid"
	"github.com/saltbend/saltbend/internal/token"
)

const protocol = "echo"

// countingConn is an agent's data socket that counts the received packets of open
// flows, and those among them whose token names another agent.
type countingConn struct {
	net.PacketConn
	self                netip.AddrPort
	tokens              *token.Codec
	received, misrouted *atomic.Int64
}

func (c *countingConn) ReadFrom(b []byte) (int, net.Addr, error) {
	n, from, err := c.PacketConn.ReadFrom(b)
	if err != nil || n <= token.Size || quicid.IsLong(b) {
		return n, from, err
	}
	c.received.Add(1)
	if t, err := c.tokens.Open(b[shortIDAt:shortIDAt+token.Size], results); err != nil || t.Agent != c.self {
		c.misrouted.Add(1)
	}
	return n, from, nil
}

// startAgent starts an agent that accepts QUIC connections at its own data socket.
// It answers each stream with its name and the request.
func startAgent(t *testing.T, name string, serverTLS *tls.Config, received, misrouted *atomic.Int64) netip.AddrPort {
	t.Helper()
	g := NewWithT(t)
	ring, err := keyring.Parse(testSecrets)
	g.Expect(err).NotTo(HaveOccurred())
	conn, err := flow.Listen(flow.Options{Data: anyPort, Service: results, Ring: ring})
	g.Expect(err).NotTo(HaveOccurred())
	ids, err := flow.NewIDs(ring, conn.Addr(), results, 1)
	g.Expect(err).NotTo(HaveOccurred())
	socket := &countingConn{PacketConn: conn, self: conn.Addr(), tokens: token.NewCodec(ring), received: received, misrouted: misrouted}
	transport := &quic.Transport{Conn: socket, ConnectionIDGenerator: ids}
	listener, err := transport.Listen(serverTLS, &quic.Config{InitialPacketSize: flow.PacketSize, DisablePathMTUDiscovery: true})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close(); _ = transport.Close(); _ = conn.Close() })
	go func() {
		for {
			c, err := listener.Accept(context.Background())
			if err != nil {
				return
			}
			go answer(c, name)
		}
	}()
	return conn.Addr()
}

func answer(c *quic.Conn, name string) {
	for {
		stream, err := c.AcceptStream(context.Background())
		if err != nil {
			return
		}
		request, _ := io.ReadAll(stream)
		_, _ = io.WriteString(stream, name+" "+string(request))
		_ = stream.Close()
	}
}

// sprayConn is a caller's socket that simulates a fabric which sprays packets:
// it sends Initials to all balancers and other datagrams to the balancers in turn.
// Every received datagram appears to come from the face.
type sprayConn struct {
	net.PacketConn
	conn       *net.UDPConn
	balancers  []netip.AddrPort
	next       int
	duplicated *atomic.Int64
}

func (s *sprayConn) WriteTo(b []byte, _ net.Addr) (int, error) {
	if b[0]&(quicid.LongHeader|longType) == quicid.LongHeader { // an Initial
		s.duplicated.Add(1)
		for _, to := range s.balancers {
			_, _ = s.conn.WriteToUDPAddrPort(b, to)
		}
		return len(b), nil
	}
	s.next++
	return s.conn.WriteToUDPAddrPort(b, s.balancers[s.next%len(s.balancers)])
}

func (s *sprayConn) ReadFrom(b []byte) (int, net.Addr, error) {
	n, _, err := s.conn.ReadFromUDPAddrPort(b)
	return n, net.UDPAddrFromAddrPort(publicFace), err
}

// Two balancers place every new flow at different agents and share the packets of
// each flow, so that each Initial reaches both agents. Still, all packets of an
// open flow must reach one agent, and no request may fail.
func TestFlowStaysAtOneAgentWhenBalancersDisagree(t *testing.T) {
	g := NewWithT(t)
	serverTLS, clientTLS := testTLS(t)
	var faces []netip.AddrPort
	var duplicated, received, misrouted atomic.Int64
	for _, name := range []string{"one", "two"} {
		agent := startAgent(t, name, serverTLS, &received, &misrouted)
		socket, err := Open(publicFace, anyPort)
		g.Expect(err).NotTo(HaveOccurred())
		data, err := Bind(anyPort)
		g.Expect(err).NotTo(HaveOccurred())
		face := &Face{Socket: socket, Service: results, Agents: agentsAt(agent)}
		path := Start(data, localAddr(data), &Snapshot{
			Keys: testKeys(t, testSecrets), Faces: map[netip.AddrPort]*Face{publicFace: face},
		})
		t.Cleanup(path.Close)
		faces = append(faces, socket.Addr())
	}
	var callers errgroup.Group
	callers.SetLimit(10)
	for range 30 {
		conn := listen(t)
		callers.Go(func() error {
			return exchangeRequests(&sprayConn{PacketConn: conn, conn: conn, balancers: faces, duplicated: &duplicated}, clientTLS)
		})
	}
	g.Expect(callers.Wait()).To(Succeed())
	g.Expect(duplicated.Load()).To(BeNumerically(">=", 30))
	g.Expect(received.Load()).To(BeNumerically(">=", 30*20))
	g.Expect(misrouted.Load()).To(BeZero())
}

// exchangeRequests opens a flow and sends 20 requests; all answers must come from
// one agent.
func exchangeRequests(socket net.PacketConn, clientTLS *tls.Config) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	transport := &quic.Transport{Conn: socket}
	defer transport.Close()
	c, err := transport.Dial(ctx, net.UDPAddrFromAddrPort(publicFace), clientTLS, nil)
	if err != nil {
		return err
	}
	names := make(map[string]bool)
	for range 20 {
		stream, err := c.OpenStreamSync(ctx)
		if err != nil {
			return err
		}
		_, _ = io.WriteString(stream, strings.Repeat("x", 3000))
		_ = stream.Close()
		answer, err := io.ReadAll(stream)
		if err != nil {
			return err
		}
		name, payload, _ := strings.Cut(string(answer), " ")
		names[name] = true
		if len(payload) != 3000 || len(names) != 1 {
			return errors.Errorf("answer of %d bytes; agents that answered: %v", len(payload), names)
		}
	}
	return c.CloseWithError(0, "")
}

func testTLS(t *testing.T) (server, client *tls.Config) {
	t.Helper()
	g := NewWithT(t)
	public, private, err := ed25519.GenerateKey(rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), DNSNames: []string{"results"}, NotAfter: time.Now().Add(time.Hour),
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	g.Expect(err).NotTo(HaveOccurred())
	parsed, err := x509.ParseCertificate(cert)
	g.Expect(err).NotTo(HaveOccurred())
	roots := x509.NewCertPool()
	roots.AddCert(parsed)
	server = &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{cert}, PrivateKey: private}}, NextProtos: []string{protocol},
	}
	return server, &tls.Config{RootCAs: roots, ServerName: "results", NextProtos: []string{protocol}}
}
