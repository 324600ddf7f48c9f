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

func newRequestPart(id uint64, i, parts, size int) *wirepb.Frame {
	return &wirepb.Frame{Body: &wirepb.Frame_Request{Request: &wirepb.Request{
		RequestId: id, Class: "tally", DeadlineMs: 5000, Part: uint32(i), Parts: uint32(parts),
		Payload: make([]byte, size),
	}}}
}

// Guards against incomplete requests that fill the memory, and against a refused request that
// runs when its remaining parts arrive.
func TestIncompleteRequestsAreBounded(t *testing.T) {
	b := newBench(t, 10)
	b.connectUpstream()
	b.openFlow()
	u := b.core.upstreams[testUpstream]
	refused := uint64(0)
	for id := uint64(1); id <= maxRecordsPerFlow; id++ {
		for _, o := range outcomes(b.sendFrame(newRequestPart(id, 0, frame.MaxParts, frame.MaxPartSize))) {
			assert.Equal(t, o.Outcome, wirepb.Outcome_OUTCOME_NOT_RUN)
			assert.Equal(t, o.Reason, wirepb.Reason_REASON_LIMIT)
			refused = id
		}
	}
	assert.Assert(t, refused > 0)
	assert.Assert(t, u.recordBytes <= maxFlowBytes, "%d bytes", u.recordBytes)
	out := b.sendFrame(newRequestPart(refused, 1, frame.MaxParts, 1))
	assert.Equal(t, len(executeActions(out)), 0)
	assert.Equal(t, outcomes(out)[0].Outcome, wirepb.Outcome_OUTCOME_NOT_RUN)
	b.now = b.now.Add(time.Minute)
	b.step(Tick{})
	assert.Equal(t, u.recordBytes, 0)
	assert.Equal(t, u.recordCount, 0)
}

// Guards against unacknowledged answers that fill the memory, and against byte counts that
// become wrong when answers are dropped by an acknowledgement, by EndedBelow or by expiry.
func TestAnswersAreBounded(t *testing.T) {
	b := newBench(t, 10)
	b.connectUpstream()
	b.openFlow()
	u := b.core.upstreams[testUpstream]
	refused := uint64(0)
	for id := uint64(1); refused == 0; id++ {
		out := b.sendFrame(newRequestFrame(id))
		for _, o := range outcomes(out) {
			assert.Equal(t, o.Reason, wirepb.Reason_REASON_LIMIT)
			refused = id
		}
		for _, x := range executeActions(out) {
			b.step(ExecuteDone{Upstream: testUpstream, Call: x.Call, Result: Answered, Payload: make([]byte, 1<<20)})
		}
	}
	assert.Assert(t, u.recordBytes <= maxFlowBytes+2<<20, "%d bytes", u.recordBytes)
	b.sendFrame(&wirepb.Frame{Body: &wirepb.Frame_AnswerAck{AnswerAck: &wirepb.AnswerAck{RequestId: 1}}})
	held := u.recordBytes
	next := newRequestFrame(refused + 1)
	next.GetRequest().EndedBelow = 3
	assert.Equal(t, len(executeActions(b.sendFrame(next))), 1)
	assert.Assert(t, u.recordBytes < held)
	b.now = b.now.Add(2 * time.Minute)
	b.step(Tick{})
	assert.Equal(t, u.recordBytes, len(next.GetRequest().Payload)) // still running
}

// Guards against sending all parts of an answer in one burst.
func TestAnswerIsPaced(t *testing.T) {
	b := newBench(t, 10)
	b.connectUpstream()
	b.openFlow()
	call := executeActions(b.sendFrame(newRequestFrame(1)))[0]
	payload := make([]byte, 500*frame.MaxPartSize)
	out := b.step(ExecuteDone{Upstream: testUpstream, Call: call.Call, Result: Answered, Payload: payload})
	assert.Equal(t, countAnswers(out), frame.TransferWindow)
	assert.Equal(t, countAnswers(b.sendFrame(newRequestFrame(1))), 0) // the whole window is in flight
	held := frame.AllPartsHeld(8)
	ack := &wirepb.AnswerAck{RequestId: 1, PartsHeld: held}
	assert.Equal(t, countAnswers(b.sendFrame(&wirepb.Frame{Body: &wirepb.Frame_AnswerAck{AnswerAck: ack}})), 8)
	b.now = b.now.Add(frame.TransferResendDelay)
	assert.Equal(t, countAnswers(b.sendFrame(newRequestFrame(1))), frame.TransferWindow)
}

// Guards against a decrease of droppedUpTo after the largest request id, which would let
// dropped requests run again.
func TestDroppedUpToNeverDecreases(t *testing.T) {
	b := newBench(t, 10)
	b.connectUpstream()
	b.openFlow()
	b.sendFrame(newRequestFrame(math.MaxUint64))
	b.now = b.now.Add(time.Minute)
	b.sendFrame(&wirepb.Frame{Body: &wirepb.Frame_KeepAlive{KeepAlive: &wirepb.KeepAlive{}}})
	b.step(ExecuteDone{Upstream: testUpstream, Call: 1, Result: Answered})
	b.now = b.now.Add(time.Minute)
	b.sendFrame(&wirepb.Frame{Body: &wirepb.Frame_KeepAlive{KeepAlive: &wirepb.KeepAlive{}}})
	b.step(Tick{})
	f := b.core.upstreams[testUpstream].flows[testFlow]
	assert.Equal(t, f.droppedUpTo, ident.RequestID(math.MaxUint64))
	q := newRequestFrame(9)
	q.GetRequest().EndedBelow = 5
	assert.Equal(t, len(executeActions(b.sendFrame(q))), 0)
}

// Guards against answers and feed items that exceed the size limits: no frame can carry them,
// so the caller would wait for an answer until its deadline and for a feed item forever.
func TestOversizedPayloadsFromUpstream(t *testing.T) {
	b := newBench(t, 10)
	b.connectUpstream()
	b.openFlow()
	call := executeActions(b.sendFrame(newRequestFrame(1)))[0]
	out := b.step(ExecuteDone{Upstream: testUpstream, Call: call.Call, Result: Answered, Payload: make([]byte, frame.MaxPayload+1)})
	assert.Equal(t, outcomes(out)[0].Outcome, wirepb.Outcome_OUTCOME_UNKNOWN)
	assert.Equal(t, outcomes(out)[0].Reason, wirepb.Reason_REASON_LIMIT)
	b.sendFrame(&wirepb.Frame{Body: &wirepb.Frame_Subscribe{Subscribe: &wirepb.Subscribe{Topic: "t"}}})
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

// Guards against resends at a constant rate to callers that acknowledge nothing: many such
// callers would cost as much as a flood.
func TestFeedResendsToSilentCallerBackOff(t *testing.T) {
	b := newBench(t, 10)
	b.connectUpstream()
	b.openFlow()
	b.sendFrame(&wirepb.Frame{Body: &wirepb.Frame_Subscribe{Subscribe: &wirepb.Subscribe{Topic: "t"}}})
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
