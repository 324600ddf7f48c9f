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

// callerFuzz feeds a core the frames and events that the fuzzer's bytes spell.
type callerFuzz struct {
	*bench
	calls []Execute
	// ran are the requests that were given to the upstream and did not come back as not begun.
	ran map[ident.RequestID]bool
}

// FuzzCallerFrames guards against a panic, a frame too large to send, a request that runs
// twice, or sums that drift, whatever frames a caller with a valid token sends.
func FuzzCallerFrames(f *testing.F) {
	f.Add(script(f, tally(1), tally(2), tally(1)))
	f.Add(script(f, part(1, 0, 3, 10), part(1, 2, 3, 10), part(1, 1, 3, 10), part(1, 0, 3, 0)))
	f.Add(script(f,
		&wirepb.Frame{Body: &wirepb.Frame_Subscribe{Subscribe: &wirepb.Subscribe{Topic: "t", LastSequence: 1 << 63}}},
		&wirepb.Frame{Body: &wirepb.Frame_FeedAck{FeedAck: &wirepb.FeedAck{Sequence: 5}}},
		&wirepb.Frame{Body: &wirepb.Frame_AnswerAck{AnswerAck: &wirepb.AnswerAck{RequestId: 1, PartsHeld: []byte{255}}}},
		&wirepb.Frame{Body: &wirepb.Frame_Cancel{Cancel: &wirepb.Cancel{RequestId: 1}}},
		&wirepb.Frame{Body: &wirepb.Frame_Close{Close: &wirepb.Close{}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		z := &callerFuzz{bench: newBench(t, 10), ran: map[ident.RequestID]bool{}}
		z.up()
		z.open()
		for len(data) > 0 {
			data = z.next(data)
		}
		z.check()
	})
}

// script spells frames as FuzzCallerFrames reads them, with an answer and a tick after each.
func script(f *testing.F, frames ...*wirepb.Frame) []byte {
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

// next carries out one operation and returns the bytes after it.
func (z *callerFuzz) next(data []byte) []byte {
	op, data := data[0], data[1:]
	if len(data) == 0 {
		return nil
	}
	switch op % 4 {
	case 1:
		z.finish(int(data[0]))
		return data[1:]
	case 2:
		z.now = z.now.Add(time.Duration(data[0]) * 300 * time.Millisecond)
		z.run(Tick{})
		return data[1:]
	case 3:
		z.run(FeedReceived{Upstream: testUpstream, Flow: testFlow, Sequence: uint64(data[0]), Payload: []byte("item")})
		return data[1:]
	}
	if len(data) < 2 {
		return nil
	}
	n := min(int(binary.BigEndian.Uint16(data)), len(data)-2)
	z.receive(data[2 : 2+n])
	return data[2+n:]
}

func (z *callerFuzz) receive(b []byte) {
	fr, err := frame.Decode(b)
	if err != nil {
		return
	}
	fr.FlowId = uint64(testFlow)
	caller := testCaller
	if len(b)%5 == 0 {
		caller = netip.MustParseAddrPort("127.0.0.1:1000")
	}
	claims, err := z.core.codec.Verify(testFlow, z.token)
	assert.NilError(z.t, err)
	z.run(FrameReceived{Caller: caller, Claims: claims, Frame: fr})
}

// finish ends the oldest call.
func (z *callerFuzz) finish(how int) {
	if len(z.calls) == 0 {
		return
	}
	call := z.calls[0]
	z.calls = z.calls[1:]
	if ExecuteResult(how%4+1) == NotBegun {
		delete(z.ran, call.Request)
	}
	z.run(ExecuteDone{
		Upstream: testUpstream, Call: call.Call, Result: ExecuteResult(how%4 + 1), Payload: make([]byte, how*100),
	})
}

func (z *callerFuzz) run(ev Event) {
	for _, a := range z.step(ev) {
		switch a := a.(type) {
		case SendFrame:
			_, err := frame.Encode(nil, a.Frame)
			assert.NilError(z.t, err)
		case Execute:
			z.calls = append(z.calls, a)
			z.start(a)
		}
	}
}

// start checks that a request that may have run is not given to the upstream again.
func (z *callerFuzz) start(a Execute) {
	assert.Assert(z.t, a.Idempotent || !z.ran[a.Request], "request %d runs twice", a.Request)
	z.ran[a.Request] = true
}

// check compares the accounted memory with what the records hold, including those of flows
// that expired while a call of theirs still ran.
func (z *callerFuzz) check() {
	u := z.core.upstreams[testUpstream]
	bytes, kept := 0, 0
	for _, records := range ordered(u.records) {
		for _, r := range records {
			if r.flow.records[r.id] == r {
				bytes += r.size()
				kept++
			}
		}
	}
	assert.Equal(z.t, u.bytes, bytes)
	assert.Equal(z.t, u.kept, kept)
	for _, f := range ordered(u.flows) {
		assert.Assert(z.t, len(f.records) <= kept)
	}
}
