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

// simulation runs several owner cores of one upstream with a caller that retransmits requests,
// a network that loses, duplicates and delays frames, crashes and handovers. It records which
// requests the upstream ran.
type simulation struct {
	t     *rapid.T
	now   time.Time
	cores []*Core
	// ownerIndex is the index of the core that the member lists name as owner.
	ownerIndex    int
	lastDaemonID  ident.DaemonID
	aliveCores    map[ident.DaemonID]*Core
	calls         map[*Core][]Execute
	completed     []SendCompleted
	sentFrames    []FrameReceived
	token         []byte
	requests      map[uint64]*requestHistory
	lastRequestID uint64
}

// requestHistory records how often a request ran and what was reported to the caller.
type requestHistory struct {
	frame          *wirepb.Frame
	token          []byte
	runs           int
	reportedNotRun bool
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{
		t: t, now: testStart, lastDaemonID: 10,
		aliveCores: map[ident.DaemonID]*Core{}, calls: map[*Core][]Execute{}, requests: map[uint64]*requestHistory{},
	}
	w.startCore()
	w.connectUpstream(w.currentOwner())
	w.step(w.currentOwner(), OpenReceived{Caller: testCaller, Service: testService, Flow: testFlow, Upstream: testUpstream})
	w.keepAlive()
	return w
}

func (w *simulation) currentOwner() *Core { return w.cores[w.ownerIndex] }

// startCore starts the core of a new daemon, which becomes the owner.
func (w *simulation) startCore() *Core {
	w.lastDaemonID++
	c := NewCore(Config{Self: w.lastDaemonID, Incarnation: 7, Keys: testKeys})
	w.cores = append(w.cores, c)
	w.ownerIndex = len(w.cores) - 1
	w.aliveCores[w.lastDaemonID] = c
	w.step(c, ServicesChanged{Services: ServiceMap{testService: {
		Classes:   []dispatch.Class{{Name: "tally", Share: 0.5, QueueLimit: 2}},
		Deadlines: []time.Duration{10 * time.Second},
		FlowIdle:  time.Minute,
	}}})
	return c
}

func (w *simulation) connectUpstream(c *Core) {
	w.step(c, UpstreamUp{Service: testService, Upstream: testUpstream, Incarnation: 1, Slots: 1, FlowLimit: 10})
}

func (w *simulation) step(c *Core, ev Event) []Action {
	out := append([]Action(nil), c.Step(w.now, ev)...)
	for _, a := range out {
		switch a := a.(type) {
		case Execute:
			w.calls[c] = append(w.calls[c], a)
		case SendCompleted:
			w.completed = append(w.completed, a)
		case SendFrame:
			w.receiveAtCaller(a.Frame)
		case ForwardFrame:
			if next := w.aliveCores[a.To]; next != nil {
				w.step(next, a.Event)
			}
		}
	}
	return out
}

// receiveAtCaller handles a frame sent to the caller.
func (w *simulation) receiveAtCaller(fr *wirepb.Frame) {
	if len(fr.Token) > 0 {
		w.token = fr.Token
	}
	o := fr.GetOutcome()
	if o == nil || o.Outcome != wirepb.Outcome_OUTCOME_NOT_RUN {
		return
	}
	r := w.requests[o.RequestId]
	r.reportedNotRun = true
	if r.runs > 0 {
		w.t.Fatalf("request %d ran and is reported as not run (%s)", o.RequestId, o.Reason)
	}
}

// route returns the core that a frame with the given token reaches.
func (w *simulation) route(cl *token.Claims) *Core {
	if c := w.aliveCores[cl.Owner]; c != nil {
		return c
	}
	return w.currentOwner()
}

func (w *simulation) send(tok []byte, fr *wirepb.Frame) {
	claims, err := token.NewCodec(testKeys).Verify(testFlow, tok)
	if err != nil {
		w.t.Fatal(err)
	}
	w.sentFrames = append(w.sentFrames, FrameReceived{Caller: testCaller, Claims: claims, Frame: proto.Clone(fr).(*wirepb.Frame)})
}

func (w *simulation) keepAlive() {
	w.send(w.token, &wirepb.Frame{FlowId: uint64(testFlow), Body: &wirepb.Frame_KeepAlive{KeepAlive: &wirepb.KeepAlive{}}})
	w.deliver(len(w.sentFrames) - 1)
}

// deliver delivers a frame, and keeps it so that it can be delivered again.
func (w *simulation) deliver(i int) {
	f := w.sentFrames[i]
	w.step(w.route(&f.Claims), f)
}

func (w *simulation) newRequest() {
	w.lastRequestID++
	fr := newRequestFrame(w.lastRequestID)
	fr.FlowId = uint64(testFlow)
	q := fr.GetRequest()
	q.Idempotent = rapid.Bool().Draw(w.t, "idempotent")
	q.DeadlineMs = uint32(rapid.IntRange(100, 5000).Draw(w.t, "deadline"))
	q.Payload = fmt.Appendf(nil, "work %d", w.lastRequestID)
	w.requests[w.lastRequestID] = &requestHistory{frame: fr, token: w.token}
	w.send(w.token, fr)
}

// endCall ends the oldest call of the first live core that has one. A call that failed may have
// run.
func (w *simulation) endCall() {
	for _, c := range w.cores {
		if len(w.calls[c]) == 0 || w.aliveCores[c.cfg.Self] == nil {
			continue
		}
		call := w.calls[c][0]
		w.calls[c] = w.calls[c][1:]
		result := rapid.SampledFrom([]ExecuteResult{Answered, NotBegun, Failed}).Draw(w.t, "result")
		if result == Answered || result == Failed && rapid.Bool().Draw(w.t, "ran") {
			w.recordRun(call)
		}
		w.step(c, ExecuteDone{Upstream: testUpstream, Call: call.Call, Result: result, Payload: []byte("ok")})
		return
	}
}

func (w *simulation) recordRun(call Execute) {
	r := w.requests[uint64(call.Request)]
	r.runs++
	if r.runs > 1 && !call.Idempotent {
		w.t.Fatalf("non-idempotent request %d ran %d times", call.Request, r.runs)
	}
	if r.reportedNotRun {
		w.t.Fatalf("request %d was reported as not run and ran", call.Request)
	}
}

// crash stops the owner; its calls in progress may have run. A new daemon becomes the owner.
func (w *simulation) crash() {
	old := w.currentOwner()
	delete(w.aliveCores, old.cfg.Self)
	for _, call := range w.calls[old] {
		if rapid.Bool().Draw(w.t, "ran at crash") {
			w.recordRun(call)
		}
	}
	w.calls[old] = nil
	w.connectUpstream(w.startCore())
	w.keepAlive()
}

// pickHandoverTarget returns the core of the next owner: a new one, or one that was started
// before.
func (w *simulation) pickHandoverTarget() *Core {
	i := rapid.IntRange(0, len(w.cores)).Draw(w.t, "target")
	if i < len(w.cores) && i != w.ownerIndex && w.aliveCores[w.cores[i].cfg.Self] != nil {
		w.ownerIndex = i
		return w.cores[i]
	}
	return w.startCore()
}

// handOver hands the upstream over to another daemon. The handover may fail.
func (w *simulation) handOver() {
	from := w.currentOwner()
	fromIndex := w.ownerIndex
	var chunks []*peerpb.HandoverChunk
	to := w.pickHandoverTarget()
	for _, a := range w.step(from, HandoverRequested{Upstream: testUpstream, To: to.cfg.Self}) {
		if h, ok := a.(SendHandover); ok {
			chunks = h.Chunks
		}
	}
	ok := rapid.IntRange(0, 3).Draw(w.t, "handover works") > 0
	if !ok || chunks == nil {
		w.ownerIndex = fromIndex
		w.step(from, HandoverEnded{Upstream: testUpstream, To: to.cfg.Self})
		return
	}
	w.step(to, HandoverReceived{Chunks: chunks})
	if rapid.Bool().Draw(w.t, "call ends during handover") {
		w.endCall()
	}
	w.step(from, HandoverEnded{Upstream: testUpstream, To: to.cfg.Self, OK: true})
	w.connectUpstream(to)
	w.keepAlive()
}

// renewExpiredLease lets the upstream's lease end and renews it.
func (w *simulation) renewExpiredLease() {
	w.step(w.currentOwner(), UpstreamGone{Upstream: testUpstream, Incarnation: 1})
	w.now = w.now.Add(time.Millisecond)
	w.connectUpstream(w.currentOwner())
	w.keepAlive()
}

func (w *simulation) deliverCompleted() {
	if len(w.completed) == 0 {
		return
	}
	a := w.completed[0]
	w.completed = w.completed[1:]
	if c := w.aliveCores[a.To]; c != nil {
		w.step(c, CompletedReceived{Request: a.Request})
	}
}

func (w *simulation) advanceTime() {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(w.t, "milliseconds")) * time.Millisecond)
	for _, c := range w.cores {
		if w.aliveCores[c.cfg.Self] != nil {
			w.step(c, Tick{})
		}
	}
}

// Guards against a non-idempotent request that runs twice and against the outcome NOT_RUN for a
// request that ran, under loss, duplicates, delays, retries, handovers and crashes.
func TestAtMostOnceUnderRandomFaults(t *testing.T) {
	rapid.Check(t, checkRandomFaults)
}

func checkRandomFaults(t *rapid.T) {
	w := newSimulation(t)
	for range rapid.IntRange(10, 120).Draw(t, "steps") {
		switch rapid.IntRange(0, 16).Draw(t, "operation") {
		case 0, 1, 2:
			w.newRequest()
		case 3, 4, 5, 6:
			w.deliver(rapid.IntRange(0, len(w.sentFrames)-1).Draw(t, "frame"))
		case 7, 8:
			w.endCall()
		case 9:
			w.deliverCompleted()
		case 10:
			w.advanceTime()
		case 11:
			w.handOver()
		case 12:
			w.crash()
		case 13:
			w.step(w.currentOwner(), UpstreamDisconnected{Upstream: testUpstream})
			w.connectUpstream(w.currentOwner())
		case 14:
			w.renewExpiredLease()
		case 15:
			// A daemon with an outdated member list forwards a frame to the current owner.
			w.step(w.currentOwner(), w.sentFrames[rapid.IntRange(0, len(w.sentFrames)-1).Draw(t, "frame")])
		case 16:
			// The owner is wrongly declared dead; two daemons own the upstream for a while.
			w.connectUpstream(w.startCore())
			w.keepAlive()
		}
	}
}

// Guards against answers that differ from those of a naive owner, which runs each request when
// it first arrives and resends the answer to copies, when no fault and no queue occurs.
func TestSameAnswersAsNaiveOwnerWithoutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		started := map[uint64]bool{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			w.newRequest()
			w.deliver(len(w.sentFrames) - 1)
			calls := w.calls[w.currentOwner()]
			if len(calls) != 1 || started[w.lastRequestID] {
				t.Fatalf("request %d started %d calls", w.lastRequestID, len(calls))
			}
			started[w.lastRequestID] = true
			w.calls[w.currentOwner()] = nil
			w.recordRun(calls[0])
			got := w.step(w.currentOwner(), ExecuteDone{Upstream: testUpstream, Call: calls[0].Call, Result: Answered, Payload: []byte("ok")})
			if countAnswers(got) != 1 {
				t.Fatalf("request %d got %d answers", w.lastRequestID, countAnswers(got))
			}
			w.deliver(rapid.IntRange(1, len(w.sentFrames)-1).Draw(t, "repeat"))
			if len(w.calls[w.currentOwner()]) != 0 {
				t.Fatal("a repeated request started a call")
			}
		}
	})
}
