package client

import (
	"time"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/frame"
)

// answerAckInterval is how often the client acknowledges the parts of an answer while parts arrive;
// the owner then resends those that were lost.
const answerAckInterval = 50 * time.Millisecond

// resend sends what is needed next to get the answer: missing parts of the request, or an
// acknowledgement of the answer's parts. When parts have arrived since the last call, it returns the
// time until the next call.
func (f *Flow) resend(p *pendingRequest) (period time.Duration, progressing bool) {
	f.mu.Lock()
	progressed := p.progressed
	p.progressed = false
	var held []byte
	if progressed && p.answerAssembly != nil {
		held = p.answerAssembly.PartsHeld()
	}
	f.mu.Unlock()
	switch {
	case held != nil:
		f.sendAnswerAck(p, held)
		return answerAckInterval, true
	case progressed:
		f.sendRequest(p, true)
		return frame.TransferResendDelay, true
	default:
		f.sendRequest(p, true)
		return 0, false
	}
}

// sendRequest sends the parts of the request that are due. With poll it sends at least one part,
// because the owner replies to every copy of a part with the state of the request.
func (f *Flow) sendRequest(p *pendingRequest, poll bool) {
	remaining := time.Until(p.deadline)
	if remaining <= 0 {
		return
	}
	parts := frame.PartCount(len(p.request.Payload))
	f.mu.Lock()
	dueParts := []int{0}
	if parts > 1 {
		dueParts = p.dueParts(parts, poll)
	}
	p.attempt++
	attempt := p.attempt
	var held []byte
	if p.answerAssembly != nil {
		held = p.answerAssembly.PartsHeld()
	}
	endedBelow := f.endedBelow()
	f.mu.Unlock()
	for _, i := range dueParts {
		request := &wirepb.Request{
			RequestId: p.id, Class: p.request.Class, Idempotent: p.request.Idempotent,
			DeadlineMs: uint32(remaining.Milliseconds()) + 1, Attempt: attempt,
			Part: uint32(i), Parts: uint32(parts), Payload: frame.Part(p.request.Payload, i),
			AnswerPartsHeld: held, EndedBelow: endedBelow,
		}
		fr := &wirepb.Frame{Token: p.token, Body: &wirepb.Frame_Request{Request: request}}
		if !f.send(fr) && held != nil {
			request.AnswerPartsHeld = nil // sent with the next AnswerAck
			f.send(fr)
		}
	}
}

// dueParts returns the parts of a multi-part request to send now; the caller holds the flow's lock.
func (p *pendingRequest) dueParts(parts int, poll bool) []int {
	now := time.Now()
	if p.requestTransfer == nil {
		p.requestTransfer = frame.NewTransfer(now, parts)
	}
	due := p.requestTransfer.DueParts(now)
	if len(due) == 0 && poll {
		return []int{0}
	}
	return due
}

func (f *Flow) handleRequestAck(ack *wirepb.RequestAck) {
	f.mu.Lock()
	p := f.requests[ack.RequestId]
	if p != nil && p.requestTransfer != nil {
		p.requestTransfer.SetPartsHeld(ack.PartsHeld)
		p.progressed = true
	}
	f.mu.Unlock()
	if p != nil {
		f.sendRequest(p, false)
	}
}

func (f *Flow) handleAnswer(answer *wirepb.Answer) {
	f.mu.Lock()
	p := f.requests[answer.RequestId]
	if p == nil || p.answer != nil {
		f.mu.Unlock()
		return
	}
	if p.answerAssembly == nil {
		p.answerAssembly = frame.NewAssembly(int(answer.Parts))
	}
	added := p.answerAssembly.Add(int(answer.Part), int(answer.Parts), answer.Payload)
	p.progressed = p.progressed || added
	var held []byte
	complete := p.answerAssembly.Complete()
	if complete {
		p.answer = p.answerAssembly.Payload()
	} else if added && p.answerAssembly.PartsPresent()%frame.TransferAckInterval == 0 {
		held = p.answerAssembly.PartsHeld()
	}
	f.mu.Unlock()
	if complete {
		f.sendAnswerAck(p, nil)
		p.notify()
	} else if held != nil {
		f.sendAnswerAck(p, held)
	}
}

// sendAnswerAck acknowledges the parts of the answer that have arrived; nil acknowledges all parts.
func (f *Flow) sendAnswerAck(p *pendingRequest, held []byte) {
	f.send(&wirepb.Frame{Token: p.token, Body: &wirepb.Frame_AnswerAck{
		AnswerAck: &wirepb.AnswerAck{RequestId: p.id, PartsHeld: held},
	}})
}
