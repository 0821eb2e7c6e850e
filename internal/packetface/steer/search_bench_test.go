package steer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/platform"
)

// BenchmarkAnswer processes one answer to a search among many agents. After a
// simultaneous power loss a balancer processes some hundred answers for each open flow.
func BenchmarkAnswer(b *testing.B) {
	for _, size := range []int{7, 140, 700} {
		b.Run(fmt.Sprintf("agents=%d", size), func(b *testing.B) {
			c := steer.New(steer.Settings{DataCentre: "a", CallerPort: callerPort, Random: rand.New(rand.NewPCG(1, 2))})
			c.SetTable(time.Second, table(), time.Minute)
			var agents []steer.Agent
			for n := range size {
				agents = append(agents, agentAt(n+1, "a"))
			}
			c.SetAgents(time.Second, agents, listAge(1))
			now, answers, flow := 2*time.Second, make([][]byte, size), 0
			b.ReportAllocs()
			next := size
			for b.Loop() {
				if next >= size-1 { // the last would end the search
					b.StopTimer()
					flow++
					now += 10 * time.Millisecond
					_, _ = c.FromCaller(now, packet(caller(flow), 1, 77, platform.FlagACK, 30))
					for n := range answers {
						answers[n] = inner.AppendAnswer(inner.AppendAnswerHead(answers[n][:0], 1), inner.Answer{Flow: caller(flow), Verdict: inner.VerdictNone})
					}
					next = 0
					b.StartTimer()
				}
				_, _ = c.FromAgent(now, agents[next].Addr, answers[next])
				next++
			}
		})
	}
}
