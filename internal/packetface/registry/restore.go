package registry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/store"
)

// This file handles a store that was restored from an older copy: the Follower logs what was
// lost and, once the time for writing the lost keys again has passed, records that in the
// store.

const (
	// rewriteTime is how long operators have to write again what the store lost when it
	// was restored from an older copy. They detect the restore by the era of the store's
	// answers and take some seconds. An evacuation that is retained for them although it
	// was withdrawn restricts the choice of agents for new flows, but ends no flow.
	rewriteTime = 8 * time.Second
	// settleSpread is the maximum random delay that is added to rewriteTime, so that one
	// balancer records the era as settled and the others receive that as a change.
	settleSpread = 2 * time.Second
	// settleRetryInterval is the minimum time between two attempts of one balancer to record
	// the era as settled.
	settleRetryInterval = 1 * time.Second
)

// storeRestores counts restores of the store from an older copy, each of which begins
// another era.
var storeRestores = metrics.NewCounter(`saltbend_packet_store_returns_total`)

// summary is what the log shows of a listing.
type summary struct {
	asOf, configAt      store.Position
	agents, evacuations int
}

// summary returns the summary of the current listing, the zero value if there is none.
func (f *Follower) summary() summary {
	if f.listing == nil {
		return summary{}
	}
	return summary{f.listing.AsOf, f.listing.ConfigAt, len(f.listing.agents), len(f.listing.evacuations.Requests())}
}

// noteEra logs and counts a restore if the new listing is of another era than the
// previous one, and schedules the time at which the era may be recorded as settled.
func (f *Follower) noteEra(before summary) {
	now := f.summary()
	if before.asOf != 0 && before.asOf.SameEra(now.asOf) {
		return
	}
	f.settleAt = time.Now().Add(rewriteTime + rand.N(settleSpread))
	if before.asOf == 0 {
		return // the first listing
	}
	storeRestores.Inc()
	f.Log.Warn("Store came back older.", "before", before.asOf, "as_of", now.asOf, "agents_before", before.agents, "agents", now.agents,
		"config_before", before.configAt, "config_at", now.configAt, "evacuations_before", before.evacuations, "evacuations", now.evacuations)
}

// settle records in the store that its era is settled, once operators and agents have had
// the time to write again what was lost. Only balancers that watch the store do so;
// listeners leave it to them. All balancers receive the record like any other change.
func (f *Follower) settle(ctx context.Context) {
	if _, listens := f.currentSource(); listens || f.listing == nil || f.listing.Settled() || time.Now().Before(f.settleAt) {
		return
	}
	f.settleAt = time.Now().Add(settleRetryInterval)
	at, err := f.Store.Apply(ctx, f.listing.settledWrite())
	switch {
	case err == nil:
		f.Log.Info("Era recorded as settled.", "at", at, "as_of", f.listing.AsOf)
	case !errors.Is(err, store.ErrConflict): // on a conflict another balancer has written the record
		f.Log.Warn("Recording the era as settled failed.", "as_of", f.listing.AsOf, "error", err.Error())
	}
}

// settledText holds the log messages by whether the store's era is settled.
var settledText = map[bool]string{true: "Era is settled.", false: "Era is not settled yet."}

// logSettled logs whether the era is settled, when that has changed.
func (f *Follower) logSettled() {
	settled := f.listing.Settled()
	if settled == f.settledLogged {
		return
	}
	f.settledLogged = settled
	f.Log.Info(settledText[settled], "as_of", f.listing.AsOf, "evacuations", f.summary().evacuations)
}
