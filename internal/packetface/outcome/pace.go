package outcome

import (
	"net/netip"
	"time"
)

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
	// maxFaces bounds the faces whose pace is learned; an answer on any other is never
	// fast. A service stands behind a few.
	maxFaces = 64
)

// fast learns from an answer and reports whether it took too little time to be one.
func (j *Judge) fast(face netip.AddrPort, took time.Duration) bool {
	p := j.paces[face]
	if p == nil {
		if len(j.paces) >= maxFaces {
			return false
		}
		if j.paces == nil {
			j.paces = make(map[netip.AddrPort]*pace)
		}
		p = &pace{}
		j.paces[face] = p
	}
	fast := p.fast(took)
	p.add(took)
	return fast
}

// pace is how long the upstream's answers on one face usually take.
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
