package registry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/store"
)

// A follower through returns of the store from a copy: what the log tells of them, and
// the note that all that was lost has had its time to be written again.

const (
	// rewriteTime is the time that operators have to write again what the store lost when
	// it came back from a copy. They notice it by the era of its answers and take some
	// seconds; what is kept for them in vain costs choices, no flow.
	rewriteTime = 8 * time.Second
	// settleSpread is added at random, so that one balancer notes it and the others hear
	// of that; settleAgain is the time between two tries of one.
	settleSpread = 2 * time.Second
	settleRetryInterval  = 1 * time.Second
)

// storeReturns counts how often the store came back from a copy, in another era.
var storeReturns = metrics.NewCounter(`saltbend_packet_store_returns_total`)

// summary is what the log tells of a listing.
type summary struct {
	asOf, configAt      store.Position
	agents, evacuations int
}

// summary returns that of the listing, the zero value for none.
func (f *Follower) summary() summary {
	if f.listing == nil {
		return summary{}
	}
	return summary{f.listing.AsOf, f.listing.ConfigAt, len(f.listing.agents), len(f.listing.evacuations.Requests())}
}

// noteEra notes that the listing is of another era than the one before.
func (f *Follower) noteEra(before summary) {
	now := f.summary()
	if before.asOf != 0 && before.asOf.SameEra(now.asOf) {
		return
	}
	f.settleAt = time.Now().Add(rewriteTime + rand.N(settleSpread))
	if before.asOf == 0 {
		return // the first listing
	}
	storeReturns.Inc()
	f.Log.Warn("Store came back older.", "before", before.asOf, "as_of", now.asOf, "agents_before", before.agents, "agents", now.agents,
		"config_before", before.configAt, "config_at", now.configAt, "evacuations_before", before.evacuations, "evacuations", now.evacuations)
}

// settle notes in the store that its era is settled, once operators and agents have had
// their time to write again what it lost; a balancer that listens leaves that to those
// that watch. All take it over as they do any other change.
func (f *Follower) settle(ctx context.Context) {
	if _, listens := f.currentSource(); listens || f.listing == nil || f.listing.Settled() || time.Now().Before(f.settleAt) {
		return
	}
	f.settleAt = time.Now().Add(settleRetryInterval)
	at, err := f.Store.Apply(ctx, f.listing.settledWrite())
	switch {
	case err == nil:
		f.Log.Info("Era noted as settled.", "at", at, "as_of", f.listing.AsOf)
	case !errors.Is(err, store.ErrConflict): // or another balancer was faster
		f.Log.Warn("Era not noted as settled.", "as_of", f.listing.AsOf, "error", err.Error())
	}
}

// settledText tells in the log whether the store's era is settled.
var settledText = map[bool]string{true: "Era is settled.", false: "Era is not settled yet."}

// logSettled logs whether the era is settled when that has changed.
func (f *Follower) logSettled() {
	settled := f.listing.Settled()
	if settled == f.settledLogged {
		return
	}
	f.settledLogged = settled
	f.Log.Info(settledText[settled], "as_of", f.listing.AsOf, "evacuations", f.summary().evacuations)
}
