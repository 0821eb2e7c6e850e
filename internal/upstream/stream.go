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
	eventBuffer = 512
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// Stream copies the body of a response with the given header to the caller. The
// caller's header goes out at once, and each piece as it comes, so that nothing
// waits in a buffer for more. An error means that the caller has not got the
// whole body and must not be made to believe so; Stream closes nothing.
func Stream(w http.ResponseWriter, header http.Header, body io.Reader) error {
	control := http.NewResponseController(w)
	if err := control.Flush(); err != nil {
		return errors.Wrap(err, "flush the header to the caller")
	}
	if IsEvents(header) {
		return copyChunks(w, body, make([]byte, eventBuffer), control.Flush)
	}
	buf := copyBuffers.Get().(*[copyBuffer]byte)
	defer copyBuffers.Put(buf)
	return copyChunks(w, body, buf[:], control.Flush)
}

// IsEvents reports whether the response is a stream of server-sent events.
func IsEvents(h http.Header) bool {
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// copyPieces copies until the body ends and calls flush after each piece.
func copyChunks(w io.Writer, body io.Reader, buf []byte, flush func() error) error {
	for {
		n, readErr := body.Read(buf)
		if err := writeChunk(w, buf[:n], flush); err != nil {
			return err
		}
		if readErr == io.EOF {
			return nil
		}
		if readErr != nil {
			return errors.Wrap(readErr, "read from the upstream")
		}
	}
}

func writeChunk(w io.Writer, chunk []byte, flush func() error) error {
	if len(chunk) == 0 {
		return nil
	}
	if _, err := w.Write(chunk); err != nil {
		return errors.Wrap(err, "write to the caller")
	}
	return errors.Wrap(flush(), "flush to the caller")
}
