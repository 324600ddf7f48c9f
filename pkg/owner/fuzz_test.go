package owner

import (
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/frame"
	"rosemarygate/pkg/ident"
)

// fuzzHarness passes the frames and events that the fuzzer's bytes encode to a core.
type fuzzHarness struct {
	*bench
	calls []Execute
	// mayHaveRun holds the requests that were started at the upstream and did not end with
	// NotBegun.
	mayHaveRun map[ident.RequestID]bool
}

// FuzzCallerFrames guards against a panic, a frame too large to send, a request that runs
// twice, and wrong byte counts, for any frames that a caller with a valid token sends.
func FuzzCallerFrames(f *testing.F) {
	f.Add(encodeFrames(f, newRequestFrame(1), newRequestFrame(2), newRequestFrame(1)))
	f.Add(encodeFrames(f, newRequestPart(1, 0, 3, 10), newRequestPart(1, 2, 3, 10), newRequestPart(1, 1, 3, 10), newRequestPart(1, 0, 3, 0)))
	f.Add(encodeFrames(f,
		&wirepb.Frame{Body: &wirepb.Frame_Subscribe{Subscribe: &wirepb.Subscribe{Topic: "t", LastSequence: 1 << 63}}},
		&wirepb.Frame{Body: &wirepb.Frame_FeedAck{FeedAck: &wirepb.FeedAck{Sequence: 5}}},
		&wirepb.Frame{Body: &wirepb.Frame_AnswerAck{AnswerAck: &wirepb.AnswerAck{RequestId: 1, PartsHeld: []byte{255}}}},
		&wirepb.Frame{Body: &wirepb.Frame_Cancel{Cancel: &wirepb.Cancel{RequestId: 1}}},
		&wirepb.Frame{Body: &wirepb.Frame_Close{Close: &wirepb.Close{}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		h := &fuzzHarness{bench: newBench(t, 10), mayHaveRun: map[ident.RequestID]bool{}}
		h.connectUpstream()
		h.openFlow()
		for len(data) > 0 {
			data = h.runOperation(data)
		}
		h.checkMemoryCounts()
	})
}

// encodeFrames encodes frames as input of FuzzCallerFrames. After each frame the oldest call
// ends and a tick follows.
func encodeFrames(f *testing.F, frames ...*wirepb.Frame) []byte {
	var out []byte
	for _, fr := range frames {
		fr.FlowId = uint64(testFlow)
		b, err := frame.Encode(nil, fr)
		assert.NilError(f, err)
		out = append(out, 0)
		out = binary.BigEndian.AppendUint16(out, uint16(len(b)))
		out = append(out, b...)
		out = append(out, 1, 9, 2, 1)
	}
	return out
}

// runOperation decodes and runs one operation and returns the remaining bytes.
func (h *fuzzHarness) runOperation(data []byte) []byte {
	op, data := data[0], data[1:]
	if len(data) == 0 {
		return nil
	}
	switch op % 4 {
	case 1:
		h.finishCall(int(data[0]))
		return data[1:]
	case 2:
		h.now = h.now.Add(time.Duration(data[0]) * 300 * time.Millisecond)
		h.runEvent(Tick{})
		return data[1:]
	case 3:
		h.runEvent(FeedReceived{Upstream: testUpstream, Flow: testFlow, Sequence: uint64(data[0]), Payload: []byte("item")})
		return data[1:]
	}
	if len(data) < 2 {
		return nil
	}
	n := min(int(binary.BigEndian.Uint16(data)), len(data)-2)
	h.receiveFrame(data[2 : 2+n])
	return data[2+n:]
}

func (h *fuzzHarness) receiveFrame(b []byte) {
	fr, err := frame.Decode(b)
	if err != nil {
		return
	}
	fr.FlowId = uint64(testFlow)
	caller := testCaller
	if len(b)%5 == 0 {
		caller = netip.MustParseAddrPort("127.0.0.1:1000")
	}
	claims, err := h.core.codec.Verify(testFlow, h.token)
	assert.NilError(h.t, err)
	h.runEvent(FrameReceived{Caller: caller, Claims: claims, Frame: fr})
}

// finishCall ends the oldest call. outcome selects the result and the size of the answer.
func (h *fuzzHarness) finishCall(outcome int) {
	if len(h.calls) == 0 {
		return
	}
	call := h.calls[0]
	h.calls = h.calls[1:]
	if ExecuteResult(outcome%4+1) == NotBegun {
		delete(h.mayHaveRun, call.Request)
	}
	h.runEvent(ExecuteDone{
		Upstream: testUpstream, Call: call.Call, Result: ExecuteResult(outcome%4 + 1), Payload: make([]byte, outcome*100),
	})
}

func (h *fuzzHarness) runEvent(ev Event) {
	for _, a := range h.step(ev) {
		switch a := a.(type) {
		case SendFrame:
			_, err := frame.Encode(nil, a.Frame)
			assert.NilError(h.t, err)
		case Execute:
			h.calls = append(h.calls, a)
			h.recordExecute(a)
		}
	}
}

// recordExecute records that a request was started, and checks that a non-idempotent request that
// may have run is not started again.
func (h *fuzzHarness) recordExecute(a Execute) {
	assert.Assert(h.t, a.Idempotent || !h.mayHaveRun[a.Request], "request %d runs twice", a.Request)
	h.mayHaveRun[a.Request] = true
}

// checkMemoryCounts compares the byte and record counts with the records, including those of
// flows that expired during a call.
func (h *fuzzHarness) checkMemoryCounts() {
	u := h.core.upstreams[testUpstream]
	recordBytes, recordCount := 0, 0
	for _, records := range sortedValues(u.recordsByExpiry) {
		for _, r := range records {
			if r.flow.records[r.id] == r {
				recordBytes += r.heldBytes()
				recordCount++
			}
		}
	}
	assert.Equal(h.t, u.recordBytes, recordBytes)
	assert.Equal(h.t, u.recordCount, recordCount)
	for _, f := range sortedValues(u.flows) {
		assert.Assert(h.t, len(f.records) <= recordCount)
	}
}
