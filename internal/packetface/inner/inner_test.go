package inner_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/packetface/admission"
	"github.com/saltbend/saltbend/internal/packetface/evacuation"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

func drawFlow(t *rapid.T) platform.Flow {
	return platform.Flow{
		Caller:     [4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "caller")),
		Face:       [4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "face")),
		CallerPort: rapid.Uint16().Draw(t, "callerPort"), FacePort: rapid.Uint16().Draw(t, "facePort"),
	}
}

func drawVersions(t *rapid.T) inner.Versions {
	return inner.Versions{Version: rapid.Uint64().Draw(t, "version"), Listing: store.Position(rapid.Uint64().Draw(t, "listing"))}
}

func drawCold(t *rapid.T) inner.Cold {
	return inner.Cold{Rate: rapid.Uint16().Draw(t, "rate"), Warmup: time.Duration(rapid.Uint16().Draw(t, "warmup")) * time.Millisecond}
}

func drawEvacuation(t *rapid.T) evacuation.State {
	return evacuation.State{Evacuated: rapid.Bool().Draw(t, "evacuated"), AsOf: store.Position(rapid.Uint64().Draw(t, "as of"))}
}

func drawTerms(t *rapid.T) inner.Terms {
	return inner.Terms{
		Priority: rapid.Byte().Draw(t, "priority"), TargetLatency: 8 * time.Millisecond * time.Duration(rapid.Byte().Draw(t, "target latency")),
		Timeout: 64 * time.Millisecond * time.Duration(rapid.Byte().Draw(t, "timeout")),
	}
}

func drawServiceTime(t *rapid.T) inner.ServiceTime {
	return inner.ServiceTime{Priority: rapid.Byte().Draw(t, "priority"), Mean: 100 * time.Microsecond * time.Duration(rapid.Uint16().Draw(t, "mean"))}
}

func drawLoad(t *rapid.T) inner.Load {
	return inner.Load{
		Wait:        time.Duration(rapid.Uint16().Draw(t, "wait")) * time.Millisecond,
		Utilization: float64(rapid.IntRange(0, 1000).Draw(t, "utilization")) * (1.0 / 1000),
		Bar:         admission.Standing(rapid.Uint16().Draw(t, "bar")), Epoch: rapid.Byte().Draw(t, "epoch"),
		Times: [2]inner.ServiceTime{drawServiceTime(t), drawServiceTime(t)},
	}
}

func TestParsedDatagramsEqualWhatWasAppended(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		packet := rapid.SliceOfN(rapid.Byte(), 0, platform.MaxPacketSize).Draw(t, "packet")
		flags := inner.Flags(rapid.Byte().Draw(t, "flags"))

		open := inner.Open{Flags: flags, Hops: rapid.Byte().Draw(t, "hops"), Service: rapid.Uint64().Draw(t, "service"), Slots: rapid.Uint16().Draw(t, "open slots"), Versions: drawVersions(t), Evacuation: drawEvacuation(t), Cold: drawCold(t)}
		if flags&inner.FlagTerms != 0 {
			open.Terms, open.Epoch = drawTerms(t), rapid.Byte().Draw(t, "epoch")
		}
		b := inner.AppendOpen(nil, open, packet)
		g.Expect(len(b)).To(BeNumerically("<=", inner.MaxSize))
		gotOpen, gotPacket, err := inner.ParseOpen(b)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(gotOpen).To(Equal(open))
		g.Expect(string(gotPacket)).To(Equal(string(packet)))

		forward := inner.Forward{Flags: flags, Terms: drawTerms(t)}
		gotForward, gotPacket, err := inner.ParseForward(inner.AppendForward(nil, forward, packet))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(gotForward).To(Equal(forward))
		g.Expect(string(gotPacket)).To(Equal(string(packet)))

		known := drawVersions(t)
		poll := inner.Poll{Flags: flags, Service: rapid.Uint64().Draw(t, "poll service"), Versions: known, Evacuation: drawEvacuation(t), Cold: drawCold(t)}
		gotPoll, err := inner.ParsePoll(inner.AppendPoll(nil, poll))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(gotPoll).To(Equal(poll))

		status := inner.Status{
			State: inner.State(rapid.Byte().Draw(t, "state")), Incarnation: rapid.Uint64().Draw(t, "incarnation"), Versions: known,
			Running: rapid.Uint16().Draw(t, "running"), Slots: rapid.Uint16().Draw(t, "slots"), Flows: rapid.Uint32().Draw(t, "flows"),
			StateFor:  time.Duration(rapid.Uint32().Draw(t, "latency")) * time.Millisecond,
			Balancers: rapid.Uint16().Draw(t, "balancers"), Cold: rapid.Bool().Draw(t, "cold"),
			Source:     [4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "source")),
			Evacuation: drawEvacuation(t), ResponseTime: time.Duration(rapid.Uint16().Draw(t, "answer")) * time.Millisecond,
		}
		status.Stopping = rapid.Bool().Draw(t, "stopping")
		status.AcceptsTerms, status.HasLoad = rapid.Bool().Draw(t, "accepts terms"), rapid.Bool().Draw(t, "has load")
		if status.HasLoad {
			status.Load = drawLoad(t)
		}
		gotStatus, err := inner.ParseStatus(inner.AppendStatus(nil, status))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(gotStatus).To(Equal(status))

		returned := inner.Returned{Reason: inner.Reason(rapid.Byte().Draw(t, "reason")), Listing: store.Position(rapid.Uint64().Draw(t, "returned listing")), Running: rapid.Uint16().Draw(t, "returned running")}
		gotReturned, gotPacket, err := inner.ParseReturned(inner.AppendReturned(nil, returned, packet))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(gotReturned).To(Equal(returned))
		g.Expect(string(gotPacket)).To(Equal(string(packet)))

		questions := []inner.Question{{Flow: drawFlow(t), Acknowledged: rapid.Uint32().Draw(t, "acknowledged")}, {Flow: drawFlow(t)}}
		head := inner.AskHead{Service: rapid.Uint64().Draw(t, "ask service"), Cold: drawCold(t)}
		gotQuestions, gotHead, err := inner.ParseAsk(nil, inner.AppendAsk(nil, head, questions))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(gotHead).To(Equal(head))
		g.Expect(gotQuestions).To(Equal(questions))

		answer := inner.Answer{Flow: drawFlow(t), Verdict: inner.VerdictUnknown}
		answers, listing, err := inner.ParseAnswers(nil, inner.AppendAnswer(inner.AppendAnswerHead(nil, known.Listing), answer))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(listing).To(Equal(known.Listing))
		g.Expect(answers).To(Equal([]inner.Answer{answer}))
	})
}

func TestParsedWatchRequestEqualsWhatWasAppended(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		request := inner.WatchRequest{
			Redirected: rapid.Bool().Draw(t, "redirected"), Root: rapid.Bool().Draw(t, "root"),
			SizeOnly: rapid.Bool().Draw(t, "size only"), LargeFleet: rapid.Bool().Draw(t, "large fleet"),
		}
		got, err := inner.ParseWatchRequest(inner.AppendWatchRequest(nil, request))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(request))
	})
}

func TestTermsAreRoundedDownToSteps(t *testing.T) {
	g := NewWithT(t)
	cases := []struct{ targetLatency, timeout, wantTargetLatency, wantTimeout time.Duration }{
		{0, 0, 0, 0},
		{250 * time.Millisecond, 2500 * time.Millisecond, 248 * time.Millisecond, 2496 * time.Millisecond},
		{time.Minute, time.Minute, 2040 * time.Millisecond, 16320 * time.Millisecond},
	}
	for _, c := range cases {
		head := inner.Forward{Flags: inner.FlagLastChoice, Terms: inner.Terms{Priority: 3, TargetLatency: c.targetLatency, Timeout: c.timeout}}
		got, _, err := inner.ParseForward(inner.AppendForward(nil, head, nil))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(inner.Forward{Flags: inner.FlagLastChoice, Terms: inner.Terms{Priority: 3, TargetLatency: c.wantTargetLatency, Timeout: c.wantTimeout}}))
	}
}

func TestLargestAskIsNoLongerThanMaxSize(t *testing.T) {
	g := NewWithT(t)
	g.Expect(len(inner.AppendAsk(nil, inner.AskHead{}, make([]inner.Question, inner.MaxQuestions)))).To(BeNumerically("<=", inner.MaxSize))
}

// FuzzParse passes arbitrary bytes to every parser; none may panic.
func FuzzParse(f *testing.F) {
	f.Add(inner.AppendOpen(nil, inner.Open{}, []byte{1}))
	f.Add(inner.AppendOpen(nil, inner.Open{Flags: inner.FlagTerms}, []byte{1}))
	f.Add(inner.AppendStatus(nil, inner.Status{HasLoad: true}))
	f.Add(inner.AppendAsk(nil, inner.AskHead{}, make([]inner.Question, 2)))
	f.Add(inner.AppendStatus(nil, inner.Status{State: inner.StateReady}))
	f.Add(inner.AppendAnswer(inner.AppendAnswerHead(nil, 1), inner.Answer{}))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		_, _, _ = inner.ParseOpen(b)
		_, _, _ = inner.ParseForward(b)
		_, _ = inner.ParsePoll(b)
		_, _ = inner.ParseStatus(b)
		_, _, _ = inner.ParseReturned(b)
		if questions, _, err := inner.ParseAsk(nil, b); err == nil && len(questions) == 0 {
			t.Fatal("KindAsk without questions was accepted")
		}
		if answers, _, err := inner.ParseAnswers(nil, b); err == nil && len(answers) == 0 {
			t.Fatal("KindAnswer without answers was accepted")
		}
	})
}
