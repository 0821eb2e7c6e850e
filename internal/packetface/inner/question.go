package inner

import (
	"encoding/binary"

	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

// Questions for the owner of a flow, and their answers.

// Question asks whether an upstream holds a flow. Acknowledged is what the
// caller has acknowledged: it tells two answers to copies of one opening packet
// apart.
type Question struct {
	Flow         platform.Flow
	Acknowledged uint32
}

// AskHead is what a datagram of KindAsk says beside its questions.
type AskHead struct {
	// Service and Cold are the same as in Poll.
	Service uint64
	Cold    Cold
}

// AppendAsk appends a datagram of KindAsk with MaxQuestions at most.
func AppendAsk(b []byte, head AskHead, questions []Question) []byte {
	b = binary.BigEndian.AppendUint64(append(b, byte(KindAsk)), head.Service)
	b = appendCold(b, head.Cold)
	for i := range questions {
		b = appendFlow(b, questions[i].Flow)
		b = binary.BigEndian.AppendUint32(b, questions[i].Acknowledged)
	}
	return b
}

// ParseAsk reads a datagram of KindAsk and appends its questions.
func ParseAsk(questions []Question, b []byte) (all []Question, head AskHead, err error) {
	if KindOf(b) != KindAsk || len(b) <= askHead || (len(b)-askHead)%questionSize != 0 {
		return questions, AskHead{}, ErrDatagram
	}
	head = AskHead{Service: binary.BigEndian.Uint64(b[1:]), Cold: parseCold(b[9:])}
	for b = b[askHead:]; len(b) > 0; b = b[questionSize:] {
		questions = append(questions, Question{Flow: parseFlow(b), Acknowledged: binary.BigEndian.Uint32(b[flowSize:])})
	}
	return questions, head, nil
}

// Answer is an agent's verdict on a flow.
type Answer struct {
	Flow    platform.Flow
	Verdict Verdict
}

// AppendAnswerHead appends the head of a datagram of KindAnswer; AppendAnswer
// appends its answers. The listing is the newest that the agent has heard of: a
// balancer that knows an older one may lack the agent that holds a flow.
func AppendAnswerHead(b []byte, listing store.Position) []byte {
	return appendPosition(append(b, byte(KindAnswer)), listing)
}

// AppendAnswer appends one answer after AppendAnswerHead.
func AppendAnswer(b []byte, a Answer) []byte {
	return appendFlow(append(b, byte(a.Verdict)), a.Flow)
}

// ParseAnswers reads a datagram of KindAnswer and appends its answers.
func ParseAnswers(answers []Answer, b []byte) (all []Answer, listing store.Position, err error) {
	if KindOf(b) != KindAnswer || len(b) <= answerHead || (len(b)-answerHead)%verdictSize != 0 {
		return answers, 0, ErrDatagram
	}
	listing = parsePosition(b[1:])
	for b = b[answerHead:]; len(b) > 0; b = b[verdictSize:] {
		answers = append(answers, Answer{Verdict: Verdict(b[0]), Flow: parseFlow(b[1:])})
	}
	return answers, listing, nil
}
