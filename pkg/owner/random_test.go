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
	s := &simulation{
		t: t, now: testStart, lastDaemonID: 10,
		aliveCores: map[ident.DaemonID]*Core{}, calls: map[*Core][]Execute{}, requests: map[uint64]*requestHistory{},
	}
	s.startCore()
	s.connectUpstream(s.currentOwner())
	s.step(s.currentOwner(), OpenReceived{Caller: testCaller, Service: testService, Flow: testFlow, Upstream: testUpstream})
	s.keepAlive()
	return s
}

func (s *simulation) currentOwner() *Core { return s.cores[s.ownerIndex] }

// startCore starts the core of a new daemon, which becomes the owner.
func (s *simulation) startCore() *Core {
	s.lastDaemonID++
	c := NewCore(Config{Self: s.lastDaemonID, Incarnation: 7, Keys: testKeys})
	s.cores = append(s.cores, c)
	s.ownerIndex = len(s.cores) - 1
	s.aliveCores[s.lastDaemonID] = c
	s.step(c, ServicesChanged{Services: ServiceMap{testService: {
		Classes:   []dispatch.Class{{Name: "tally", Share: 0.5, QueueLimit: 2}},
		Deadlines: []time.Duration{10 * time.Second},
		FlowIdle:  time.Minute,
	}}})
	return c
}

func (s *simulation) connectUpstream(c *Core) {
	s.step(c, UpstreamUp{Service: testService, Upstream: testUpstream, Incarnation: 1, Slots: 1, FlowLimit: 10})
}

func (s *simulation) step(c *Core, ev Event) []Action {
	out := append([]Action(nil), c.Step(s.now, ev)...)
	for _, a := range out {
		switch a := a.(type) {
		case Execute:
			s.calls[c] = append(s.calls[c], a)
		case SendCompleted:
			s.completed = append(s.completed, a)
		case SendFrame:
			s.receiveAtCaller(a.Frame)
		case ForwardFrame:
			if next := s.aliveCores[a.To]; next != nil {
				s.step(next, a.Event)
			}
		}
	}
	return out
}

// receiveAtCaller handles a frame sent to the caller.
func (s *simulation) receiveAtCaller(fr *wirepb.Frame) {
	if len(fr.Token) > 0 {
		s.token = fr.Token
	}
	o := fr.GetOutcome()
	if o == nil || o.Outcome != wirepb.Outcome_OUTCOME_NOT_RUN {
		return
	}
	r := s.requests[o.RequestId]
	r.reportedNotRun = true
	if r.runs > 0 {
		s.t.Fatalf("request %d ran and is reported as not run (%s)", o.RequestId, o.Reason)
	}
}

// route returns the core that a frame with the given token reaches.
func (s *simulation) route(cl *token.Claims) *Core {
	if c := s.aliveCores[cl.Owner]; c != nil {
		return c
	}
	return s.currentOwner()
}

func (s *simulation) send(tok []byte, fr *wirepb.Frame) {
	claims, err := token.NewCodec(testKeys).Verify(testFlow, tok)
	if err != nil {
		s.t.Fatal(err)
	}
	s.sentFrames = append(s.sentFrames, FrameReceived{Caller: testCaller, Claims: claims, Frame: proto.Clone(fr).(*wirepb.Frame)})
}

func (s *simulation) keepAlive() {
	s.send(s.token, &wirepb.Frame{FlowId: uint64(testFlow), Body: &wirepb.Frame_KeepAlive{KeepAlive: &wirepb.KeepAlive{}}})
	s.deliver(len(s.sentFrames) - 1)
}

// deliver delivers a frame, and keeps it so that it can be delivered again.
func (s *simulation) deliver(i int) {
	f := s.sentFrames[i]
	s.step(s.route(&f.Claims), f)
}

func (s *simulation) newRequest() {
	s.lastRequestID++
	fr := newRequestFrame(s.lastRequestID)
	fr.FlowId = uint64(testFlow)
	q := fr.GetRequest()
	q.Idempotent = rapid.Bool().Draw(s.t, "idempotent")
	q.DeadlineMs = uint32(rapid.IntRange(100, 5000).Draw(s.t, "deadline"))
	q.Payload = fmt.Appendf(nil, "work %d", s.lastRequestID)
	s.requests[s.lastRequestID] = &requestHistory{frame: fr, token: s.token}
	s.send(s.token, fr)
}

// endCall ends the oldest call of the first live core that has one. A call that failed may have
// run.
func (s *simulation) endCall() {
	for _, c := range s.cores {
		if len(s.calls[c]) == 0 || s.aliveCores[c.cfg.Self] == nil {
			continue
		}
		call := s.calls[c][0]
		s.calls[c] = s.calls[c][1:]
		result := rapid.SampledFrom([]ExecuteResult{Answered, NotBegun, Failed}).Draw(s.t, "result")
		if result == Answered || result == Failed && rapid.Bool().Draw(s.t, "ran") {
			s.recordRun(call)
		}
		s.step(c, ExecuteDone{Upstream: testUpstream, Call: call.Call, Result: result, Payload: []byte("ok")})
		return
	}
}

func (s *simulation) recordRun(call Execute) {
	r := s.requests[uint64(call.Request)]
	r.runs++
	if r.runs > 1 && !call.Idempotent {
		s.t.Fatalf("non-idempotent request %d ran %d times", call.Request, r.runs)
	}
	if r.reportedNotRun {
		s.t.Fatalf("request %d was reported as not run and ran", call.Request)
	}
}

// crash stops the owner; its calls in progress may have run. A new daemon becomes the owner.
func (s *simulation) crash() {
	old := s.currentOwner()
	delete(s.aliveCores, old.cfg.Self)
	for _, call := range s.calls[old] {
		if rapid.Bool().Draw(s.t, "ran at crash") {
			s.recordRun(call)
		}
	}
	s.calls[old] = nil
	s.connectUpstream(s.startCore())
	s.keepAlive()
}

// pickHandoverTarget returns the core of the next owner: a new one, or one that was started
// before.
func (s *simulation) pickHandoverTarget() *Core {
	i := rapid.IntRange(0, len(s.cores)).Draw(s.t, "target")
	if i < len(s.cores) && i != s.ownerIndex && s.aliveCores[s.cores[i].cfg.Self] != nil {
		s.ownerIndex = i
		return s.cores[i]
	}
	return s.startCore()
}

// handOver hands the upstream over to another daemon. The handover may fail.
func (s *simulation) handOver() {
	from := s.currentOwner()
	fromIndex := s.ownerIndex
	var chunks []*peerpb.HandoverChunk
	to := s.pickHandoverTarget()
	for _, a := range s.step(from, HandoverRequested{Upstream: testUpstream, To: to.cfg.Self}) {
		if h, ok := a.(SendHandover); ok {
			chunks = h.Chunks
		}
	}
	ok := rapid.IntRange(0, 3).Draw(s.t, "handover works") > 0
	if !ok || chunks == nil {
		s.ownerIndex = fromIndex
		s.step(from, HandoverEnded{Upstream: testUpstream, To: to.cfg.Self})
		return
	}
	s.step(to, HandoverReceived{Chunks: chunks})
	if rapid.Bool().Draw(s.t, "call ends during handover") {
		s.endCall()
	}
	s.step(from, HandoverEnded{Upstream: testUpstream, To: to.cfg.Self, OK: true})
	s.connectUpstream(to)
	s.keepAlive()
}

// renewExpiredLease lets the upstream's lease end and renews it.
func (s *simulation) renewExpiredLease() {
	s.step(s.currentOwner(), UpstreamGone{Upstream: testUpstream, Incarnation: 1})
	s.now = s.now.Add(time.Millisecond)
	s.connectUpstream(s.currentOwner())
	s.keepAlive()
}

func (s *simulation) deliverCompleted() {
	if len(s.completed) == 0 {
		return
	}
	a := s.completed[0]
	s.completed = s.completed[1:]
	if c := s.aliveCores[a.To]; c != nil {
		s.step(c, CompletedReceived{Request: a.Request})
	}
}

func (s *simulation) advanceTime() {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(s.t, "milliseconds")) * time.Millisecond)
	for _, c := range s.cores {
		if s.aliveCores[c.cfg.Self] != nil {
			s.step(c, Tick{})
		}
	}
}

// Guards against a non-idempotent request that runs twice and against the outcome NOT_RUN for a
// request that ran, under loss, duplicates, delays, retries, handovers and crashes.
func TestAtMostOnceUnderRandomFaults(t *testing.T) {
	rapid.Check(t, checkRandomFaults)
}

func checkRandomFaults(t *rapid.T) {
	s := newSimulation(t)
	for range rapid.IntRange(10, 120).Draw(t, "steps") {
		switch rapid.IntRange(0, 16).Draw(t, "operation") {
		case 0, 1, 2:
			s.newRequest()
		case 3, 4, 5, 6:
			s.deliver(rapid.IntRange(0, len(s.sentFrames)-1).Draw(t, "frame"))
		case 7, 8:
			s.endCall()
		case 9:
			s.deliverCompleted()
		case 10:
			s.advanceTime()
		case 11:
			s.handOver()
		case 12:
			s.crash()
		case 13:
			s.step(s.currentOwner(), UpstreamDisconnected{Upstream: testUpstream})
			s.connectUpstream(s.currentOwner())
		case 14:
			s.renewExpiredLease()
		case 15:
			// A daemon with an outdated member list forwards a frame to the current owner.
			s.step(s.currentOwner(), s.sentFrames[rapid.IntRange(0, len(s.sentFrames)-1).Draw(t, "frame")])
		case 16:
			// The owner is wrongly declared dead; two daemons own the upstream for a while.
			s.connectUpstream(s.startCore())
			s.keepAlive()
		}
	}
}

// Guards against answers that differ from those of a naive owner, which runs each request when
// it first arrives and resends the answer to copies, when no fault and no queue occurs.
func TestSameAnswersAsNaiveOwnerWithoutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		started := map[uint64]bool{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			s.newRequest()
			s.deliver(len(s.sentFrames) - 1)
			calls := s.calls[s.currentOwner()]
			if len(calls) != 1 || started[s.lastRequestID] {
				t.Fatalf("request %d started %d calls", s.lastRequestID, len(calls))
			}
			started[s.lastRequestID] = true
			s.calls[s.currentOwner()] = nil
			s.recordRun(calls[0])
			got := s.step(s.currentOwner(), ExecuteDone{Upstream: testUpstream, Call: calls[0].Call, Result: Answered, Payload: []byte("ok")})
			if countAnswers(got) != 1 {
				t.Fatalf("request %d got %d answers", s.lastRequestID, countAnswers(got))
			}
			s.deliver(rapid.IntRange(1, len(s.sentFrames)-1).Draw(t, "repeat"))
			if len(s.calls[s.currentOwner()]) != 0 {
				t.Fatal("a repeated request started a call")
			}
		}
	})
}
