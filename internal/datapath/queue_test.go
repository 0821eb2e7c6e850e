package datapath

import (
	"net/netip"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/net/ipv4"
)

func TestQueueKeepsOrderAcrossFullBatches(t *testing.T) {
	g := NewWithT(t)
	from, to := listen(t), listen(t)
	q := newQueue(ipv4.NewPacketConn(from), 4, func() { t.Error("refused") })
	go q.run()
	defer q.close()
	buffer := make([]byte, bufferSize)
	const n = 50
	for i := range n {
		buffer[0], buffer[1] = 0xff, byte(i)
		buffer = q.add(buffer, 1, 2, localAddr(to))
	}
	for i := range n {
		b, _ := read(t, to)
		g.Expect(b).To(Equal([]byte{byte(i)}))
	}
}

func TestQueueDoesNotBlockAfterItsSocketCloses(t *testing.T) {
	from := listen(t)
	q := newQueue(ipv4.NewPacketConn(from), 2, func() {})
	ended := make(chan struct{})
	go func() { q.run(); close(ended) }()
	_ = from.Close()
	buffer := make([]byte, bufferSize)
	for range 10 {
		buffer = q.add(buffer, 0, 1, agent1)
	}
	NewWithT(t).Eventually(ended, waitTimeout).Should(BeClosed())
}

func TestQueueReportsDatagramsThatTheKernelRefuses(t *testing.T) {
	g := NewWithT(t)
	from, to := listen(t), listen(t)
	var refused atomic.Int64
	q := newQueue(ipv4.NewPacketConn(from), 4, func() { refused.Add(1) })
	go q.run()
	defer q.close()
	zero := netip.AddrPortFrom(agent1.Addr(), 0) // no datagram can go to port 0
	buffer := q.add(make([]byte, bufferSize), 0, 1, zero)
	buffer[0] = 7
	q.add(buffer, 0, 1, localAddr(to))
	b, _ := read(t, to)
	g.Expect(b).To(Equal([]byte{7}), "the datagram after the refused one was not sent")
	g.Expect(refused.Load()).To(Equal(int64(1)))
}
