package upstream

import (
	"io"
	"mime"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// Sizes of the buffers that responses are copied through, in bytes. A feed
// holds its buffer for hours, so that it is small.
const (
	copyBuffer  = 32 << 10
	eventBuffer = 1 << 10
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// Stream copies the body of a response to the caller. What the upstream sends
// in pieces, such as server-sent events, is flushed piece by piece. An error
// means that the caller has not got the whole body and must not be made to
// believe so; Stream does not close the body.
func Stream(w http.ResponseWriter, resp *http.Response) error {
	if IsEvents(resp.Header) {
		return streamEvents(w, resp.Body)
	}
	buf := copyBuffers.Get().(*[copyBuffer]byte)
	defer copyBuffers.Put(buf)
	_, err := copyPieces(w, resp.Body, buf[:], nil)
	return err
}

// IsEvents reports whether the response is a stream of server-sent events.
func IsEvents(h http.Header) bool {
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

func streamEvents(w http.ResponseWriter, body io.Reader) error {
	control := http.NewResponseController(w)
	if err := control.Flush(); err != nil {
		return errors.Wrap(err, "flush headers to the caller")
	}
	buf := make([]byte, eventBuffer)
	_, err := copyPieces(w, body, buf, control.Flush)
	return err
}

// copyPieces copies until the body ends and calls flush after each piece.
func copyPieces(w io.Writer, body io.Reader, buf []byte, flush func() error) (int64, error) {
	var total int64
	for {
		n, readErr := body.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return total, errors.Wrap(err, "write to the caller")
			}
			total += int64(n)
			if flush != nil {
				if err := flush(); err != nil {
					return total, errors.Wrap(err, "flush to the caller")
				}
			}
		}
		if readErr == io.EOF {
			return total, nil
		}
		if readErr != nil {
			return total, errors.Wrap(readErr, "read from the upstream")
		}
	}
}
