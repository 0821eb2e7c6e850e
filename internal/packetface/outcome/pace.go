package outcome

import "time"

const (
	// fastPart is the part of the usual time below which an answer counts as fast:
	// of work that is spread as widely as its mean, one in some thousands is.
	fastPart = 6
	// learned is the number of answers before which none counts as fast.
	learned = 64
	// fastShare is the share of fast answers, as one in so many, from which on they
	// belong to the service and say nothing.
	fastShare = 16
	// remembered is the number of answers after which the older ones count half.
	remembered = 4096
	// usualWeight is the part of a new answer in the usual time, as one in so many.
	usualWeight = 32
)

// pace is how long the upstream's answers usually take.
type pace struct {
	usual          time.Duration
	answers, quick int
}

// fast reports whether an answer took too little time to be one.
func (p *pace) fast(took time.Duration) bool {
	if p.answers < learned || p.quick*fastShare > p.answers {
		return false
	}
	return took < p.usual/fastPart
}

// add learns from an answer.
func (p *pace) add(took time.Duration) {
	if p.answers >= remembered {
		p.answers, p.quick = p.answers/2, p.quick/2
	}
	p.answers++
	switch {
	case took < p.usual/fastPart:
		p.quick++
	case p.usual == 0:
		p.usual = took
	default:
		p.usual += (took - p.usual) / usualWeight
	}
}
