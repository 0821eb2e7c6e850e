package ticket

// mark is the state of one nonce in the ledger.
type mark uint8

const (
	// markUnused means that the nonce was issued and not used.
	markUnused mark = iota
	// markSpent means that the nonce may have run and that its answer isn't recorded
	// any more.
	markSpent
	// markVoided means that the nonce has not run and never will.
	markVoided
	// markHeld means that the window has an entry for the nonce.
	markHeld
)

const (
	marksPerByte = 4
	markBits     = 2
	markMask     = 1<<markBits - 1
)

// ledger stores the mark of each of the last issued nonces, up to its span, in two bits
// per nonce. The storage is a ring. Nonces below low are no longer stored.
type ledger struct {
	bits []byte
	low  uint64 // lowest nonce that is still stored
	next uint64 // next nonce to issue
}

func newLedger(span int) ledger {
	bytes := (span + marksPerByte - 1) / marksPerByte
	return ledger{bits: make([]byte, bytes)}
}

func (l *ledger) span() uint64 {
	return uint64(len(l.bits)) * marksPerByte
}

// issue returns the next nonce. When the ring is full, the mark of the oldest nonce is
// overwritten.
func (l *ledger) issue() uint64 {
	n := l.next
	l.next++
	if l.next-l.low > l.span() {
		l.low++
	}
	l.set(n, markUnused)
	return n
}

// known reports whether the ledger stores a mark for n.
func (l *ledger) known(n uint64) bool {
	return n >= l.low && n < l.next
}

// get returns the mark of a nonce. A nonce without a stored mark counts as spent,
// because nothing proves that it has not run.
func (l *ledger) get(n uint64) mark {
	if !l.known(n) {
		return markSpent
	}
	i, shift := l.position(n)
	return mark(l.bits[i]>>shift) & markMask
}

// set changes the mark of a nonce. It does nothing for a nonce that isn't stored.
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
