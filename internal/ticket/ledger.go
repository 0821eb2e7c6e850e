package ticket

// mark is what the ledger keeps of one nonce.
type mark uint8

const (
	// markUnused says that the nonce was issued and never used.
	markUnused mark = iota
	// markSpent says that the nonce may have run and its record is gone.
	markSpent
	// markVoided says that the nonce never ran and never will.
	markVoided
	// markHeld says that the window holds an entry for the nonce.
	markHeld
)

const (
	marksPerByte = 4
	markBits     = 2
	markMask     = 1<<markBits - 1
)

// ledger keeps two bits for each of the last span issued nonces, in a ring.
// All nonces below low are forgotten: that whole range is one number.
type ledger struct {
	bits []byte
	low  uint64 // first nonce that is still known
	next uint64 // next nonce to issue
}

func newLedger(span int) ledger {
	bytes := (span + marksPerByte - 1) / marksPerByte
	return ledger{bits: make([]byte, bytes)}
}

func (l *ledger) span() uint64 {
	return uint64(len(l.bits)) * marksPerByte
}

// issue returns the next nonce and forgets the oldest when the ring is full.
func (l *ledger) issue() uint64 {
	n := l.next
	l.next++
	if l.next-l.low > l.span() {
		l.low++
	}
	l.set(n, markUnused)
	return n
}

// known reports whether the ledger still tells about n.
func (l *ledger) known(n uint64) bool {
	return n >= l.low && n < l.next
}

// get returns the mark of a known nonce; any other counts as spent, because
// it can't be shown not to have run.
func (l *ledger) get(n uint64) mark {
	if !l.known(n) {
		return markSpent
	}
	i, shift := l.position(n)
	return mark(l.bits[i]>>shift) & markMask
}

// set changes the mark of a known nonce; it does nothing for any other.
func (l *ledger) set(n uint64, m mark) {
	if !l.known(n) {
		return
	}
	i, shift := l.position(n)
	l.bits[i] = l.bits[i]&^(markMask<<shift) | byte(m)<<shift
}

func (l *ledger) position(n uint64) (index int, shift uint) {
	slot := n % l.span()
	return int(slot / marksPerByte), uint(slot%marksPerByte) * markBits
}
