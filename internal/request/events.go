package request

import (
	"bytes"
)

// maxEventBytes bounds an event that is kept back until it is whole, in bytes.
const maxEventBytes = 64 << 10

// idField begins the line of an event that carries its id.
var idField = []byte("id:")

// events cuts a stream of server-sent events into whole events and remembers
// the last id, so that another stream can go on where this one was left. The
// zero value is ready.
type events struct {
	// partial is the beginning of an event that isn't whole yet.
	partial []byte
	// lastID is the id of the last whole event that had one.
	lastID string
	// resumable tells that the last whole event carried an id and that nothing
	// after it has been passed on.
	resumable bool
	// oversized tells that the part has been passed on before it was whole.
	oversized bool
}

// add adds what was read and returns what may be passed on. The result is
// valid until the next call.
func (e *events) add(read []byte) []byte {
	e.partial = append(e.partial, read...)
	end := wholeEvents(e.partial)
	if end == 0 && len(e.partial) <= maxEventBytes {
		return nil
	}
	if end == 0 {
		return e.flushPartial()
	}
	whole := e.partial[:end]
	e.recordIDs(whole)
	e.partial = append([]byte(nil), e.partial[end:]...)
	if len(e.partial) == 0 {
		e.partial = nil // a feed is silent for most of its life
	}
	return whole
}

// flushPartial gives up on an event that is too long to be kept back.
func (e *events) flushPartial() []byte {
	out := e.partial
	e.partial, e.oversized, e.resumable = nil, true, false
	return out
}

// recordIDs takes whole events that are passed on.
func (e *events) recordIDs(whole []byte) {
	for len(whole) > 0 {
		end := firstEvent(whole)
		e.recordID(whole[:end])
		whole = whole[end:]
	}
}

func (e *events) recordID(event []byte) {
	if e.oversized {
		e.oversized = false // the rest of an event whose beginning is gone
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
		e.resumable = false // it would come again, or never, after a change
	}
}

// isComment reports whether an event has nothing but comments, as keep-alives
// do.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// dropPartial forgets a part that was not passed on: its event comes again.
func (e *events) dropPartial() { e.partial = nil }

// firstEvent returns the length of the first whole event, or 0.
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

// wholeEvents returns the length of all whole events at the beginning of b.
func wholeEvents(b []byte) int {
	end := 0
	for {
		n := firstEvent(b[end:])
		if n == 0 {
			return end
		}
		end += n
	}
}
