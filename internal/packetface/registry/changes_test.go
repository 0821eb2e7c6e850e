package registry_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/peercall"
	"github.com/saltbend/saltbend/internal/packetface/registry"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
	"github.com/saltbend/saltbend/test/packetplatform"
)

// Tests of listeners: balancers that fetch the changes from another one, their source.

// startServer starts an HTTP server for a follower and returns its address.
func startServer(t *testing.T, f *follower) netip.AddrPort {
	server := httptest.NewServer(handlerOf(f.Follower))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// changesSince returns the changes that a source returns to a listener that knows every
// change up to a position.
func changesSince(t *testing.T, source netip.AddrPort, after store.Position) []platform.Item {
	g := NewWithT(t)
	var answer registry.Changes
	path := "/packet/changes?after=" + strconv.FormatUint(uint64(after), 10)
	g.Expect(peercall.Get(t.Context(), http.DefaultClient, source, path, 1<<20, &answer)).To(Succeed())
	g.Expect(answer.Whole).To(BeFalse())
	return answer.Items
}

// startPair returns a source, a follower that watches the store, and a listener that
// fetches the source's changes. notify tells the listener that the source has changes, as a
// datagram between balancers does.
func startPair(t *testing.T, fake *packetplatform.Store) (watcher, listener *follower, notify func()) {
	g := NewWithT(t)
	watcher = startFollower(t, fake, 1)
	g.Eventually(watcher.reachedNow, waitTimeout).Should(BeTrue())
	listener = startFollower(t, fake, 20)
	g.Eventually(listener.reachedNow, waitTimeout).Should(BeTrue())
	listener.SetSource(startServer(t, watcher))
	return watcher, listener, listener.SourceChanged
}

func TestListenerAppliesChangesFromSource(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	watcher, listener, tell := startPair(t, fake)
	bothHave := func(agents int, config string) func() bool {
		return func() bool {
			if watcher.hasListing(agents, config)() {
				tell()
			}
			return listener.hasListing(agents, config)()
		}
	}
	agent, _ := startPublishingAgent(t, fake, "10.0.0.1:1")
	fake.Put(platform.ConfigKey, []byte("2"))
	g.Eventually(bothHave(1, "2"), waitTimeout).Should(BeTrue())
	readings := fake.Readings()
	agent.SetEntry(nil)
	g.Eventually(bothHave(0, "2"), waitTimeout).Should(BeTrue())
	fake.Compact()
	fake.Put(platform.ConfigKey, []byte("3"))
	g.Eventually(bothHave(0, "3"), waitTimeout).Should(BeTrue())
	g.Expect(listener.listAge().AsOf).To(Equal(watcher.listAge().AsOf))
	g.Expect(fake.Readings()-readings).To(BeNumerically("<=", 1), "only the watcher reads all keys after the compaction")
}

// When the changes that a listener lacks have been evicted, it receives the full listing,
// which also removes agents that are gone.
func TestListenerFarBehindReceivesFullListing(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	watcher, listener, tell := startPair(t, fake)
	agent, _ := startPublishingAgent(t, fake, "10.0.0.1:1")
	g.Eventually(func() bool { tell(); return listener.hasListing(1, "")() }, waitTimeout).Should(BeTrue())
	agent.SetEntry(nil)
	g.Eventually(watcher.hasListing(0, ""), waitTimeout).Should(BeTrue())
	const more = 1100 // more changes than the source retains
	for n := range more {
		fake.Put("servers/x", []byte(strconv.Itoa(n)))
	}
	fake.Put(platform.ConfigKey, []byte("2"))
	g.Eventually(watcher.hasListing(0, "2"), waitTimeout).Should(BeTrue())
	g.Eventually(func() bool { tell(); return listener.hasListing(0, "2")() }, waitTimeout).Should(BeTrue())
}

// A source that does not answer must not delay changes: the listener reads the store.
func TestListenerReadsStoreWhenSourceIsUnreachable(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	_, listener, _ := startPair(t, fake)
	listener.SetSource(netip.MustParseAddrPort("127.0.0.1:1"))
	fake.Put(platform.ConfigKey, []byte("2"))
	g.Eventually(func() bool { listener.SourceChanged(); return listener.hasListing(0, "2")() }, waitTimeout).Should(BeTrue())
}

// A listener that has lost its source watches the store from the listener's position.
func TestListenerWatchesStoreWhenSourceIsUnset(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	_, listener, _ := startPair(t, fake)
	listener.SetSource(netip.AddrPort{})
	fake.Put(platform.ConfigKey, []byte("2"))
	g.Eventually(listener.hasListing(0, "2"), waitTimeout).Should(BeTrue())
}

// After a hint of something newer that the source does not announce, the store is read.
func TestListenerReadsStoreAfterHint(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	_, listener, _ := startPair(t, fake)
	fake.Put(platform.ConfigKey, []byte("2"))
	g.Eventually(func() bool { listener.Hint(netip.AddrPort{}, 0); return listener.hasListing(0, "2")() }, waitTimeout).Should(BeTrue())
}

func TestChangesRequestIsValidated(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	watcher := startFollower(t, fake, 1)
	g.Eventually(watcher.reachedNow, waitTimeout).Should(BeTrue())
	for query, want := range map[string]int{"?after=x": http.StatusBadRequest, "": http.StatusBadRequest, "?after=18446744073709551615": http.StatusOK} {
		w := httptest.NewRecorder()
		handlerOf(watcher.Follower).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/packet/changes"+query, nil))
		g.Expect(w.Code).To(Equal(want), query)
	}
}
