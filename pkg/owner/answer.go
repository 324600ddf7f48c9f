package owner

import (
	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/frame"
	"rosemarygate/pkg/ident"
)

// sendAnswer sends the missing parts of an answer as far as the transfer window allows. held
// is the bitmap of the parts that the caller has; an empty bitmap carries no information.
func (c *Core) sendAnswer(r *record, held []byte) {
	parts := frame.PartCount(len(r.answer))
	if parts == 1 {
		c.sendPart(r, 0, 1)
		return
	}
	if r.answerTransfer == nil {
		r.answerTransfer = frame.NewTransfer(c.now, parts)
	}
	if len(held) > 0 {
		r.answerTransfer.SetPartsHeld(held)
	}
	for _, i := range r.answerTransfer.DueParts(c.now) {
		c.sendPart(r, i, parts)
	}
}

func (c *Core) sendPart(r *record, i, parts int) {
	c.send(r.flow, &wirepb.Frame{Body: &wirepb.Frame_Answer{Answer: &wirepb.Answer{
		RequestId: uint64(r.id), Part: uint32(i), Parts: uint32(parts), Payload: frame.Part(r.answer, i),
	}}})
}

// handleAnswerAck sends further parts of an answer that the caller has received in part, and
// drops an answer that it has received completely. The record stays, so that a late copy of
// the request does not run.
func (c *Core) handleAnswerAck(f *flow, ack *wirepb.AnswerAck) {
	r := f.records[ident.RequestID(ack.RequestId)]
	if r == nil || r.state != stateAnswered {
		return
	}
	if len(ack.PartsHeld) > 0 {
		c.sendAnswer(r, ack.PartsHeld)
		return
	}
	r.state, r.reason = stateUnknown, wirepb.Reason_REASON_RECORD_EXPIRED
	r.releaseBuffers()
}

// ackRequest acknowledges the received parts of a multi-part request. held is their bitmap.
func (c *Core) ackRequest(r *record, held []byte) {
	c.send(r.flow, &wirepb.Frame{Body: &wirepb.Frame_RequestAck{RequestAck: &wirepb.RequestAck{
		RequestId: uint64(r.id), PartsHeld: held,
	}}})
}
