package request

import (
	"bytes"
)

// maxEventBytes is the size up to which an incomplete event is buffered.
const maxEventBytes = 64 << 10

// idField is the start of the line with an event's id.
var idField = []byte("id:")

// events splits a stream of server-sent events into complete events and records the id
// of the last one, so that the stream can be resumed from another source. The zero
// value is ready for use.
type events struct {
	// partial is the beginning of an incomplete event.
	partial []byte
	// lastID is the id of the last complete event that had one.
	lastID string
	// resumable is true if the last complete event has an id and no data after it
	// has been sent, apart from comments.
	resumable bool
	// oversized is true until the end of an event whose beginning was sent because
	// the event was too long to buffer.
	oversized bool
}

// add appends data and returns what can be sent now. The result is valid until the next
// call.
func (e *events) add(read []byte) []byte {
	e.partial = append(e.partial, read...)
	end := completeEvents(e.partial)
	if end == 0 && len(e.partial) <= maxEventBytes {
		return nil
	}
	if end == 0 {
		return e.flushPartial()
	}
	complete := e.partial[:end]
	e.recordIDs(complete)
	e.partial = append([]byte(nil), e.partial[end:]...)
	if len(e.partial) == 0 {
		e.partial = nil // frees the buffer, because feeds are idle most of the time
	}
	return complete
}

// flushPartial returns an incomplete event that is too long to be buffered further.
func (e *events) flushPartial() []byte {
	out := e.partial
	e.partial, e.oversized, e.resumable = nil, true, false
	return out
}

// recordIDs updates lastID and resumable for complete events that are sent.
func (e *events) recordIDs(complete []byte) {
	for len(complete) > 0 {
		end := firstEvent(complete)
		e.recordID(complete[:end])
		complete = complete[end:]
	}
}

func (e *events) recordID(event []byte) {
	if e.oversized {
		e.oversized = false // the rest of an event that was partly sent before
		return
	}
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			e.lastID = string(bytes.TrimSpace(id))
			e.resumable = true
			return
		}
	}
	if !isComment(event) {
		e.resumable = false // after a failover the event could be repeated or lost
	}
}

// isComment reports whether an event consists of comments only, as keep-alives do.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// dropPartial discards an incomplete event that was not sent. The next source sends it
// again.
func (e *events) dropPartial() { e.partial = nil }

// firstEvent returns the length of the first complete event, or 0.
func firstEvent(b []byte) int {
	for at := 0; ; {
		i := bytes.IndexByte(b[at:], '\n')
		if i < 0 {
			return 0
		}
		at += i + 1
		switch rest := b[at:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return at + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return at + 2
		}
	}
}

// completeEvents returns the total length of the complete events at the start of b.
func completeEvents(b []byte) int {
	end := 0
	for {
		n := firstEvent(b[end:])
		if n == 0 {
			return end
		}
		end += n
	}
}
