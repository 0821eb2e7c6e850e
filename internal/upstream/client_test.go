package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/config"
)

const waitTimeout = 20 * time.Second

var (
	lookup = config.Class{Name: "lookup", Kind: config.KindRequest, Idempotent: true}
	submit = config.Class{Name: "submit", Kind: config.KindRequest}
	feed   = config.Class{Name: "feed", Kind: config.KindFeed, Idempotent: true}
)

func client(t testing.TB, base string) *Client {
	u, err := url.Parse(base)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	c := New(u)
	t.Cleanup(c.Close)
	return c
}

func serve(t testing.TB, h http.HandlerFunc) *Client {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	t.Cleanup(s.CloseClientConnections)
	return client(t, s.URL)
}

func request(method, target string, body io.Reader) *http.Request {
	return httptest.NewRequest(method, target, body)
}

// disconnectAfter starts an upstream that answers the given number of requests on
// each connection, and closes the connection after it has read the next one.
// received counts the requests that it has read.
func disconnectAfter(t testing.TB, answered int) (base string, received *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	received = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go disconnectConnAfter(c, answered, received)
		}
	}()
	return "http://" + l.Addr().String(), received
}

func disconnectConnAfter(c net.Conn, answered int, received *atomic.Int64) {
	defer c.Close()
	r := bufio.NewReader(c)
	for i := 0; ; i++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		received.Add(1)
		if i >= answered {
			return
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	for _, method := range []string{"GET", "POST", "PUT", "DELETE"} {
		for _, body := range []string{"", "batch"} {
			t.Run(method+body, func(t *testing.T) {
				g := NewWithT(t)
				base, received := disconnectAfter(t, 1)
				c := client(t, base)
				resp, err := c.Run(t.Context(), request("GET", "/", nil), lookup)
				g.Expect(err).NotTo(HaveOccurred())
				_, err = io.ReadAll(resp.Body)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.Body.Close()).To(Succeed())

				// The upstream closes the pooled connection at its next request.
				keyed := func() *http.Request {
					r := request(method, "/", strings.NewReader(body))
					r.Header.Set("Idempotency-Key", "7")
					return r
				}
				resp, err = c.Run(t.Context(), keyed(), submit)
				g.Expect(err).NotTo(HaveOccurred(), "a non-idempotent request uses a new connection")
				g.Expect(resp.Body.Close()).To(Succeed())
				g.Expect(received.Load()).To(BeEquivalentTo(2))

				base, received = disconnectAfter(t, 0)
				_, err = client(t, base).Run(t.Context(), keyed(), submit)
				g.Expect(err).To(MatchError(ErrMayHaveRun))
				g.Expect(err).NotTo(MatchError(ErrNotSent))
				g.Expect(received.Load()).To(BeEquivalentTo(1))
			})
		}
	}
}

func TestFailureBeforeSendingIsErrNotSent(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	base := "http://" + l.Addr().String()
	g.Expect(l.Close()).To(Succeed())
	for _, class := range []config.Class{lookup, submit, feed} {
		_, err = client(t, base).Run(t.Context(), request("POST", "/", strings.NewReader("x")), class)
		g.Expect(err).To(MatchError(ErrNotSent), class.Name)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	c := serve(t, func(http.ResponseWriter, *http.Request) {})
	_, err = c.Run(ctx, request("GET", "/", nil), lookup)
	g.Expect(err).To(MatchError(ErrNotSent))
	g.Expect(err).To(MatchError(context.Canceled))
}

func TestRequestAbortedBeforeItsFirstByteIsNotWritten(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	c := &conn{Conn: near}
	c.begin()
	g.Expect(c.abort()).To(BeFalse())
	_, err := c.Write([]byte("GET"))
	g.Expect(err).To(MatchError(errAborted))

	c = &conn{Conn: near}
	go func() { _, _ = io.Copy(io.Discard, far) }()
	c.begin()
	_, err = c.Write([]byte("GET"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.abort()).To(BeTrue())
}

func TestDeadlineAndCancellationReachTheUpstream(t *testing.T) {
	g := NewWithT(t)
	left := make(chan string, 2)
	cancelled := make(chan struct{})
	c := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		left <- r.Header.Get(HeaderDeadline)
		_, _ = io.Copy(io.Discard, r.Body) // net/http detects a closed connection only after the body
		<-r.Context().Done()
		close(cancelled)
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
	failed := make(chan error, 1)
	go func() {
		r := request("POST", "/", strings.NewReader("x"))
		r.Header.Set(HeaderDeadline, "999999999")
		_, err := c.Run(ctx, r, submit)
		failed <- err
	}()
	var ms string
	g.Eventually(left).WithTimeout(waitTimeout).Should(Receive(&ms))
	n, err := strconv.Atoi(ms)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(And(BeNumerically("<=", 3600_000), BeNumerically(">", 3000_000)))
	cancel()
	g.Eventually(cancelled).WithTimeout(waitTimeout).Should(BeClosed())
	g.Eventually(failed).WithTimeout(waitTimeout).Should(Receive(MatchError(ErrMayHaveRun)))
}

func TestHopByHopFieldsAreRemoved(t *testing.T) {
	g := NewWithT(t)
	var got *http.Request
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		got = r
		w.Header().Set("Keep-Alive", "timeout=5")
		w.Header().Set("Connection", "X-Private")
		w.Header().Set("X-Private", "1")
		w.Header().Set("X-Kept", "1")
	})
	r := request("GET", "/a%2Fb/c?x=1&y=%20", nil)
	for _, name := range []string{"Connection", "Keep-Alive", "Te", "Upgrade", "Proxy-Authorization", "Expect", "X-Secret"} {
		r.Header.Set(name, "x-secret")
	}
	r.Header.Set("X-Kept", "1")
	resp, err := c.Run(t.Context(), r, lookup)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Body.Close()).To(Succeed())
	g.Expect(got.RequestURI).To(Equal("/a%2Fb/c?x=1&y=%20"))
	g.Expect(got.Header).To(HaveLen(1))
	g.Expect(got.Header).To(HaveKey("X-Kept"))
	g.Expect(resp.Header).NotTo(Or(HaveKey("Keep-Alive"), HaveKey("Connection"), HaveKey("X-Private")))
	g.Expect(resp.Header).To(HaveKey("X-Kept"))
	g.Expect(r.Header).To(HaveKey("Connection"), "the caller's request is not modified")
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	for name, head := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				hijacked, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				fmt.Fprint(hijacked, head)
				_ = hijacked.Close()
			})
			for _, class := range []config.Class{lookup, submit, feed} {
				resp, err := c.Run(t.Context(), request("GET", "/", nil), class)
				g.Expect(err).NotTo(HaveOccurred())
				w := httptest.NewRecorder()
				g.Expect(errors.Is(Stream(w, resp.Header, resp.Body), io.ErrUnexpectedEOF)).To(BeTrue())
				g.Expect(w.Body.String()).To(Equal("half"))
				g.Expect(resp.Body.Close()).To(Succeed())
			}
		})
	}
}

func TestEachEventIsForwardedWithoutDelay(t *testing.T) {
	g := NewWithT(t)
	next := make(chan struct{})
	c := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
		for i := range 3 {
			fmt.Fprintf(w, "data: %d\n\n", i)
			w.(http.Flusher).Flush()
			<-next
		}
	})
	resp, err := c.Run(t.Context(), request("GET", "/feed", nil), feed)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	r, w := io.Pipe()
	done := make(chan error, 1)
	go func() {
		done <- Stream(pipeWriter{httptest.NewRecorder(), w}, resp.Header, resp.Body)
		_ = w.Close()
	}()
	lines := bufio.NewReader(r)
	for i := range 3 {
		line, err := lines.ReadString('\n')
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(line).To(Equal(fmt.Sprintf("data: %d\n", i)))
		_, err = lines.ReadString('\n')
		g.Expect(err).NotTo(HaveOccurred())
		next <- struct{}{}
	}
	g.Eventually(done).WithTimeout(waitTimeout).Should(Receive(BeNil()))
}

type pipeWriter struct {
	*httptest.ResponseRecorder
	w io.Writer
}

func (p pipeWriter) Write(b []byte) (int, error) { return p.w.Write(b) }

// countingReader is an endless body that counts the bytes read from it.
type countingReader struct{ n atomic.Int64 }

func (c *countingReader) Read(p []byte) (int, error) {
	clear(p)
	c.n.Add(int64(len(p)))
	return len(p), nil
}

func TestFeedEndsWithItsContext(t *testing.T) {
	g := NewWithT(t)
	gone := make(chan struct{})
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusEarlyHints)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		close(gone)
	})
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := c.Run(ctx, request("GET", "/feed", nil), feed)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	cancel()
	_, err = resp.Body.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(context.Canceled))
	g.Expect(resp.Body.Close()).To(Succeed())
	g.Eventually(gone).WithTimeout(waitTimeout).Should(BeClosed())
}

func TestUploadIsReadNoFasterThanTheUpstreamReadsIt(t *testing.T) {
	g := NewWithT(t)
	const size = 256 << 20
	begun, end := make(chan struct{}), make(chan struct{})
	c := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.CopyN(io.Discard, r.Body, 1<<20)
		close(begun)
		<-end
		panic(http.ErrAbortHandler)
	})
	body := &countingReader{}
	r := request("POST", "/photo", io.LimitReader(body, size))
	r.ContentLength = size
	failed := make(chan error, 1)
	go func() {
		_, err := c.Run(t.Context(), r, config.Class{Kind: config.KindUpload})
		failed <- err
	}()
	g.Eventually(begun).WithTimeout(waitTimeout).Should(BeClosed())
	// Bytes read beyond the upstream's 1 MiB are in the kernel's buffers.
	var before, after int64 = -1, body.n.Load()
	for before != after {
		before = after
		time.Sleep(50 * time.Millisecond) // lets the buffers fill; longer waits give the same result
		after = body.n.Load()
	}
	g.Expect(after).To(BeNumerically("<", size/4))
	close(end)
	g.Eventually(failed).WithTimeout(waitTimeout).Should(Receive(MatchError(ErrMayHaveRun)))
}

func TestBodyOfUnknownLengthIsForwardedWhole(t *testing.T) {
	g := NewWithT(t)
	c := serve(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	for _, length := range []int64{0, -1, 5} {
		r, err := http.NewRequest("PUT", "/photo", io.MultiReader(strings.NewReader("pho"), strings.NewReader("to")))
		g.Expect(err).NotTo(HaveOccurred())
		r.ContentLength = length
		resp, err := c.Run(t.Context(), r, config.Class{Kind: config.KindUpload})
		g.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(body)).To(Equal("photo"), "length %d", length)
		g.Expect(resp.Body.Close()).To(Succeed())
	}
}
