package request

import (
	"testing"

	"pgregory.net/rapid"
)

func TestEventsAreResumableOnlyAfterAnID(t *testing.T) {
	for name, c := range map[string]struct {
		stream    string
		passed    string
		lastID    string
		resumable bool
	}{
		"with id":         {"id: 7\ndata: a\n\n", "id: 7\ndata: a\n\n", "7", true},
		"CRLF":            {"id:7\r\ndata: a\r\n\r\n", "id:7\r\ndata: a\r\n\r\n", "7", true},
		"without id":      {"id: 7\ndata: a\n\ndata: b\n\n", "id: 7\ndata: a\n\ndata: b\n\n", "7", false},
		"comment":         {"id: 7\ndata: a\n\n: alive\n\n", "id: 7\ndata: a\n\n: alive\n\n", "7", true},
		"part":            {"id: 7\ndata: a\n\nid: 8\nda", "id: 7\ndata: a\n\n", "7", true},
		"nothing whole":   {"id: 8\nda", "", "", false},
		"data like an id": {"data: id: 3\n\n", "data: id: 3\n\n", "", false},
	} {
		var e events
		passed := string(e.add([]byte(c.stream)))
		if passed != c.passed || e.lastID != c.lastID || e.resumable != c.resumable {
			t.Errorf("%s: passed %q, id %q, resumable %v", name, passed, e.lastID, e.resumable)
		}
	}
}

func TestEventsPreserveStreamInAnyPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		piece := rapid.SampledFrom([]string{"id: 1\n", "data: x\r\n", "\n", "\r\n", ": c\n", "data"})
		var e events
		var sent, passed string
		for _, p := range rapid.SliceOf(piece).Draw(t, "pieces") {
			sent += p
			passed += string(e.add([]byte(p)))
		}
		if passed+string(e.partial) != sent {
			t.Fatalf("passed %q and kept %q of %q", passed, e.partial, sent)
		}
	})
}
