package registry_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

// Tests of a store that comes back from a copy some seconds old.

// config returns the text of a configuration.
func config(version int) []byte { return fmt.Appendf(nil, `{"version":%d}`, version) }

// A data centre whose balancers all listened to watchers elsewhere served three
// configurations late, the first by 5.2 s, after the store had come back from a copy.
// The watchers read it anew and said so: "Store read." revision=48. The listeners knew
// revision 52 of before ("Store reached." revision=52) and took all that their source
// told for older than that: versions 24, 27 and 31 had the revisions 49, 50 and 51.
// Version 35 got revision 53, and all three adopted it within 80 ms, from version 21.
func TestAListenerTakesChangesOfAStoreThatCameBackOlder(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	watcher, listener, tell := pair(t, fake)
	told := func(config string) func() bool {
		return func() bool {
			if watcher.sees(0, config)() {
				tell()
			}
			return listener.sees(0, config)()
		}
	}
	fake.Put(platform.ConfigKey, config(21))
	g.Eventually(told(string(config(21))), patience).Should(BeTrue())
	old := fake.Copy()
	for range 4 { // what is lost
		fake.Put("op/other", nil)
	}
	g.Eventually(func() store.Position { return watcher.listAge().AsOf }, patience).Should(Equal(store.At(1, fake.Revision())))
	g.Eventually(told(string(config(21))), patience).Should(BeTrue())
	g.Eventually(func() store.Position { tell(); return listener.listAge().AsOf }, patience).Should(Equal(store.At(1, fake.Revision())))
	fake.Return(old)
	fake.Put(platform.ConfigKey, config(24))
	g.Eventually(told(string(config(24))), patience).Should(BeTrue())
}
