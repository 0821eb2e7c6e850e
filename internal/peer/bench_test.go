package peer_test

import (
	"context"
	"net"
	"net/rpc"
	"runtime"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"

	"github.com/saltbend/saltbend/internal/keyring"
	"github.com/saltbend/saltbend/internal/peer"
)

// Payload sizes of the call benchmarks: roughly a heartbeat and a batch of records.
const (
	smallPayload = 100
	largePayload = 10_000
)

func benchRing(b *testing.B) *keyring.Ring {
	b.Helper()
	r, err := keyring.Parse(secretA)
	if err != nil {
		b.Fatal(err)
	}
	return r
}

func benchServer(b *testing.B) *peer.Peer {
	b.Helper()
	p, err := peer.Listen(loopback, benchRing(b), peer.WithHandshakes(rate.Inf, 1))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { p.Close() })
	if err := p.Register("Test", newService()); err != nil {
		b.Fatal(err)
	}
	return p
}

// BenchmarkHandshake dials and makes one call. Client and server run in this process, so
// the processor time covers both ends.
func BenchmarkHandshake(b *testing.B) {
	server := benchServer(b)
	ring := benchRing(b)
	var bytes uint64
	start := cpuTime(b)
	for b.Loop() {
		client, err := peer.NewCaller(ring)
		if err != nil {
			b.Fatal(err)
		}
		var out string
		if err := client.Call(context.Background(), server.Addr(), "Test.Echo", "", &out); err != nil {
			b.Fatal(err)
		}
		traffic := client.Traffic()
		bytes += traffic.In + traffic.Out
		client.Close()
	}
	reportCPU(b, start)
	b.ReportMetric(float64(bytes)/float64(b.N), "wire-B/op")
}

// cpuTime returns the processor time of this process. Unlike elapsed time, it hardly
// depends on the machine's other load.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func reportCPU(b *testing.B, start time.Duration) {
	b.Helper()
	b.ReportMetric(float64(cpuTime(b)-start)/float64(b.N), "cpu-ns/op")
}

// BenchmarkCall makes calls over one open connection. For comparison, the "plain" variants
// use net/rpc over unauthenticated TCP.
func BenchmarkCall(b *testing.B) {
	for name, size := range map[string]int{"small": smallPayload, "large": largePayload} {
		payload := strings.Repeat("x", size)
		b.Run("peer/"+name, func(b *testing.B) { benchPeerCall(b, payload) })
		b.Run("plain/"+name, func(b *testing.B) { benchPlainCall(b, payload) })
	}
}

func benchPeerCall(b *testing.B, payload string) {
	server := benchServer(b)
	client, err := peer.NewCaller(benchRing(b))
	if err != nil {
		b.Fatal(err)
	}
	defer client.Close()
	call := func() {
		var out string
		if err := client.Call(context.Background(), server.Addr(), "Test.Echo", payload, &out); err != nil {
			b.Fatal(err)
		}
	}
	call()
	before, start := client.Traffic(), cpuTime(b)
	for b.Loop() {
		call()
	}
	reportCPU(b, start)
	after := client.Traffic()
	total := after.In + after.Out - before.In - before.Out
	b.ReportMetric(float64(total)/float64(b.N), "wire-B/op")
}

// BenchmarkManyCalls makes concurrent calls over one connection.
func BenchmarkManyCalls(b *testing.B) {
	const callersPerThread = 16
	server := benchServer(b)
	client, err := peer.NewCaller(benchRing(b))
	if err != nil {
		b.Fatal(err)
	}
	defer client.Close()
	payload := strings.Repeat("x", smallPayload)
	start := cpuTime(b)
	b.SetParallelism(callersPerThread)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			var out string
			if err := client.Call(context.Background(), server.Addr(), "Test.Echo", payload, &out); err != nil {
				b.Error(err)
				return
			}
		}
	})
	reportCPU(b, start)
	total := client.Traffic()
	b.ReportMetric(float64(total.In+total.Out)/float64(b.N), "wire-B/op")
}

func benchPlainCall(b *testing.B, payload string) {
	listener, err := net.Listen("tcp", loopback.String())
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	server := rpc.NewServer()
	if err := server.RegisterName("Test", newService()); err != nil {
		b.Fatal(err)
	}
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			server.ServeConn(conn)
		}
	}()
	client, err := rpc.Dial("tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer client.Close()
	start := cpuTime(b)
	for b.Loop() {
		var out string
		if err := client.Call("Test.Echo", payload, &out); err != nil {
			b.Fatal(err)
		}
	}
	reportCPU(b, start)
}

// BenchmarkIdleConnection reports the heap and stack memory that an open connection uses at
// both ends together.
func BenchmarkIdleConnection(b *testing.B) {
	const connections = 100
	server := benchServer(b)
	ring := benchRing(b)
	var heap, stack uint64
	for b.Loop() {
		beforeHeap, beforeStack := memoryInUse()
		for range connections {
			client, err := peer.NewCaller(ring)
			if err != nil {
				b.Fatal(err)
			}
			// All connections stay open: closing one would free memory during a later
			// measurement.
			b.Cleanup(func() { client.Close() })
			var out string
			if err := client.Call(context.Background(), server.Addr(), "Test.Echo", "", &out); err != nil {
				b.Fatal(err)
			}
		}
		afterHeap, afterStack := memoryInUse()
		heap += afterHeap - beforeHeap
		stack += afterStack - beforeStack
	}
	b.ReportMetric(float64(heap)/float64(b.N)/connections, "heap-B/conn")
	b.ReportMetric(float64(stack)/float64(b.N)/connections, "stack-B/conn")
}

func memoryInUse() (heap, stack uint64) {
	// sync.Pool keeps its objects through the first collection; the second one frees them.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc, m.StackInuse
}
