package registry

import (
	"bytes"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

// Times of an agent's entry.
const (
	// leaseTTL is the lease of an entry. It is long, so that an outage does not
	// end it: balancers see by themselves that an agent is gone.
	leaseTTL = 30 * time.Second
	// renewDivisor is the part of a lease after which it is renewed.
	renewDivisor = 3
	// recheckInterval bounds how often the entry is looked for on a hint that it
	// is gone.
	recheckInterval = 500 * time.Millisecond
	// idleReadInterval is the same for an agent that no balancer calls.
	idleReadInterval = 20 * time.Second
)

// Step is a call of the store that is due.
type Step uint8

// Steps.
const (
	StepNone Step = iota
	StepGrant
	StepRead
	StepWrite
	StepRenew
	StepEnd
)

var stepNames = [...]string{"none", "grant", "read", "write", "renew", "end"}

// String returns the step's name in logs.
func (s Step) String() string { return stepNames[s] }

// Publisher decides which call keeps an agent's entry as it is wanted. Times
// are counted by the steady clock.
type Publisher struct {
	key string
	// wanted is the text that is to be in the store, nil for none.
	wanted []byte
	// written is the text that is known to be there, nil for none.
	written []byte
	at      store.Position
	lease   platform.Lease
	renewed time.Duration
	// renewSoon asks for a renewal before its time.
	renewSoon bool
	// uncertain tells that a write may have been done or undone: read first.
	uncertain  bool
	checked time.Duration
	// inherit asks for what a process before this one has left, withdrawn tells that
	// no entry is to be there whoever wrote it.
	inherit, withdrawn bool
	// asOf is the store's position that this process itself has last seen.
	asOf store.Position
	// era is the highest that was heard of. returned tells that the store came back from
	// a copy since the entry was last read, verifyAt when it is read at the latest.
	era      uint64
	returned bool
	verifyAt time.Duration
}

// NewPublisher returns the Publisher of a process without memory.
func NewPublisher(key string) *Publisher { return &Publisher{key: key} }

// Inherit asks to look first for the entry that a process before this one left at the
// address, and to go on under its lease. A restart then costs a reading and a renewal,
// where an entry of its own cost four calls (grant, write, read, write) and a change
// that every balancer has to hear of.
func (p *Publisher) Inherit() { p.inherit = true }

// Want sets the text that is to be in the store, nil for none. Before its first call
// an entry that is there stays: the upstream may live.
func (p *Publisher) Want(text []byte) { p.wanted, p.withdrawn = text, text == nil }

// Hint tells that the entry may be gone.
func (p *Publisher) Hint(now time.Duration) {
	if p.checked == 0 || now-p.checked >= recheckInterval {
		p.uncertain, p.checked = true, now
	}
}

// Idle tells that no balancer has called for a while: the entry may be gone. A
// renewal is the cheapest call that tells whether the lease lives; the entry
// itself is looked for more rarely.
func (p *Publisher) Idle(now time.Duration) {
	if now-p.checked >= idleReadInterval {
		p.Hint(now)
		return
	}
	p.renewSoon = true
}

// ObserveEra notes an era of the store. In a later one the store came back from a copy, and
// nothing that was written or granted is certain: the entry is read within a time, and
// before any other call. The number of a lease may be another's now, and ending or
// renewing it would end that one's entry, or keep one that is gone.
func (p *Publisher) ObserveEra(now time.Duration, era uint64, within time.Duration) {
	if era <= p.era {
		return
	}
	p.era = era
	if p.lease.ID != 0 || p.written != nil || p.withdrawn {
		p.returned, p.verifyAt = true, now+within
	}
}

// Listed reports whether the entry is in the store as far as is known.
func (p *Publisher) Listed() bool { return p.written != nil && !p.uncertain }

// Next returns the call that is due.
func (p *Publisher) Next(now time.Duration) Step {
	step := p.next(now)
	if p.returned && (step != StepNone || p.withdrawn || now >= p.verifyAt) {
		return StepRead
	}
	return step
}

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

// nextRenewal returns StepRenew when the lease is to be renewed.
func (p *Publisher) nextRenewal(now time.Duration) Step {
	if p.renewSoon || now-p.renewed >= p.lease.TTL/renewDivisor {
		return StepRenew
	}
	return StepNone
}

// nextUndecided keeps an inherited entry until the upstream tells what is wanted.
func (p *Publisher) nextUndecided(now time.Duration) Step {
	if p.lease.ID == 0 {
		return StepNone
	}
	return p.nextRenewal(now)
}

func (p *Publisher) nextWithdrawn() Step {
	if p.lease.ID != 0 {
		return StepEnd
	}
	return StepNone
}

// Due returns the time until a call is due, if nothing else happens.
func (p *Publisher) Due(now time.Duration) time.Duration {
	due := leaseTTL
	if p.lease.ID != 0 {
		due = p.renewed + p.lease.TTL/renewDivisor - now
	}
	if p.returned {
		due = min(due, p.verifyAt-now)
	}
	return max(0, due)
}

// Write returns the write of StepWrite.
func (p *Publisher) Write() platform.Write {
	return platform.Write{Key: p.key, Expected: p.at, Value: p.wanted, Lease: p.lease.ID}
}

// Granted takes the answer to StepGrant, whose call was sent at the time.
func (p *Publisher) Granted(lease platform.Lease, sent time.Duration) {
	p.lease, p.renewed = lease, sent
}

// Renewed takes the answer to StepRenew.
func (p *Publisher) Renewed(err error, sent time.Duration) {
	p.renewSoon = false
	switch {
	case err == nil:
		p.renewed = sent
	case errors.Is(err, platform.ErrLeaseEnded):
		p.leaseLost()
	}
}

// Ended takes the answer to StepEnd. A write under the lease whose outcome is
// unknown can't be done any more after it.
func (p *Publisher) Ended(err error) {
	if err == nil || errors.Is(err, platform.ErrLeaseEnded) {
		p.leaseLost()
	}
}

// leaseLost notes that the lease has ended, and the entry with it.
func (p *Publisher) leaseLost() {
	p.lease, p.uncertain = platform.Lease{}, true
}

// Wrote takes the answer to StepWrite.
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

// Read takes the answer to StepRead, and the store's position at the time, 0 where it
// is not known.
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
	case p.returned:
		p.verify(item)
	}
	p.inherit, p.returned = false, false
}

// adoptLease goes on under the lease of an inherited entry. How much of it is left is
// not known, so it is renewed at once.
func (p *Publisher) adoptLease(lease uint64) {
	if lease != 0 {
		p.lease, p.renewSoon = platform.Lease{ID: lease, TTL: leaseTTL}, true
	}
}

// verify goes on under the lease that the entry has in a copy of the store, as its number
// was not given out again. Without an entry, or under one of another writer, the own
// lease proves nothing: it is left to end by itself.
func (p *Publisher) verify(item platform.Item) {
	own := item.Lease == p.lease.ID
	if _, err := decodeEntry(item); err != nil && !own {
		item.Lease = 0
	}
	p.lease = platform.Lease{}
	p.adoptLease(item.Lease)
}
