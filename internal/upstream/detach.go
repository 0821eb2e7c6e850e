package upstream

import (
	"io"
	"net/http"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// Detach lets a handler return while its response goes on: it sends the header
// that was written to w and copies the body to the caller, piece by piece, in a
// goroutine of its own, then closes the body and calls done. A handler's
// goroutine has a deep stack, which a feed would hold for hours. Detach reports
// false, and has done nothing, where w can't do without its handler.
//
// An error of done means that the caller has not got the whole body; the
// response was then aborted.
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
	noFlush := func() error { return nil } // a stream holds nothing back
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
