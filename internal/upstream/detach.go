package upstream

import (
	"io"
	"net/http"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// Detach lets a handler return while its response continues. It sends the header
// that was written to w and starts a goroutine that copies the body to the
// caller in chunks, closes the body, and calls done. Without Detach, a feed would
// keep the deep stack of its handler's goroutine for hours. Detach returns false
// without any effect if w does not support responses that outlive their handler.
//
// If done is called with an error, the caller has not received the whole body
// and the response was aborted.
func Detach(w http.ResponseWriter, body io.ReadCloser, done func(error)) bool {
	streamer, ok := w.(http3.HTTPStreamer)
	if !ok {
		return false
	}
	stream, err := streamer.HTTPStream()
	if err != nil {
		return false
	}
	go copyToStream(stream, body, done)
	return true
}

func copyToStream(stream *http3.Stream, body io.ReadCloser, done func(error)) {
	noFlush := func() error { return nil } // a stream has no write buffer
	err := copyChunks(stream, body, make([]byte, eventBuffer), noFlush)
	stream.CancelRead(quic.StreamErrorCode(http3.ErrCodeNoError))
	if err != nil {
		stream.CancelWrite(quic.StreamErrorCode(http3.ErrCodeInternalError))
	} else {
		_ = stream.Close()
	}
	_ = body.Close()
	done(err)
}
