package client

import (
	"time"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/frame"
)

// progressPeriod is how often the client says which parts of an answer it holds while
// parts arrive; the owner then repeats those that were lost.
const progressPeriod = 50 * time.Millisecond

// resend repeats what is missing on the way to the answer. When parts have arrived since the
// last call, it returns how soon to do so again.
func (f *Flow) resend(p *pending) (period time.Duration, moving bool) {
	f.mu.Lock()
	progressed := p.progressed
	p.progressed = false
	var held []byte
	if progressed && p.assembly != nil {
		held = p.assembly.Held()
	}
	f.mu.Unlock()
	switch {
	case held != nil:
		f.sendAnswerAck(p, held)
		return progressPeriod, true
	case progressed:
		f.sendRequest(p, true)
		return frame.TransferResend, true
	default:
		f.sendRequest(p, true)
		return 0, false
	}
}

// sendRequest sends the parts of the request that are due. With poll it sends at least one
// part, because every copy of a part makes the owner say what became of the request.
func (f *Flow) sendRequest(p *pending, poll bool) {
	left := time.Until(p.deadline)
	if left <= 0 {
		return
	}
	parts := frame.PartCount(len(p.request.Payload))
	f.mu.Lock()
	due := []int{0}
	if parts > 1 {
		due = p.due(parts, poll)
	}
	p.attempt++
	attempt := p.attempt
	var held []byte
	if p.assembly != nil {
		held = p.assembly.Held()
	}
	ended := f.endedBelow()
	f.mu.Unlock()
	for _, i := range due {
		q := &wirepb.Request{
			RequestId: p.id, Class: p.request.Class, Idempotent: p.request.Idempotent,
			DeadlineMs: uint32(left.Milliseconds()) + 1, Attempt: attempt,
			Part: uint32(i), Parts: uint32(parts), Payload: frame.Part(p.request.Payload, i),
			AnswerPartsHeld: held, EndedBelow: ended,
		}
		fr := &wirepb.Frame{Token: p.token, Body: &wirepb.Frame_Request{Request: q}}
		if !f.send(fr) && held != nil {
			q.AnswerPartsHeld = nil // sent with the next AnswerAck
			f.send(fr)
		}
	}
}

// due returns the parts of a request of several parts to send now; the flow is locked.
func (p *pending) due(parts int, poll bool) []int {
	now := time.Now()
	if p.transfer == nil {
		p.transfer = frame.NewTransfer(now, parts)
	}
	due := p.transfer.Due(now)
	if len(due) == 0 && poll {
		return []int{0}
	}
	return due
}

func (f *Flow) handleRequestAck(a *wirepb.RequestAck) {
	f.mu.Lock()
	p := f.requests[a.RequestId]
	if p != nil && p.transfer != nil {
		p.transfer.SetHeld(a.PartsHeld)
		p.progressed = true
	}
	f.mu.Unlock()
	if p != nil {
		f.sendRequest(p, false)
	}
}

func (f *Flow) handleAnswer(a *wirepb.Answer) {
	f.mu.Lock()
	p := f.requests[a.RequestId]
	if p == nil || p.answer != nil {
		f.mu.Unlock()
		return
	}
	if p.assembly == nil {
		p.assembly = frame.NewAssembly(int(a.Parts))
	}
	added := p.assembly.Add(int(a.Part), int(a.Parts), a.Payload)
	p.progressed = p.progressed || added
	var held []byte
	complete := p.assembly.Complete()
	if complete {
		p.answer = p.assembly.Payload()
	} else if added && p.assembly.Present()%frame.TransferAckEvery == 0 {
		held = p.assembly.Held()
	}
	f.mu.Unlock()
	if complete {
		f.sendAnswerAck(p, nil)
		p.notify()
	} else if held != nil {
		f.sendAnswerAck(p, held)
	}
}

// sendAnswerAck says which parts of the answer have arrived; nil stands for all of them.
func (f *Flow) sendAnswerAck(p *pending, held []byte) {
	f.send(&wirepb.Frame{Token: p.token, Body: &wirepb.Frame_AnswerAck{
		AnswerAck: &wirepb.AnswerAck{RequestId: p.id, PartsHeld: held},
	}})
}
