package ticket

import (
	"net/netip"
	"slices"
)

// maxSpent bounds the nonces that a closing names; it speaks of fewer tickets
// rather than naming more.
const maxSpent = 1 << 17

// Closing is the last word of an incarnation that stops in good order: which
// of its tickets may have run. The others never did and never will, so any
// process that holds the closing may say so. It is immutable.
type Closing struct {
	Home        netip.AddrPort
	Incarnation uint64
	// Low and Next bound the nonces that the closing speaks of: from Low, below
	// Next.
	Low  uint64
	Next uint64
	// Spent are the nonces in that range that may have run, ascending.
	Spent []uint64
}

// Outcome returns what the closing says of a nonce: NotRun or Unknown.
func (c *Closing) Outcome(nonce uint64) Outcome {
	if nonce < c.Low || nonce >= c.Next {
		return Unknown
	}
	if _, spent := slices.BinarySearch(c.Spent, nonce); spent {
		return Unknown
	}
	return NotRun
}

// Close ends the window: what is queued and unused is voided in this step, and
// nothing is started any more. What runs may still finish. It returns the
// nonces of the requests that were queued.
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

// Closing returns the last word of a closed window; Home and Incarnation are
// left to the caller. An open window has none: what is unused may yet run.
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
