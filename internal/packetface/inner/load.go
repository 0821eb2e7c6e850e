package inner

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/admission"
)

// Load reports how much room the upstream of an agent has for new flows.
type Load struct {
	// Wait is how long an opening packet that arrives now is expected to wait before the
	// upstream begins on its request, in steps of 1 ms up to 65 s.
	Wait time.Duration
	// Utilization is the share of the upstream's slots in use, averaged over a few seconds:
	// 0 to 1, in steps of 1/1000. Requests that wait for a slot do not count.
	Utilization float64
	// Bar is the bar below which the agent refuses opening packets, 0 while it refuses
	// none.
	Bar admission.Standing
	// Epoch is the agent's epoch of ranks.
	Epoch uint8
	// Times are the learned service times of the most frequent priorities.
	Times [2]ServiceTime
}

// ServiceTime is how long an upstream works on a request of a route with the given
// priority, in steps of 0.1 ms up to 6.5 s; Mean is 0 if not known.
type ServiceTime struct {
	Priority uint8
	Mean     time.Duration
}

const (
	loadSize        = 2 + 2 + 2 + 1 + 2*3
	utilizationStep = 1.0 / 1000
	serviceTimeStep = 100 * time.Microsecond
)

func appendLoad(b []byte, l Load) []byte {
	b = appendMillis(b, l.Wait)
	b = binary.BigEndian.AppendUint16(b, uint16(math.Round(min(max(l.Utilization, 0), 1)/utilizationStep)))
	b = binary.BigEndian.AppendUint16(b, uint16(l.Bar))
	b = append(b, l.Epoch)
	for _, t := range l.Times {
		b = binary.BigEndian.AppendUint16(append(b, t.Priority), uint16(min(max(t.Mean/serviceTimeStep, 0), math.MaxUint16)))
	}
	return b
}

func parseLoad(b []byte) (l Load) {
	l.Wait = parseMillis(b)
	l.Utilization = float64(binary.BigEndian.Uint16(b[2:])) * utilizationStep
	l.Bar = admission.Standing(binary.BigEndian.Uint16(b[4:]))
	l.Epoch = b[6]
	for i := range l.Times {
		at := b[7+3*i:]
		l.Times[i] = ServiceTime{Priority: at[0], Mean: time.Duration(binary.BigEndian.Uint16(at[1:])) * serviceTimeStep}
	}
	return l
}
