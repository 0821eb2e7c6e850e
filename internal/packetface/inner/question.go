package inner

import (
	"encoding/binary"

	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

// Datagrams that search for the owner of a flow, the agent whose upstream holds it.

// Question asks whether an agent's upstream holds a flow. Acknowledged is the
// acknowledgement number of the caller's packet. If two upstreams have answered copies of
// one opening packet, Acknowledged identifies the one whose answer the caller accepted.
type Question struct {
	Flow         platform.Flow
	Acknowledged uint32
}

// AskHead is the header of a datagram of KindAsk.
type AskHead struct {
	// Service and Cold have the same meaning as in Poll.
	Service uint64
	Cold    Cold
}

// AppendAsk appends a datagram of KindAsk with at most MaxQuestions questions.
func AppendAsk(b []byte, head AskHead, questions []Question) []byte {
	b = binary.BigEndian.AppendUint64(append(b, byte(KindAsk)), head.Service)
	b = appendCold(b, head.Cold)
	for i := range questions {
		b = appendFlow(b, questions[i].Flow)
		b = binary.BigEndian.AppendUint32(b, questions[i].Acknowledged)
	}
	return b
}

// ParseAsk decodes a datagram of KindAsk and appends its questions to the given ones.
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

// Answer is an agent's response to a Question.
type Answer struct {
	Flow    platform.Flow
	Verdict Verdict
}

// AppendAnswerHead appends the header of a datagram of KindAnswer; AppendAnswer appends
// the answers. listing is the highest store position that the agent knows. A balancer
// whose agent list is older may lack the agent that holds a flow.
func AppendAnswerHead(b []byte, listing store.Position) []byte {
	return appendPosition(append(b, byte(KindAnswer)), listing)
}

// AppendAnswer appends one answer after AppendAnswerHead.
func AppendAnswer(b []byte, a Answer) []byte {
	return appendFlow(append(b, byte(a.Verdict)), a.Flow)
}

// ParseAnswers decodes a datagram of KindAnswer and appends its answers to the given
// ones.
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
