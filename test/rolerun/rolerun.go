// Package rolerun runs a role of the daemon inside a test, beside a stand-in of
// the platform's store.
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

// patience bounds the wait for the role to serve.
const patience = 20 * time.Second

// Role is a role that runs.
type Role struct {
	Addresses settings.Addresses
	Keys      *settings.Keys
	// Stop asks the role to end; Ended is closed when it has, and Err is what
	// it returned then.
	Stop  context.CancelFunc
	Ended chan struct{}
	Err   error
}

// Start calls run, the Run of a role's package, waits until the role serves,
// and stops it when the test ends.
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
	gomega.NewWithT(t).Eventually(ready, patience).Should(gomega.Receive(&r.Addresses))
	return r
}

// NewStore returns the URL of a store that holds the configuration.
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
