// Package rolerun runs a role of the daemon (balancer or agent) within a test, with a
// simulated store of the platform.
package rolerun

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/event"
	"github.com/saltbend/saltbend/internal/keyring"
	"github.com/saltbend/saltbend/internal/record"
	"github.com/saltbend/saltbend/internal/settings"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/internal/store/httpstore"
	"github.com/saltbend/saltbend/test/storefake"
)

// readyTimeout limits the wait until the role is ready.
const readyTimeout = 20 * time.Second

// Role is a running role.
type Role struct {
	Addresses settings.Addresses
	Keys      *settings.Keys
	// Stop stops the role. Ended is closed when it has ended; Err is then the error that
	// it returned.
	Stop  context.CancelFunc
	Ended chan struct{}
	Err   error
}

// Start calls run, which is the function Run of a role's package, and waits until the role
// is ready. The role is stopped at the end of the test.
func Start(t testing.TB, ring *keyring.Ring, run func(context.Context, settings.Env) error) *Role {
	t.Helper()
	ready := make(chan settings.Addresses, 1)
	env := settings.Env{
		Logger: slog.New(slog.DiscardHandler),
		Events: event.NewRing(event.DefaultRingSize, time.Now),
		Keys:   settings.NewKeys(ring),
		Ready:  func(a settings.Addresses) { ready <- a },
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &Role{Keys: env.Keys, Stop: stop, Ended: make(chan struct{})}
	go func() {
		defer close(r.Ended)
		r.Err = run(ctx, env)
	}()
	t.Cleanup(func() {
		stop()
		<-r.Ended
	})
	gomega.NewWithT(t).Eventually(ready, readyTimeout).Should(gomega.Receive(&r.Addresses))
	return r
}

// NewStore starts a store that contains the configuration, and returns its URL.
func NewStore(t testing.TB, configuration string) string {
	t.Helper()
	g := gomega.NewWithT(t)
	server := httptest.NewServer(storefake.New().Handler())
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	parsed, findings := config.Parse([]byte(configuration), 1)
	g.Expect(findings).To(gomega.BeEmpty())
	draft := record.Draft{ID: "1", Time: time.Now(), Text: []byte(configuration), Config: parsed}
	value, err := record.First(draft).Encode()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	client, err := httpstore.New([]string{server.URL}, httpstore.Options{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = client.Swap(t.Context(), record.Key, value, store.Create, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return server.URL
}
