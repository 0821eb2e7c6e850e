package fabric_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/saltbend/saltbend/test/fabric"
)

const waitTimeout = 10 * time.Second

// echo starts a server that answers each datagram with the given name.
func echo(t *testing.T, name string) netip.AddrPort {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	go func() {
		buf := make([]byte, 64)
		for {
			_, from, err := conn.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			_, _ = conn.WriteToUDPAddrPort([]byte(name), from)
		}
	}()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func TestPacketsAreSpreadOverBalancersAndCutsDropThem(t *testing.T) {
	g := gomega.NewWithT(t)
	f := fabric.New()
	defer f.Close()
	public, err := f.OpenFace()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, name := range []string{"a", "b"} {
		f.SetBalancer(name, map[netip.AddrPort]netip.AddrPort{public: echo(t, name)})
	}
	conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(public))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()

	answers := make(chan string, 128)
	go func() {
		buf := make([]byte, 64)
		for {
			n, err := conn.Read(buf)
			if err != nil {
				return
			}
			answers <- string(buf[:n])
		}
	}()
	// countAnswers sends datagrams until it has received want answers, and returns their
	// number by balancer.
	countAnswers := func(want int) map[string]int {
		counts := map[string]int{}
		g.Eventually(func() int {
			_, _ = conn.Write([]byte("ping"))
			select {
			case name := <-answers:
				counts[name]++
			case <-time.After(time.Millisecond):
			}
			return counts["a"] + counts["b"]
		}, waitTimeout, time.Microsecond).Should(gomega.BeNumerically(">=", want))
		return counts
	}

	const enough = 200
	counts := countAnswers(enough)
	g.Expect(counts["a"]).To(gomega.BeNumerically(">", enough/5))
	g.Expect(counts["b"]).To(gomega.BeNumerically(">", enough/5))

	f.SetFaults("a", fabric.Faults{CutFrom: true})
	countAnswers(2 * cap(answers)) // discards the answers sent before the cut
	g.Expect(countAnswers(enough)["a"]).To(gomega.BeZero())

	f.SetFaults("a", fabric.Faults{CutTo: true})
	f.RemoveBalancer("b")
	dropped := f.Counts().Dropped
	_, err = conn.Write([]byte("ping"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func() uint64 { return f.Counts().Dropped }, waitTimeout).Should(gomega.BeNumerically(">", dropped))
}
