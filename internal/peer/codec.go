package peer

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"io"
	"net/rpc"
	"sync"
	"sync/atomic"
)

// readBuffer is the size of the read-ahead buffer of a connection.
const readBuffer = 1 << 10

// keptBytes is the size up to which a connection keeps its buffer for the next
// message; a configuration that was sent once must not stay for its lifetime.
const keptBytes = 16 << 10

// limitReader fails when one message takes more than its bound. The bound is
// renewed at the start of each message; read-ahead counts against the message
// that is being read, so the bound has that much room to spare.
type limitReader struct {
	r     io.Reader
	bound int64
	left  int64
}

func newLimitReader(r io.Reader, bound int64) *limitReader {
	return &limitReader{r: r, bound: bound + readBuffer}
}

func (l *limitReader) renew() { l.left = l.bound }

// Read implements io.Reader. It fails with ErrTooLarge beyond the bound.
func (l *limitReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, ErrTooLarge
	}
	if int64(len(p)) > l.left {
		p = p[:l.left]
	}
	n, err := l.r.Read(p)
	l.left -= int64(n)
	return n, err
}

// gobReader decodes a stream of messages of bounded size.
type gobReader struct {
	limit *limitReader
	dec   *gob.Decoder
}

func newGobReader(r io.Reader, bound int64) *gobReader {
	limit := newLimitReader(r, bound)
	return &gobReader{limit: limit, dec: gob.NewDecoder(bufio.NewReaderSize(limit, readBuffer))}
}

// header decodes the first value of a message, body the second one.
func (g *gobReader) header(v any) error {
	g.limit.renew()
	return g.dec.Decode(v)
}

func (g *gobReader) body(v any) error { return g.dec.Decode(v) }

// gobWriter encodes messages into byte slices; types are sent once.
type gobWriter struct {
	buf   bytes.Buffer
	enc   *gob.Encoder
	bound int64
}

func newGobWriter(bound int64) *gobWriter {
	w := &gobWriter{bound: bound}
	w.enc = gob.NewEncoder(&w.buf)
	return w
}

// message encodes a header and a body. After an error the stream of types is
// broken and the connection must end.
func (w *gobWriter) message(header, body any) ([]byte, error) {
	defer w.renew()
	if err := w.enc.Encode(header); err != nil {
		return nil, err
	}
	if err := w.enc.Encode(body); err != nil {
		return nil, err
	}
	if int64(w.buf.Len()) > w.bound {
		return nil, ErrTooLarge
	}
	if w.buf.Cap() > keptBytes {
		return w.buf.Bytes(), nil // renew leaves these bytes to the caller
	}
	return bytes.Clone(w.buf.Bytes()), nil
}

// renew empties the buffer, and gives up a large one.
func (w *gobWriter) renew() {
	if w.buf.Cap() > keptBytes {
		w.buf = bytes.Buffer{}
		return
	}
	w.buf.Reset()
}

// outgoing wraps a call's arguments on their way through net/rpc, to learn
// whether they left.
type outgoing struct {
	args any
	// left is set before the first byte may leave.
	left atomic.Bool
}

// clientCodec implements rpc.ClientCodec. It encodes in the caller's goroutine
// and writes in another, so that a process that doesn't read holds up no
// caller.
type clientCodec struct {
	conn *clientConn
	read *gobReader
	mu   sync.Mutex
	w    *gobWriter
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	out := body.(*outgoing)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn.retired.Load() {
		return rpc.ErrShutdown
	}
	message, err := c.w.message(r, out.args)
	if err != nil {
		c.conn.retired.Store(true)
		return err
	}
	out.left.Store(true)
	c.conn.outbox.put(message)
	return nil
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.read.header(r) }

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error { return c.read.body(body) }

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error { return c.conn.tls.Close() }
