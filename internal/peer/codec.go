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

// maxRetainedBuffer is the largest encoding buffer that a connection keeps for the next
// message. Without this limit, a connection that once sent a configuration would keep a buffer of
// that size for as long as it is open.
const maxRetainedBuffer = 16 << 10

// limitReader limits the bytes that are read for one message. The limit is reset at the
// start of each message. Bytes that the buffered reader reads ahead count against the
// current message, so the limit is larger by the size of the read-ahead buffer.
type limitReader struct {
	r         io.Reader
	bound     int64
	remaining int64
}

func newLimitReader(r io.Reader, bound int64) *limitReader {
	return &limitReader{r: r, bound: bound + readBuffer}
}

func (l *limitReader) reset() { l.remaining = l.bound }

// Read implements io.Reader. It returns ErrTooLarge once the limit is used up.
func (l *limitReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, ErrTooLarge
	}
	if int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.r.Read(p)
	l.remaining -= int64(n)
	return n, err
}

// gobReader decodes a stream of messages, each a header and a body, of limited size.
type gobReader struct {
	limit *limitReader
	dec   *gob.Decoder
}

func newGobReader(r io.Reader, bound int64) *gobReader {
	limit := newLimitReader(r, bound)
	return &gobReader{limit: limit, dec: gob.NewDecoder(bufio.NewReaderSize(limit, readBuffer))}
}

// header decodes the header of the next message and resets the size limit.
func (g *gobReader) header(v any) error {
	g.limit.reset()
	return g.dec.Decode(v)
}

// body decodes the body that follows the header.
func (g *gobReader) body(v any) error { return g.dec.Decode(v) }

// gobWriter encodes messages into byte slices. Like any gob stream, it sends the definition
// of a type only once, with its first value.
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

// message encodes a header and a body. After an error no further message may be sent on the
// connection: type definitions may be missing from the stream, so that the other end
// couldn't decode it.
func (w *gobWriter) message(header, body any) ([]byte, error) {
	defer w.reset()
	if err := w.enc.Encode(header); err != nil {
		return nil, err
	}
	if err := w.enc.Encode(body); err != nil {
		return nil, err
	}
	if int64(w.buf.Len()) > w.bound {
		return nil, ErrTooLarge
	}
	if w.buf.Cap() > maxRetainedBuffer {
		return w.buf.Bytes(), nil // reset allocates a new buffer: no copy needed
	}
	return bytes.Clone(w.buf.Bytes()), nil
}

// reset empties the buffer, and replaces one larger than maxRetainedBuffer.
func (w *gobWriter) reset() {
	if w.buf.Cap() > maxRetainedBuffer {
		w.buf = bytes.Buffer{}
		return
	}
	w.buf.Reset()
}

// outgoing wraps a call's arguments for net/rpc and records whether they may have been
// sent.
type outgoing struct {
	args any
	// sent is set before the request is queued for writing.
	sent atomic.Bool
}

// clientCodec implements rpc.ClientCodec. It encodes in the goroutine that makes the call
// and writes in another one, so that a remote process that doesn't read never blocks the
// goroutine that makes the call.
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
	out.sent.Store(true)
	c.conn.outbox.put(message)
	return nil
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.read.header(r) }

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error { return c.read.body(body) }

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error { return c.conn.tls.Close() }
