package upstream

import (
	"io"
	"mime"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// Sizes of the buffers for copying responses, in bytes.
const (
	// copyBuffer is the size of the buffer for a response other than a feed.
	copyBuffer = 32 << 10
	// eventBuffer is the size of the buffer for a feed. It is small because a feed
	// uses its buffer for hours.
	eventBuffer = 512
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// Stream copies the body of a response with the given header to the caller. It
// sends the header of w immediately and flushes each chunk of the body as it
// arrives. If Stream returns an error, the caller has not received the whole
// body, and the response must not be ended as if it were complete. Stream does
// not close the body.
func Stream(w http.ResponseWriter, header http.Header, body io.Reader) error {
	control := http.NewResponseController(w)
	if err := control.Flush(); err != nil {
		return errors.Wrap(err, "send the response header to the caller")
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

// copyChunks copies the body to w and calls flush after each chunk.
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
			return errors.Wrap(readErr, "read the response body from the upstream")
		}
	}
}

func writeChunk(w io.Writer, chunk []byte, flush func() error) error {
	if len(chunk) == 0 {
		return nil
	}
	if _, err := w.Write(chunk); err != nil {
		return errors.Wrap(err, "write the response body to the caller")
	}
	return errors.Wrap(flush(), "flush the response body to the caller")
}
