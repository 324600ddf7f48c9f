package owner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	peerpb "rosemarygate/api/peer/v1"
	wirepb "rosemarygate/api/wire/v1"
)

// transcript records the events and actions of a session as text.
type transcript struct {
	strings.Builder
	start time.Time
}

func (w *transcript) step(name string, b *bench, ev Event) []Action {
	fmt.Fprintf(w, "%5dms %s <- %s\n", b.now.Sub(w.start).Milliseconds(), name, describeEvent(ev))
	out := b.step(ev)
	for _, a := range out {
		fmt.Fprintf(w, "        %s -> %s\n", name, describeAction(a))
	}
	return out
}

// messageText formats a message on one line. It normalizes the white space, which prototext
// varies deliberately.
func messageText(m proto.Message) string {
	return strings.Join(strings.Fields(prototext.MarshalOptions{}.Format(m)), " ")
}

func frameText(fr *wirepb.Frame) string {
	c := proto.Clone(fr).(*wirepb.Frame)
	if len(c.Token) > 0 {
		c.Token = []byte("TOKEN")
	}
	if k := c.GetKeepAlive(); k != nil {
		k.Padding = nil
	}
	return messageText(c)
}

func describeEvent(ev Event) string {
	switch ev := ev.(type) {
	case FrameReceived:
		return fmt.Sprintf("frame owner=%d {%s}", ev.Claims.Owner, frameText(ev.Frame))
	case HandoverReceived:
		return fmt.Sprintf("handover of %d chunks", len(ev.Chunks))
	case CompletedReceived:
		return "completed {" + messageText(ev.Request) + "}"
	default:
		return fmt.Sprintf("%T %+v", ev, ev)
	}
}

func describeAction(a Action) string {
	switch a := a.(type) {
	case SendFrame:
		return fmt.Sprintf("send to %s {%s}", a.Caller, frameText(a.Frame))
	case Execute:
		return fmt.Sprintf("execute call=%d request=%d class=%s %q", a.Call, a.Request, a.Class, a.Payload)
	case SendHandover:
		var flows []string
		for _, ch := range a.Chunks {
			for _, f := range ch.Flows {
				flows = append(flows, messageText(f))
			}
		}
		return fmt.Sprintf("hand over to %d {%s}", a.To, strings.Join(flows, "; "))
	case SendCompleted:
		return fmt.Sprintf("completed to %d {%s}", a.To, messageText(a.Request))
	case ForwardFrame:
		return fmt.Sprintf("forward to %d {%s}", a.To, frameText(a.Event.Frame))
	case ObserveCall:
		return fmt.Sprintf("observe call ok=%t", a.OK)
	default:
		return fmt.Sprintf("%T %+v", a, a)
	}
}

// Guards against unintended changes of the protocol of a session: open, feed, request, refusal,
// planned handover, and resumption at a daemon that takes over after a crash.
func TestSessionTranscript(t *testing.T) {
	w := &transcript{start: testStart}
	first, second, third := newBench(t, 10), newBench(t, 11), newBench(t, 12)
	up := UpstreamUp{Service: testService, Upstream: testUpstream, Incarnation: 1, Slots: 1, FlowLimit: 1}
	send := func(name string, b *bench, fr *wirepb.Frame) []Action {
		claims, err := b.core.codec.Verify(testFlow, b.token)
		assert.NilError(t, err)
		fr.FlowId = uint64(testFlow)
		return w.step(name, b, FrameReceived{Caller: testCaller, Claims: claims, Frame: fr})
	}
	advance := func(d time.Duration) {
		first.now, second.now, third.now = first.now.Add(d), second.now.Add(d), third.now.Add(d)
	}

	w.step("first", first, up)
	w.step("first", first, OpenReceived{Caller: testCaller, Service: testService, Flow: testFlow, Upstream: testUpstream})
	w.step("first", first, OpenReceived{Caller: testCaller, Service: testService, Flow: testFlow + 1, Upstream: testUpstream})
	send("first", first, &wirepb.Frame{Body: &wirepb.Frame_KeepAlive{KeepAlive: &wirepb.KeepAlive{}}})
	send("first", first, &wirepb.Frame{Body: &wirepb.Frame_Subscribe{Subscribe: &wirepb.Subscribe{Topic: "press"}}})
	w.step("first", first, FeedReceived{Upstream: testUpstream, Flow: testFlow, Sequence: 1, Payload: []byte("ticket 1")})
	send("first", first, &wirepb.Frame{Body: &wirepb.Frame_FeedAck{FeedAck: &wirepb.FeedAck{Sequence: 1}}})
	advance(10 * time.Millisecond)
	send("first", first, newRequestFrame(1))
	w.step("first", first, ExecuteDone{Upstream: testUpstream, Call: 1, Result: NotBegun})
	send("first", first, newRequestFrame(2))
	send("first", first, newRequestFrame(3))

	advance(10 * time.Millisecond)
	handedOver := w.step("first", first, HandoverRequested{Upstream: testUpstream, To: 11})
	var chunks []*peerpb.HandoverChunk
	for _, a := range handedOver {
		if h, ok := a.(SendHandover); ok {
			chunks = h.Chunks
		}
	}
	w.step("second", second, HandoverReceived{Chunks: chunks})
	w.step("first", first, HandoverEnded{Upstream: testUpstream, To: 11, OK: true})
	w.step("second", second, up)
	for _, a := range w.step("first", first, ExecuteDone{Upstream: testUpstream, Call: 2, Result: Answered, Payload: []byte("ok")}) {
		if c, ok := a.(SendCompleted); ok {
			w.step("second", second, CompletedReceived{Request: c.Request})
		}
	}
	second.token = first.token
	send("second", second, &wirepb.Frame{Body: &wirepb.Frame_KeepAlive{KeepAlive: &wirepb.KeepAlive{}}})

	advance(time.Second)
	w.step("third", third, up)
	third.token = second.token
	send("third", third, newRequestFrame(3))
	send("third", third, &wirepb.Frame{Body: &wirepb.Frame_KeepAlive{KeepAlive: &wirepb.KeepAlive{}}})
	send("third", third, &wirepb.Frame{Body: &wirepb.Frame_Subscribe{Subscribe: &wirepb.Subscribe{Topic: "press", LastSequence: 1}}})
	golden.Assert(t, w.String(), "session.golden")
}
