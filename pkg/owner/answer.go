package owner

import (
	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/frame"
	"rosemarygate/pkg/ident"
)

// sendAnswer sends the parts of an answer that the caller lacks, as far as the window of
// the transfer allows. An empty bitmap says nothing about the parts held.
func (c *Core) sendAnswer(r *record, held []byte) {
	parts := frame.PartCount(len(r.answer))
	if parts == 1 {
		c.sendPart(r, 0, 1)
		return
	}
	if r.transfer == nil {
		r.transfer = frame.NewTransfer(c.now, parts)
	}
	if len(held) > 0 {
		r.transfer.SetHeld(held)
	}
	for _, i := range r.transfer.Due(c.now) {
		c.sendPart(r, i, parts)
	}
}

func (c *Core) sendPart(r *record, i, parts int) {
	c.send(r.flow, &wirepb.Frame{Body: &wirepb.Frame_Answer{Answer: &wirepb.Answer{
		RequestId: uint64(r.id), Part: uint32(i), Parts: uint32(parts), Payload: frame.Part(r.answer, i),
	}}})
}

// answerAck continues an answer of which the caller holds a part, and drops one that the
// caller holds whole; the record stays so that no late copy runs.
func (c *Core) answerAck(f *flow, ack *wirepb.AnswerAck) {
	r := f.records[ident.RequestID(ack.RequestId)]
	if r == nil || r.state != stateAnswered {
		return
	}
	if len(ack.PartsHeld) > 0 {
		c.sendAnswer(r, ack.PartsHeld)
		return
	}
	r.state, r.reason = stateUnknown, wirepb.Reason_REASON_RECORD_EXPIRED
	r.release()
}

// ackRequest tells the caller which parts of a request of several parts have arrived.
func (c *Core) ackRequest(r *record, held []byte) {
	c.send(r.flow, &wirepb.Frame{Body: &wirepb.Frame_RequestAck{RequestAck: &wirepb.RequestAck{
		RequestId: uint64(r.id), PartsHeld: held,
	}}})
}
