package registry

import (
	"bytes"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

// Lease and check intervals of an agent's entry.
const (
	// leaseTTL is the TTL of an entry's lease. The TTL is long, so that the entry survives
	// an outage of the store: balancers detect by themselves that an agent is gone.
	leaseTTL = 30 * time.Second
	// renewDivisor is the number by which the lease's TTL is divided to give the interval
	// of renewals.
	renewDivisor = 3
	// recheckInterval is the minimum time between two readings of the entry because of
	// hints that it is missing.
	recheckInterval = 500 * time.Millisecond
	// idleReadInterval is the minimum time between two readings of the entry because no
	// balancer contacts the agent.
	idleReadInterval = 20 * time.Second
)

// Step is a call of the store that is due.
type Step uint8

// Values of Step.
const (
	StepNone Step = iota
	StepGrant
	StepRead
	StepWrite
	StepRenew
	StepEnd
)

var stepNames = [...]string{"none", "grant", "read", "write", "renew", "end"}

// String returns the name of the step as it appears in logs.
func (s Step) String() string { return stepNames[s] }

// Publisher decides which call is due so that the store holds the wanted entry. Times are
// those of a monotonic clock.
type Publisher struct {
	key string
	// wanted is the text that should be in the store, nil for none.
	wanted []byte
	// written is the text that is in the store as far as is known, nil for none; at is
	// its position.
	written []byte
	at      store.Position
	lease   platform.Lease
	// renewed is the time at which the last successful grant or renewal of the lease was
	// sent.
	renewed time.Duration
	// renewSoon requests a renewal of the lease before it is due.
	renewSoon bool
	// uncertain is set if the entry in the store may differ from written, so that the entry
	// has to be read before the next write.
	uncertain bool
	// checked is the time of the last hint that caused a reading of the entry.
	checked time.Duration
	// inherit is set until the entry that the previous process may have left has been
	// read. withdrawn is set if there should be no entry, whoever wrote it.
	inherit, withdrawn bool
	// asOf is the highest position of the store that this process itself has observed.
	asOf store.Position
	// era is the highest era of the store that the Publisher knows.
	era uint64
	// restored is set if the store was restored from an older copy since the entry was last
	// read.
	restored bool
	// verifyAt is the latest time for the next reading of the entry while restored is set.
	verifyAt time.Duration
}

// NewPublisher returns a Publisher that knows nothing of the entry yet.
func NewPublisher(key string) *Publisher { return &Publisher{key: key} }

// Inherit makes the Publisher first read the entry that the previous process left at the
// address, and reuse the lease of that entry. A restart then costs one reading and one
// renewal; a new entry would cost four calls (grant, write, read, write) and a change that
// every balancer receives.
func (p *Publisher) Inherit() { p.inherit = true }

// Want sets the text that should be in the store, nil for none. Before the first call of
// Want an existing entry is left as it is, because the upstream may be running.
func (p *Publisher) Want(text []byte) { p.wanted, p.withdrawn = text, text == nil }

// EntryMissing tells the Publisher that the entry may be missing in the store. The entry is
// then read again, at most once per recheckInterval.
func (p *Publisher) EntryMissing(now time.Duration) {
	if p.checked == 0 || now-p.checked >= recheckInterval {
		p.uncertain, p.checked = true, now
	}
}

// NotContacted tells the Publisher that no balancer has contacted the agent for a while,
// so the entry may be missing. A renewal is the cheapest call that shows whether the lease
// still exists; the entry itself is read less often.
func (p *Publisher) NotContacted(now time.Duration) {
	if now-p.checked >= idleReadInterval {
		p.EntryMissing(now)
		return
	}
	p.renewSoon = true
}

// ObserveEra records an era of the store. A later era means that the store was restored
// from an older copy, so earlier writes and leases may be lost: the entry is read within
// the given time, and before any other call. The ID of the lease may have been granted
// again to another agent, and ending or renewing that lease would remove the other
// agent's entry or keep it after that agent is gone.
func (p *Publisher) ObserveEra(now time.Duration, era uint64, within time.Duration) {
	if era <= p.era {
		return
	}
	p.era = era
	if p.lease.ID != 0 || p.written != nil || p.withdrawn {
		p.restored, p.verifyAt = true, now+within
	}
}

// Listed reports whether the entry is in the store as far as is known.
func (p *Publisher) Listed() bool { return p.written != nil && !p.uncertain }

// Next returns the call that is due.
func (p *Publisher) Next(now time.Duration) Step {
	step := p.next(now)
	if p.restored && (step != StepNone || p.withdrawn || now >= p.verifyAt) {
		return StepRead
	}
	return step
}

// next returns the call that is due, regardless of a restore of the store.
func (p *Publisher) next(now time.Duration) Step {
	switch {
	case p.inherit:
		return StepRead
	case p.withdrawn:
		return p.nextWithdrawn()
	case p.wanted == nil:
		return p.nextUndecided(now)
	}
	switch {
	case p.lease.ID == 0:
		return StepGrant
	case p.uncertain:
		return StepRead
	case !bytes.Equal(p.written, p.wanted):
		return StepWrite
	}
	return p.nextRenewal(now)
}

// nextRenewal returns StepRenew if the renewal of the lease is due.
func (p *Publisher) nextRenewal(now time.Duration) Step {
	if p.renewSoon || now-p.renewed >= p.lease.TTL/renewDivisor {
		return StepRenew
	}
	return StepNone
}

// nextUndecided returns the call that is due before Want is first called: StepRenew if the
// lease of an inherited entry is due for renewal.
func (p *Publisher) nextUndecided(now time.Duration) Step {
	if p.lease.ID == 0 {
		return StepNone
	}
	return p.nextRenewal(now)
}

// nextWithdrawn returns StepEnd if there is a lease; the store removes the entry with the
// lease.
func (p *Publisher) nextWithdrawn() Step {
	if p.lease.ID != 0 {
		return StepEnd
	}
	return StepNone
}

// Due returns the time until a call becomes due if nothing else happens.
func (p *Publisher) Due(now time.Duration) time.Duration {
	due := leaseTTL
	if p.lease.ID != 0 {
		due = p.renewed + p.lease.TTL/renewDivisor - now
	}
	if p.restored {
		due = min(due, p.verifyAt-now)
	}
	return max(0, due)
}

// Write returns the write of StepWrite.
func (p *Publisher) Write() platform.Write {
	return platform.Write{Key: p.key, Expected: p.at, Value: p.wanted, Lease: p.lease.ID}
}

// Granted records the lease that StepGrant obtained with a call made at the time sent.
func (p *Publisher) Granted(lease platform.Lease, sent time.Duration) {
	p.lease, p.renewed = lease, sent
}

// Renewed records the outcome of StepRenew.
func (p *Publisher) Renewed(err error, sent time.Duration) {
	p.renewSoon = false
	switch {
	case err == nil:
		p.renewed = sent
	case errors.Is(err, platform.ErrLeaseEnded):
		p.leaseLost()
	}
}

// Ended records the outcome of StepEnd. Once the lease has ended, an earlier write under
// it whose outcome is unknown can no longer take effect.
func (p *Publisher) Ended(err error) {
	if err == nil || errors.Is(err, platform.ErrLeaseEnded) {
		p.leaseLost()
	}
}

// leaseLost records that the lease has ended. The store removes an entry with its lease,
// so the entry is read before the next write.
func (p *Publisher) leaseLost() {
	p.lease, p.uncertain = platform.Lease{}, true
}

// Wrote records the outcome of StepWrite.
func (p *Publisher) Wrote(text []byte, at store.Position, err error) {
	switch {
	case err == nil:
		p.written, p.at, p.asOf = text, at, max(p.asOf, at)
	case errors.Is(err, platform.ErrLeaseEnded):
		p.leaseLost()
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrOutcomeUnknown):
		p.uncertain = true
	}
}

// Read records the outcome of StepRead. asOf is the store's position when it read the entry,
// 0 if the position is not known.
func (p *Publisher) Read(item platform.Item, asOf store.Position, err error) {
	switch {
	case errors.Is(err, store.ErrNotFound):
		p.written, p.at, p.uncertain = nil, 0, false
	case err == nil:
		p.written, p.at, p.uncertain = item.Value, item.At, false
	default:
		return
	}
	p.asOf = max(p.asOf, asOf)
	switch {
	case p.inherit:
		p.adoptLease(item.Lease)
	case p.restored:
		p.verify(item)
	}
	p.inherit, p.restored = false, false
}

// adoptLease continues with the lease of the entry that was read. The remaining time of the
// lease is not known, so the lease is renewed at once.
func (p *Publisher) adoptLease(lease uint64) {
	if lease != 0 {
		p.lease, p.renewSoon = platform.Lease{ID: lease, TTL: leaseTTL}, true
	}
}

// verify continues with the lease that the entry has in the restored store: that lease
// was granted before the copy was made, so its ID has not been granted again. Without an
// entry, or with an entry of another writer under another lease, the ID of this agent's
// lease may now belong to another agent; the lease is abandoned and expires by itself.
func (p *Publisher) verify(item platform.Item) {
	own := item.Lease == p.lease.ID
	if _, err := decodeEntry(item); err != nil && !own {
		item.Lease = 0
	}
	p.lease = platform.Lease{}
	p.adoptLease(item.Lease)
}
