package agent

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"github.com/saltbend/saltbend/internal/wait"
)

// callersEnv makes this test binary run callers and an upstream instead of
// tests. The benchmarks start it as a child process, so that the memory of
// callers and upstream is not counted as the agent's.
const callersEnv = "SALTBEND_TEST_CALLERS"

const (
	feedPath     = "/feed"
	benchCallers = 1000
	// eventEvery is the interval between the events of a feed.
	eventEvery = time.Second
	// settleTime lets all feeds send some events before memory is measured.
	settleTime = 3 * time.Second
	// maxConcurrentDials is the number of callers that connect at once.
	maxConcurrentDials = 8
)

func TestMain(m *testing.M) {
	if os.Getenv(callersEnv) != "" {
		if err := callers(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// callers is the main function of the child process. It prints the URL of its
// upstream, reads the face, the path to request and the number of callers,
// prints a line when all callers are connected, and returns at the end of its
// input.
func callers(in io.Reader, out io.Writer) error {
	up := httptest.NewServer(http.HandlerFunc(serveLookupOrFeed))
	fmt.Fprintln(out, up.URL)
	var face, path string
	var n int
	if _, err := fmt.Fscanln(in, &face, &path, &n); err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(context.Background())
	g.SetLimit(maxConcurrentDials)
	for range n {
		g.Go(func() error { return openAndDiscard(ctx, netip.MustParseAddrPort(face), path) })
	}
	if err := g.Wait(); err != nil {
		return err
	}
	fmt.Fprintln(out, "open")
	_, err := io.Copy(io.Discard, in)
	return err
}

// serveLookupOrFeed answers a lookup, or a feed with one event every eventEvery.
func serveLookupOrFeed(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != feedPath {
		fmt.Fprintln(w, "found")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for r.Context().Err() == nil {
		fmt.Fprintf(w, "data: %s\n\n", strings.Repeat("x", 200))
		_ = http.NewResponseController(w).Flush()
		_ = wait.For(r.Context(), eventEvery)
	}
}

// openAndDiscard sends a request on a new connection, reads the first line of the
// response, and discards the rest in the background.
func openAndDiscard(ctx context.Context, face netip.AddrPort, path string) error {
	resp, err := dialer(face).Get("https://" + testService + path)
	if err != nil {
		return err
	}
	r := bufio.NewReader(resp.Body)
	if _, err := r.ReadString('\n'); err != nil {
		return err
	}
	go func() { _, _ = io.Copy(io.Discard, r) }()
	return ctx.Err()
}

// BenchmarkFeed measures the agent's cost of one open feed: heap after a garbage
// collection, stacks, and goroutines.
func BenchmarkFeed(b *testing.B) {
	for b.Loop() {
		measure(b, feedPath)
	}
	b.ReportMetric(0, "ns/op") // hides the time, which has no meaning here
}

// BenchmarkConnection measures the cost of a connection that is idle after one
// lookup, which is the share of the QUIC and HTTP/3 libraries in an open feed.
func BenchmarkConnection(b *testing.B) {
	for b.Loop() {
		measure(b, "/runner/1")
	}
	b.ReportMetric(0, "ns/op")
}

func measure(b *testing.B, path string) {
	g := NewWithT(b)
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), callersEnv+"=1")
	child.Stderr = os.Stderr
	in, err := child.StdinPipe()
	g.Expect(err).NotTo(HaveOccurred())
	out, err := child.StdoutPipe()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(child.Start()).To(Succeed())
	defer func() {
		_ = in.Close()
		_ = child.Wait()
	}()
	lines := bufio.NewScanner(out)
	g.Expect(lines.Scan()).To(BeTrue())
	f := newFabric(b, 3)
	p := startAgent(b, lines.Text(), nil)
	defer p.Stop()
	f.setNewFlow(p.Addresses.Data)
	before := memory()
	fmt.Fprintln(in, addrOf(f.face), path, benchCallers)
	g.Expect(lines.Scan()).To(BeTrue(), "all callers are connected")
	time.Sleep(settleTime) // lets feeds send events; longer waits give the same result
	after := memory()
	heap, stack := after.heap-before.heap, after.stack-before.stack
	b.ReportMetric(heap/benchCallers, "heap-B/caller")
	b.ReportMetric(stack/benchCallers, "stack-B/caller")
	b.ReportMetric((heap+stack)/benchCallers, "total-B/caller")
	b.ReportMetric((after.goroutines-before.goroutines)/benchCallers, "goroutines/caller")
}

type usage struct{ heap, stack, goroutines float64 }

func memory() usage {
	runtime.GC()
	runtime.GC() // a sync.Pool frees its objects only at the second collection
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{
		heap:       float64(m.HeapAlloc),
		stack:      float64(m.StackInuse),
		goroutines: float64(runtime.NumGoroutine()),
	}
}

// BenchmarkHandshake opens and closes connections through one balancer. Caller,
// balancer and agent run in the same process.
func BenchmarkHandshake(b *testing.B) {
	g := NewWithT(b)
	e := startEndpoint(b, anyPort, respondWith("a"), nil)
	f := newFabric(b, 1)
	f.setNewFlow(e.conn.Addr())
	tlsConfig := &tls.Config{InsecureSkipVerify: true, ServerName: testService, NextProtos: []string{"h3"}}
	socket := listenUDP(b)
	transport := &quic.Transport{Conn: socket}
	b.Cleanup(func() { _ = transport.Close() })
	before := cpuTime(b)
	var group errgroup.Group
	group.SetLimit(maxConcurrentDials)
	for b.Loop() {
		group.Go(func() error {
			conn, err := transport.Dial(context.Background(), f.face.LocalAddr(), tlsConfig, nil)
			if err != nil {
				return err
			}
			return conn.CloseWithError(0, "")
		})
	}
	g.Expect(group.Wait()).To(Succeed())
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "handshakes/s")
	b.ReportMetric((cpuTime(b)-before).Seconds()*1e6/float64(b.N), "cpu-us/handshake")
}

// cpuTime returns the CPU time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	var u unix.Rusage
	NewWithT(b).Expect(unix.Getrusage(unix.RUSAGE_SELF, &u)).To(Succeed())
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkDownload measures a large response through three balancers that carry
// the caller's datagrams in turn.
func BenchmarkDownload(b *testing.B) {
	g := NewWithT(b)
	const size = 16 << 20
	e := startEndpoint(b, anyPort, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.Copy(w, io.LimitReader(zeros{}, size))
	}), nil)
	f := newFabric(b, 3)
	f.setNewFlow(e.conn.Addr())
	caller := newCaller(b, addrOf(f.face))
	b.SetBytes(size)
	for b.Loop() {
		resp, err := caller.Get("https://" + testService + "/")
		g.Expect(err).NotTo(HaveOccurred())
		n, err := io.Copy(io.Discard, resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(BeEquivalentTo(size))
		g.Expect(resp.Body.Close()).To(Succeed())
	}
}
