package outcome

import (
	"net/netip"
	"time"
)

const (
	// fastDivisor is the divisor of the average response time that gives the time below
	// which an answer counts as fast. For work that varies as widely as its mean, one
	// answer in some thousands takes less.
	fastDivisor = 6
	// minSamples is the number of answers below which none counts as fast.
	minSamples = 64
	// fastLimitDivisor gives the share of fast answers, as one in that many, above which
	// fast answers are normal for the service and prove no failure.
	fastLimitDivisor = 16
	// maxSamples is the number of answers at which the counts are halved, so that older
	// answers weigh less.
	maxSamples = 4096
	// averageDivisor gives the weight of a new answer in the moving average of the response
	// time, as one in that many.
	averageDivisor = 32
	// maxFaces bounds the faces whose response times are tracked; an answer on any other
	// face never counts as fast. A service uses only a few faces.
	maxFaces = 64
)

// fast records the response time of an answer and reports whether it is too short for a
// regular answer.
func (j *Judge) fast(face netip.AddrPort, took time.Duration) bool {
	p := j.byFace[face]
	if p == nil {
		if len(j.byFace) >= maxFaces {
			return false
		}
		if j.byFace == nil {
			j.byFace = make(map[netip.AddrPort]*responseTimes)
		}
		p = &responseTimes{}
		j.byFace[face] = p
	}
	fast := p.fast(took)
	p.add(took)
	return fast
}

// responseTimes tracks how long the upstream's answers on one face usually take.
type responseTimes struct {
	average            time.Duration
	answers, fastCount int
}

// fast reports whether a response time is too short for a regular answer.
func (p *responseTimes) fast(took time.Duration) bool {
	if p.answers < minSamples || p.fastCount*fastLimitDivisor > p.answers {
		return false
	}
	return took < p.average/fastDivisor
}

// add records the response time of an answer.
func (p *responseTimes) add(took time.Duration) {
	if p.answers >= maxSamples {
		p.answers, p.fastCount = p.answers/2, p.fastCount/2
	}
	p.answers++
	switch {
	case took < p.average/fastDivisor:
		p.fastCount++
	case p.average == 0:
		p.average = took
	default:
		p.average += (took - p.average) / averageDivisor
	}
}
