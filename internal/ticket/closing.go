package ticket

import (
	"net/netip"
	"slices"
)

// maxSpent bounds the nonces that a closing lists. If more tickets may have run, the
// closing covers a shorter range of nonces.
const maxSpent = 1 << 17

// Closing is the final record of an incarnation that has stopped gracefully: it lists
// which of its tickets may have run. All other tickets in its range have not run and
// never will, so any process that has the closing may answer "not run" for them. A
// Closing is immutable.
type Closing struct {
	Home        netip.AddrPort
	Incarnation uint64
	// Low and Next are the range of nonces that the closing covers, from Low up to
	// but not including Next.
	Low  uint64
	Next uint64
	// Spent lists the nonces in that range that may have run, in ascending order.
	Spent []uint64
}

// Outcome returns the outcome of a nonce according to the closing: NotRun or Unknown.
func (c *Closing) Outcome(nonce uint64) Outcome {
	if nonce < c.Low || nonce >= c.Next {
		return Unknown
	}
	if _, spent := slices.BinarySearch(c.Spent, nonce); spent {
		return Unknown
	}
	return NotRun
}

// Close closes the window: it voids all queued and unused tickets, and no request is
// started afterwards. Running requests may still finish. It returns the nonces of the
// requests that were queued.
func (w *Window) Close() (voided []uint64) {
	w.closed = true
	for nonce, e := range w.entries {
		if e.state == queued {
			w.drop(e, markVoided)
			voided = append(voided, nonce)
		}
	}
	return voided
}

// Closing returns the final record of a closed window, without Home and Incarnation,
// which the owner of the window sets. ok is false if the window is open, because unused
// tickets may still run.
func (w *Window) Closing() (c Closing, ok bool) {
	if !w.closed {
		return Closing{}, false
	}
	c.Low, c.Next = w.ledger.low, w.ledger.next
	for n := c.Next; n > c.Low; n-- {
		m := w.ledger.get(n - 1)
		if m != markSpent && m != markHeld {
			continue
		}
		if len(c.Spent) == maxSpent {
			c.Low = n
			break
		}
		c.Spent = append(c.Spent, n-1)
	}
	slices.Reverse(c.Spent)
	return c, true
}
