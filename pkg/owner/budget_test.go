package owner

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/frame"
	"rosemarygate/pkg/ident"
)

func part(id uint64, i, parts, size int) *wirepb.Frame {
	return &wirepb.Frame{Body: &wirepb.Frame_Request{Request: &wirepb.Request{
		RequestId: id, Class: "tally", DeadlineMs: 5000, Part: uint32(i), Parts: uint32(parts),
		Payload: make([]byte, size),
	}}}
}

// Guards against memory that callers fill with unfinished requests, and against a refused
// request that runs when its remaining parts arrive.
func TestUnfinishedRequestsAreBounded(t *testing.T) {
	b := newBench(t, 10)
	b.up()
	b.open()
	u := b.core.upstreams[testUpstream]
	refused := uint64(0)
	for id := uint64(1); id <= maxRecordsPerFlow; id++ {
		for _, o := range outcomes(b.frame(part(id, 0, frame.MaxParts, frame.MaxPartSize))) {
			assert.Equal(t, o.Outcome, wirepb.Outcome_OUTCOME_NOT_RUN)
			assert.Equal(t, o.Reason, wirepb.Reason_REASON_LIMIT)
			refused = id
		}
	}
	assert.Assert(t, refused > 0)
	assert.Assert(t, u.bytes <= maxFlowBytes, "%d bytes", u.bytes)
	out := b.frame(part(refused, 1, frame.MaxParts, 1))
	assert.Equal(t, len(executes(out)), 0)
	assert.Equal(t, outcomes(out)[0].Outcome, wirepb.Outcome_OUTCOME_NOT_RUN)
	b.now = b.now.Add(time.Minute)
	b.step(Tick{})
	assert.Equal(t, u.bytes, 0)
	assert.Equal(t, u.kept, 0)
}

// Guards against answers that fill the memory when callers do not acknowledge them, and
// against sums that drift when answers are dropped in different ways.
func TestAnswersAreBounded(t *testing.T) {
	b := newBench(t, 10)
	b.up()
	b.open()
	u := b.core.upstreams[testUpstream]
	refused := uint64(0)
	for id := uint64(1); refused == 0; id++ {
		out := b.frame(tally(id))
		for _, o := range outcomes(out) {
			assert.Equal(t, o.Reason, wirepb.Reason_REASON_LIMIT)
			refused = id
		}
		for _, x := range executes(out) {
			b.step(ExecuteDone{Upstream: testUpstream, Call: x.Call, Result: Answered, Payload: make([]byte, 1<<20)})
		}
	}
	assert.Assert(t, u.bytes <= maxFlowBytes+2<<20, "%d bytes", u.bytes)
	b.frame(&wirepb.Frame{Body: &wirepb.Frame_AnswerAck{AnswerAck: &wirepb.AnswerAck{RequestId: 1}}})
	held := u.bytes
	next := tally(refused + 1)
	next.GetRequest().EndedBelow = 3
	assert.Equal(t, len(executes(b.frame(next))), 1)
	assert.Assert(t, u.bytes < held)
	b.now = b.now.Add(2 * time.Minute)
	b.step(Tick{})
	assert.Equal(t, u.bytes, len(next.GetRequest().Payload)) // still running
}

// Guards against a burst of all parts of an answer.
func TestAnswerIsPaced(t *testing.T) {
	b := newBench(t, 10)
	b.up()
	b.open()
	call := executes(b.frame(tally(1)))[0]
	payload := make([]byte, 500*frame.MaxPartSize)
	out := b.step(ExecuteDone{Upstream: testUpstream, Call: call.Call, Result: Answered, Payload: payload})
	assert.Equal(t, answers(out), frame.TransferWindow)
	assert.Equal(t, answers(b.frame(tally(1))), 0) // all in flight
	held := frame.AllHeld(8)
	ack := &wirepb.AnswerAck{RequestId: 1, PartsHeld: held}
	assert.Equal(t, answers(b.frame(&wirepb.Frame{Body: &wirepb.Frame_AnswerAck{AnswerAck: ack}})), 8)
	b.now = b.now.Add(frame.TransferResend)
	assert.Equal(t, answers(b.frame(tally(1))), frame.TransferWindow)
}

// Guards against a request id at the end of its range, after which the mark of dropped
// records went back and dropped requests could run again.
func TestDroppedMarkNeverGoesBack(t *testing.T) {
	b := newBench(t, 10)
	b.up()
	b.open()
	b.frame(tally(math.MaxUint64))
	b.now = b.now.Add(time.Minute)
	b.frame(&wirepb.Frame{Body: &wirepb.Frame_KeepAlive{KeepAlive: &wirepb.KeepAlive{}}})
	b.step(ExecuteDone{Upstream: testUpstream, Call: 1, Result: Answered})
	b.now = b.now.Add(time.Minute)
	b.frame(&wirepb.Frame{Body: &wirepb.Frame_KeepAlive{KeepAlive: &wirepb.KeepAlive{}}})
	b.step(Tick{})
	f := b.core.upstreams[testUpstream].flows[testFlow]
	assert.Equal(t, f.droppedBelow, ident.RequestID(math.MaxUint64))
	q := tally(9)
	q.GetRequest().EndedBelow = 5
	assert.Equal(t, len(executes(b.frame(q))), 0)
}

// Guards against answers and feed items that no frame can carry: the caller would wait for
// them until its deadline, or for ever.
func TestOversizeFromUpstream(t *testing.T) {
	b := newBench(t, 10)
	b.up()
	b.open()
	call := executes(b.frame(tally(1)))[0]
	out := b.step(ExecuteDone{Upstream: testUpstream, Call: call.Call, Result: Answered, Payload: make([]byte, frame.MaxPayload+1)})
	assert.Equal(t, outcomes(out)[0].Outcome, wirepb.Outcome_OUTCOME_UNKNOWN)
	assert.Equal(t, outcomes(out)[0].Reason, wirepb.Reason_REASON_LIMIT)
	b.frame(&wirepb.Frame{Body: &wirepb.Frame_Subscribe{Subscribe: &wirepb.Subscribe{Topic: "t"}}})
	out = b.step(FeedReceived{Upstream: testUpstream, Flow: testFlow, Sequence: 1, Payload: make([]byte, frame.MaxPartSize+1)})
	var status *wirepb.FlowStatus
	for _, a := range out {
		if s, ok := a.(SendFrame); ok && s.Frame.GetFlowStatus() != nil {
			status = s.Frame.GetFlowStatus()
		}
	}
	assert.Assert(t, status != nil && status.Gone)
	assert.Equal(t, status.Reason, wirepb.Reason_REASON_LIMIT)
}

// Guards against callers that acknowledge nothing and get feed items again and again: many
// of them would cost as much as a flood.
func TestSlowCallerCostsLittle(t *testing.T) {
	b := newBench(t, 10)
	b.up()
	b.open()
	b.frame(&wirepb.Frame{Body: &wirepb.Frame_Subscribe{Subscribe: &wirepb.Subscribe{Topic: "t"}}})
	for i := range 2 * feedWindow {
		b.step(FeedReceived{Upstream: testUpstream, Flow: testFlow, Sequence: uint64(i + 1), Payload: []byte("item")})
	}
	sent := 0
	for range 10 * time.Second / TickInterval {
		b.now = b.now.Add(TickInterval)
		for _, a := range b.step(Tick{}) {
			if s, ok := a.(SendFrame); ok && s.Frame.GetFeedItem() != nil {
				sent++
			}
		}
	}
	assert.Assert(t, sent <= 8*feedResendBatch, "%d items resent in 10 s", sent)
}
