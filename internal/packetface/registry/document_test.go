package registry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

// BenchmarkChanges answers a listener that lacks one change. A source with the maximum
// number of listeners does so 32 times for each change.
func BenchmarkChanges(b *testing.B) {
	f := NewFollower(nil, nil)
	shared := Shared{AsOf: store.At(0, 5)}
	change := platform.Item{Key: "saltbend/agents/10.0.0.1:1", Value: make([]byte, 120), At: store.At(0, 5)}
	f.published.Store(&changeLog{shared: &shared, changes: changes{from: store.At(0, 4), to: store.At(0, 5), items: []platform.Item{change}}})
	request := httptest.NewRequest(http.MethodGet, changesPath+"?after=4", nil)
	request.Header.Set("Accept-Encoding", "gzip")
	b.ReportAllocs()
	for b.Loop() {
		f.serveChanges(httptest.NewRecorder(), request)
	}
}
