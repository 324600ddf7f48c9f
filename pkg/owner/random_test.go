package owner

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	peerpb "rosemarygate/api/peer/v1"
	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/dispatch"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/token"
)

// world drives several owner cores of one upstream with a caller that repeats requests, a
// network that loses, repeats and delays frames, crashes and handovers. It keeps the
// upstream's own record of what ran.
type world struct {
	t     *rapid.T
	now   time.Time
	cores []*Core
	// owner is the index of the core that the members' views name.
	owner     int
	nextID    ident.DaemonID
	alive     map[ident.DaemonID]*Core
	calls     map[*Core][]Execute
	completed []SendCompleted
	frames    []FrameReceived
	token     []byte
	requests  map[uint64]*modelRequest
	nextReq   uint64
}

// modelRequest is what really happened to a request.
type modelRequest struct {
	frame  *wirepb.Frame
	token  []byte
	ran    int
	notRun bool
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: testStart, nextID: 10,
		alive: map[ident.DaemonID]*Core{}, calls: map[*Core][]Execute{}, requests: map[uint64]*modelRequest{},
	}
	w.startCore()
	w.up(w.current())
	w.step(w.current(), OpenReceived{Caller: testCaller, Service: testService, Flow: testFlow, Upstream: testUpstream})
	w.keepAlive()
	return w
}

func (w *world) current() *Core { return w.cores[w.owner] }

// startCore starts a daemon that becomes the owner.
func (w *world) startCore() *Core {
	w.nextID++
	c := NewCore(Config{Self: w.nextID, Incarnation: 7, Keys: testKeys})
	w.cores = append(w.cores, c)
	w.owner = len(w.cores) - 1
	w.alive[w.nextID] = c
	w.step(c, ServicesChanged{Services: ServiceMap{testService: {
		Classes:   []dispatch.Class{{Name: "tally", Share: 0.5, QueueLimit: 2}},
		Deadlines: []time.Duration{10 * time.Second},
		FlowIdle:  time.Minute,
	}}})
	return c
}

func (w *world) up(c *Core) {
	w.step(c, UpstreamUp{Service: testService, Upstream: testUpstream, Incarnation: 1, Slots: 1, FlowLimit: 10})
}

func (w *world) step(c *Core, ev Event) []Action {
	out := append([]Action(nil), c.Step(w.now, ev)...)
	for _, a := range out {
		switch a := a.(type) {
		case Execute:
			w.calls[c] = append(w.calls[c], a)
		case SendCompleted:
			w.completed = append(w.completed, a)
		case SendFrame:
			w.caller(a.Frame)
		case ForwardFrame:
			if next := w.alive[a.To]; next != nil {
				w.step(next, a.Event)
			}
		}
	}
	return out
}

// caller takes a frame that reached the caller.
func (w *world) caller(fr *wirepb.Frame) {
	if len(fr.Token) > 0 {
		w.token = fr.Token
	}
	o := fr.GetOutcome()
	if o == nil || o.Outcome != wirepb.Outcome_OUTCOME_NOT_RUN {
		return
	}
	r := w.requests[o.RequestId]
	r.notRun = true
	if r.ran > 0 {
		w.t.Fatalf("request %d ran and is reported as not run (%s)", o.RequestId, o.Reason)
	}
}

// route returns the core that a frame with the given token reaches.
func (w *world) route(cl *token.Claims) *Core {
	if c := w.alive[cl.Owner]; c != nil {
		return c
	}
	return w.current()
}

func (w *world) send(tok []byte, fr *wirepb.Frame) {
	claims, err := token.NewCodec(testKeys).Verify(testFlow, tok)
	if err != nil {
		w.t.Fatal(err)
	}
	w.frames = append(w.frames, FrameReceived{Caller: testCaller, Claims: claims, Frame: proto.Clone(fr).(*wirepb.Frame)})
}

func (w *world) keepAlive() {
	w.send(w.token, &wirepb.Frame{FlowId: uint64(testFlow), Body: &wirepb.Frame_KeepAlive{KeepAlive: &wirepb.KeepAlive{}}})
	w.deliver(len(w.frames) - 1)
}

// deliver hands a frame over; it stays for a later repetition.
func (w *world) deliver(i int) {
	f := w.frames[i]
	w.step(w.route(&f.Claims), f)
}

func (w *world) newRequest() {
	w.nextReq++
	fr := tally(w.nextReq)
	fr.FlowId = uint64(testFlow)
	q := fr.GetRequest()
	q.Idempotent = rapid.Bool().Draw(w.t, "idempotent")
	q.DeadlineMs = uint32(rapid.IntRange(100, 5000).Draw(w.t, "deadline"))
	q.Payload = fmt.Appendf(nil, "work %d", w.nextReq)
	w.requests[w.nextReq] = &modelRequest{frame: fr, token: w.token}
	w.send(w.token, fr)
}

// endCall ends a running call of a live core. The upstream may have run it although the
// answer is lost.
func (w *world) endCall() {
	for _, c := range w.cores {
		if len(w.calls[c]) == 0 || w.alive[c.cfg.Self] == nil {
			continue
		}
		call := w.calls[c][0]
		w.calls[c] = w.calls[c][1:]
		result := rapid.SampledFrom([]ExecuteResult{Answered, NotBegun, Failed}).Draw(w.t, "result")
		if result == Answered || result == Failed && rapid.Bool().Draw(w.t, "ran") {
			w.run(call)
		}
		w.step(c, ExecuteDone{Upstream: testUpstream, Call: call.Call, Result: result, Payload: []byte("ok")})
		return
	}
}

func (w *world) run(call Execute) {
	r := w.requests[uint64(call.Request)]
	r.ran++
	if r.ran > 1 && !call.Idempotent {
		w.t.Fatalf("non-idempotent request %d ran %d times", call.Request, r.ran)
	}
	if r.notRun {
		w.t.Fatalf("request %d was reported as not run and ran", call.Request)
	}
}

// crash ends the owner; its running calls may have run. A new daemon takes over.
func (w *world) crash() {
	old := w.current()
	delete(w.alive, old.cfg.Self)
	for _, call := range w.calls[old] {
		if rapid.Bool().Draw(w.t, "ran at crash") {
			w.run(call)
		}
	}
	w.calls[old] = nil
	w.up(w.startCore())
	w.keepAlive()
}

// target returns a daemon that takes over: a new one, or one that was an owner before.
func (w *world) target() *Core {
	i := rapid.IntRange(0, len(w.cores)).Draw(w.t, "target")
	if i < len(w.cores) && i != w.owner && w.alive[w.cores[i].cfg.Self] != nil {
		w.owner = i
		return w.cores[i]
	}
	return w.startCore()
}

// handOver moves the upstream to another daemon, or fails on the way.
func (w *world) handOver() {
	from := w.current()
	at := w.owner
	var chunks []*peerpb.HandoverChunk
	to := w.target()
	for _, a := range w.step(from, HandoverRequested{Upstream: testUpstream, To: to.cfg.Self}) {
		if h, ok := a.(SendHandover); ok {
			chunks = h.Chunks
		}
	}
	ok := rapid.IntRange(0, 3).Draw(w.t, "handover works") > 0
	if !ok || chunks == nil {
		w.owner = at
		w.step(from, HandoverEnded{Upstream: testUpstream, To: to.cfg.Self})
		return
	}
	w.step(to, HandoverReceived{Chunks: chunks})
	if rapid.Bool().Draw(w.t, "call ends during handover") {
		w.endCall()
	}
	w.step(from, HandoverEnded{Upstream: testUpstream, To: to.cfg.Self, OK: true})
	w.up(to)
	w.keepAlive()
}

// lapse ends the upstream's lease and renews it.
func (w *world) lapse() {
	w.step(w.current(), UpstreamDown{Upstream: testUpstream, Incarnation: 1})
	w.now = w.now.Add(time.Millisecond)
	w.up(w.current())
	w.keepAlive()
}

func (w *world) deliverCompleted() {
	if len(w.completed) == 0 {
		return
	}
	a := w.completed[0]
	w.completed = w.completed[1:]
	if c := w.alive[a.To]; c != nil {
		w.step(c, CompletedReceived{Request: a.Request})
	}
}

func (w *world) pass() {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(w.t, "milliseconds")) * time.Millisecond)
	for _, c := range w.cores {
		if w.alive[c.cfg.Self] != nil {
			w.step(c, Tick{})
		}
	}
}

// Guards against a non-idempotent request that runs twice and against "not run" for a
// request that ran, under loss, repeats, delays, retries, handovers and crashes.
func TestAtMostOnceUnderRandomFaults(t *testing.T) {
	rapid.Check(t, randomFaults)
}

func randomFaults(t *rapid.T) {
	w := newWorld(t)
	for range rapid.IntRange(10, 120).Draw(t, "steps") {
		switch rapid.IntRange(0, 16).Draw(t, "operation") {
		case 0, 1, 2:
			w.newRequest()
		case 3, 4, 5, 6:
			w.deliver(rapid.IntRange(0, len(w.frames)-1).Draw(t, "frame"))
		case 7, 8:
			w.endCall()
		case 9:
			w.deliverCompleted()
		case 10:
			w.pass()
		case 11:
			w.handOver()
		case 12:
			w.crash()
		case 13:
			w.step(w.current(), UpstreamLost{Upstream: testUpstream})
			w.up(w.current())
		case 14:
			w.lapse()
		case 15:
			// A daemon with an old member list passes the frame to the present owner.
			w.step(w.current(), w.frames[rapid.IntRange(0, len(w.frames)-1).Draw(t, "frame")])
		case 16:
			// The owner is wrongly believed dead; both own the upstream for a while.
			w.up(w.startCore())
			w.keepAlive()
		}
	}
}

// Guards against answers that differ from those of a naive owner, which runs each request
// the first time it arrives and repeats the answer, where nothing fails and nothing waits.
func TestSameAnswersAsNaiveOwnerWithoutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		naive := map[uint64]bool{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			w.newRequest()
			w.deliver(len(w.frames) - 1)
			calls := w.calls[w.current()]
			if len(calls) != 1 || naive[w.nextReq] {
				t.Fatalf("request %d started %d calls", w.nextReq, len(calls))
			}
			naive[w.nextReq] = true
			w.calls[w.current()] = nil
			w.run(calls[0])
			got := w.step(w.current(), ExecuteDone{Upstream: testUpstream, Call: calls[0].Call, Result: Answered, Payload: []byte("ok")})
			if answers(got) != 1 {
				t.Fatalf("request %d got %d answers", w.nextReq, answers(got))
			}
			w.deliver(rapid.IntRange(1, len(w.frames)-1).Draw(t, "repeat"))
			if len(w.calls[w.current()]) != 0 {
				t.Fatal("a repeated request started a call")
			}
		}
	})
}
