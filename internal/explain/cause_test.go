package explain_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/explain"
)

const (
	frontLog = `{"time":"2026-03-10T14:59:00Z","msg":"Starting.","part":"daemon","host":"front-1"}
{"time":"2026-03-10T14:59:00Z","msg":"Started.","part":"packet-balancer","data":"10.0.0.1:7000"}
{"time":"2026-03-10T14:59:30Z","msg":"service-short","part":"packet-balancer","reason":"results","took_ms":250,"count":9}
{"time":"2026-03-10T14:59:40Z","msg":"service-has-room","part":"packet-balancer","reason":"results","took_ms":9000,"count":9}
{"time":"2026-03-10T14:59:58Z","msg":"service-short","part":"packet-balancer","reason":"exams","took_ms":250,"count":3}
{"time":"2026-03-10T15:00:01Z","msg":"placed","part":"packet-balancer","flow":"100.64.0.1:5>198.18.0.1:443","agent":"10.0.0.2:7000","version":7}
{"time":"2026-03-10T15:00:01.12Z","msg":"placed-again","part":"packet-balancer","flow":"100.64.0.1:5>198.18.0.1:443","agent":"10.0.0.3:7000","count":1}
{"time":"2026-03-10T15:00:01.13Z","msg":"reset","part":"packet-balancer","flow":"100.64.0.1:5>198.18.0.1:443","reason":"all-returned-overloaded","age_ms":12,"count":2}
{"time":"2026-03-10T15:00:01.25Z","msg":"reset","part":"packet-balancer","flow":"100.64.0.1:6>198.18.0.1:443","reason":"service-overloaded","age_ms":210,"agents":3,"bar":"2/131","standing":"2/40"}
{"time":"2026-03-10T15:00:01.5Z","msg":"dropped","part":"packet-balancer","flow":"100.64.0.1:7>198.18.0.1:443","reason":"service-overloaded-copy"}
{"time":"2026-03-10T15:00:02Z","msg":"reset","part":"packet-balancer","flow":"100.64.0.1:8>198.18.0.1:443","reason":"held-by-none","age_ms":20}`
	side2Log = `{"time":"2026-03-10T14:59:00Z","msg":"Started.","part":"packet-agent","host":"side-2","data":"10.0.0.2:7000"}
{"time":"2026-03-10T15:00:01.12Z","msg":"refused","part":"packet-agent","flow":"100.64.0.1:5>198.18.0.1:443","balancer":"10.0.0.1:7100","reason":"hopeless","running":4,"heartbeat_age_ms":90,"took_ms":119}
{"time":"2026-03-10T15:00:01.12Z","msg":"returned","part":"packet-agent","flow":"100.64.0.1:5>198.18.0.1:443","balancer":"10.0.0.1:7100","reason":"overloaded","running":4}
{"time":"2026-03-10T15:00:03Z","msg":"waited","part":"packet-agent","flow":"100.64.0.1:9>198.18.0.1:443","reason":"opening-late","running":4,"took_ms":1300}
{"time":"2026-03-10T15:00:04Z","msg":"waited","part":"packet-agent","flow":"100.64.0.1:9>198.18.0.1:443","reason":"late","running":4,"took_ms":200}
{"time":"2026-03-10T15:00:05Z","msg":"abandoned","part":"packet-agent","flow":"100.64.0.1:10>198.18.0.1:443","reason":"attempt-ended","running":4,"took_ms":1400}`
	side3Log = `{"time":"2026-03-10T15:00:01.125Z","msg":"refused","part":"packet-agent","host":"side-3","flow":"100.64.0.1:5>198.18.0.1:443","balancer":"10.0.0.9:7100","reason":"overloaded","running":4}`
)

func TestCausesLeadToWhoRefusedAndOnWhoseFigures(t *testing.T) {
	var all []explain.Line
	for _, text := range []string{frontLog, side2Log, side3Log} {
		all = append(all, readLines(NewWithT(t), text, "log")...)
	}
	cases := []struct {
		name, flow string
		want       []string
	}{
		{"refused by the agents that were tried", "100.64.0.1:5>", []string{
			"15:00:01.120 side-2 refused the opening packet from front-1 after it had held it for 119ms: the caller would have given up before its upstream could answer (4 requests running, last heartbeat 90ms before). No request of the flow has run.",
			"15:00:01.125 side-3 refused the opening packet from 10.0.0.9:7100 at once: more callers asked than its upstream has room for, and this one was below the agent's bar (4 requests running). No request of the flow has run.",
			"15:00:01.130 front-1 refused the flow after 2 agents had returned it, refused by side-2, side-3 (figures of agents up to 12ms old). No request of the flow has run. It had found exams short of room for 3.38s.",
		}},
		{"refused by the balancer", "100.64.0.1:6>", []string{
			"15:00:01.250 front-1 refused the flow without trying an agent, as the agents of the service refuse callers of this rank (figures of 3 agents up to 210ms old; bar priority 2 rank 131, this flow priority 2 rank 40). No request of the flow has run. It had found exams short of room for 3.5s.",
		}},
		{"a copy", "100.64.0.1:7>", []string{
			"15:00:01.500 front-1 dropped a copy of the opening packet without trying an agent, as the agents of the service refuse callers of this rank; it sent no reset, as an upstream may have accepted an earlier copy. It had found exams short of room for 3.75s.",
		}},
		{"given up", "100.64.0.1:10>", []string{
			"15:00:05.000 side-2 dropped the opening packet: its caller no longer waited for the flow to be accepted. It had waited for 1.4s (4 requests running) and has not run here.",
		}},
		{"another cause", "100.64.0.1:8>", nil},
		{"late, not refused", "100.64.0.1:9>", []string{
			"15:00:03.000 side-2 held the opening packet for 1.3s, as its upstream had no room (4 requests running), and passed it on because there was room and nothing in time waited.",
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(explain.FlowHistory(all, c.flow, time.Second).Causes).To(Equal(c.want))
		})
	}
}
