package owner

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	peerpb "rosemarygate/api/peer/v1"
	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/dispatch"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/token"
)

const (
	testService  = ident.ServiceID(1)
	testUpstream = ident.UpstreamID(2)
	testFlow     = ident.FlowID(3)
)

var (
	testKeys   = []token.Key{{ID: 1, Secret: []byte("0123456789abcdef")}}
	testCaller = netip.MustParseAddrPort("127.0.0.1:999")
	testStart  = time.UnixMilli(1_700_000_000_000)
)

// bench drives one core and records its actions and the last token that it issued.
type bench struct {
	t       *testing.T
	core    *Core
	now     time.Time
	actions []Action
	token   []byte
}

func newBench(t *testing.T, self ident.DaemonID) *bench {
	b := &bench{t: t, now: testStart, core: NewCore(Config{Self: self, Incarnation: 7, Keys: testKeys})}
	b.step(ServicesChanged{Services: ServiceMap{testService: {
		Classes:   []dispatch.Class{{Name: "tally", Share: 0.5, QueueLimit: 10}},
		Deadlines: []time.Duration{10 * time.Second},
		FlowIdle:  30 * time.Second,
	}}})
	return b
}

func (b *bench) step(ev Event) []Action {
	out := append([]Action(nil), b.core.Step(b.now, ev)...)
	b.actions = append(b.actions, out...)
	for _, a := range out {
		if s, ok := a.(SendFrame); ok && len(s.Frame.Token) > 0 {
			b.token = s.Frame.Token
		}
	}
	return out
}

func (b *bench) connectUpstream() {
	b.step(UpstreamUp{Service: testService, Upstream: testUpstream, Incarnation: 1, Slots: 1, FlowLimit: 10})
}

func (b *bench) openFlow() {
	b.step(OpenReceived{Caller: testCaller, Service: testService, Flow: testFlow, Upstream: testUpstream})
	b.sendFrame(&wirepb.Frame{Body: &wirepb.Frame_KeepAlive{KeepAlive: &wirepb.KeepAlive{}}})
}

// sendFrame delivers a frame with the last token to the core.
func (b *bench) sendFrame(fr *wirepb.Frame) []Action {
	b.t.Helper()
	claims, err := token.NewCodec(testKeys).Verify(testFlow, b.token)
	assert.NilError(b.t, err)
	fr.FlowId = uint64(testFlow)
	return b.step(FrameReceived{Caller: testCaller, Claims: claims, Frame: fr})
}

func newRequestFrame(id uint64) *wirepb.Frame {
	return &wirepb.Frame{Body: &wirepb.Frame_Request{Request: &wirepb.Request{
		RequestId: id, Class: "tally", DeadlineMs: 5000, Parts: 1, Payload: []byte("count"),
	}}}
}

func executeActions(actions []Action) []Execute {
	var out []Execute
	for _, a := range actions {
		if e, ok := a.(Execute); ok {
			out = append(out, e)
		}
	}
	return out
}

func outcomes(actions []Action) []*wirepb.RequestOutcome {
	var out []*wirepb.RequestOutcome
	for _, a := range actions {
		if s, ok := a.(SendFrame); ok && s.Frame.GetOutcome() != nil {
			out = append(out, s.Frame.GetOutcome())
		}
	}
	return out
}

func countAnswers(actions []Action) int {
	n := 0
	for _, a := range actions {
		if s, ok := a.(SendFrame); ok && s.Frame.GetAnswer() != nil {
			n++
		}
	}
	return n
}

// Guards against a repeated request that runs again, and against a lost answer that is not
// resent.
func TestRepeatedRequestRunsOnce(t *testing.T) {
	b := newBench(t, 10)
	b.connectUpstream()
	b.openFlow()
	runs := executeActions(b.sendFrame(newRequestFrame(1)))
	assert.Equal(t, len(runs), 1)
	assert.Equal(t, len(executeActions(b.sendFrame(newRequestFrame(1)))), 0)
	assert.Equal(t, countAnswers(b.step(ExecuteDone{Upstream: testUpstream, Call: runs[0].Call, Result: Answered, Payload: []byte("ok")})), 1)
	again := b.sendFrame(newRequestFrame(1))
	assert.Equal(t, len(executeActions(again)), 0)
	assert.Equal(t, countAnswers(again), 1)
}

// Guards against a late copy that runs after its record was dropped.
func TestRequestBelowDroppedRecordIsUnknown(t *testing.T) {
	b := newBench(t, 10)
	b.connectUpstream()
	b.openFlow()
	run := executeActions(b.sendFrame(newRequestFrame(5)))[0]
	b.step(ExecuteDone{Upstream: testUpstream, Call: run.Call, Result: Answered})
	for range 60 {
		b.now = b.now.Add(time.Second)
		b.step(Tick{})
		b.sendFrame(&wirepb.Frame{Body: &wirepb.Frame_KeepAlive{KeepAlive: &wirepb.KeepAlive{}}})
	}
	late := b.sendFrame(newRequestFrame(5))
	assert.Equal(t, len(executeActions(late)), 0)
	assert.Equal(t, outcomes(late)[0].Outcome, wirepb.Outcome_OUTCOME_UNKNOWN)
}

// Guards against a request of a crashed owner that runs a second time at its successor.
func TestCrashedOwnersRequestIsUnknown(t *testing.T) {
	old := newBench(t, 10)
	old.connectUpstream()
	old.openFlow()
	old.sendFrame(newRequestFrame(1))

	next := newBench(t, 11)
	next.connectUpstream()
	next.token = old.token
	got := next.sendFrame(newRequestFrame(1))
	assert.Equal(t, len(executeActions(got)), 0)
	assert.Equal(t, outcomes(got)[0].Outcome, wirepb.Outcome_OUTCOME_UNKNOWN)

	// A request with the new owner's token runs.
	next.sendFrame(&wirepb.Frame{Body: &wirepb.Frame_KeepAlive{KeepAlive: &wirepb.KeepAlive{}}})
	assert.Equal(t, len(executeActions(next.sendFrame(newRequestFrame(2)))), 1)
}

// endCallAndRetry ends a call with the given result, advances the time until a retry is due,
// and returns all actions.
func (b *bench) endCallAndRetry(call uint64, result ExecuteResult) []Action {
	out := b.step(ExecuteDone{Upstream: testUpstream, Call: call, Result: result})
	b.now = b.now.Add(time.Second)
	return append(out, b.step(Tick{})...)
}

// Guards against a refused request that runs when a late copy arrives, and against unlimited
// retries when an upstream sheds requests.
func TestRefusedRequestStaysRefused(t *testing.T) {
	b := newBench(t, 10)
	b.connectUpstream()
	b.openFlow()
	got := b.sendFrame(newRequestFrame(1))
	attempts := 0
	for runs := executeActions(got); len(runs) > 0; runs = executeActions(got) {
		attempts++
		got = b.endCallAndRetry(runs[0].Call, NotBegun)
	}
	assert.Equal(t, attempts, maxAttempts)
	assert.Equal(t, outcomes(got)[0].Outcome, wirepb.Outcome_OUTCOME_NOT_RUN)
	again := b.sendFrame(newRequestFrame(1))
	assert.Equal(t, len(executeActions(again)), 0)
	assert.Equal(t, outcomes(again)[0].Outcome, wirepb.Outcome_OUTCOME_NOT_RUN)
}

// Guards against a retry of a non-idempotent request after a lost answer.
func TestLostAnswerIsRepeatedOnlyWhenIdempotent(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		b := newBench(t, 10)
		b.connectUpstream()
		b.openFlow()
		q := newRequestFrame(1)
		q.GetRequest().Idempotent = idempotent
		run := executeActions(b.sendFrame(q))[0]
		got := b.endCallAndRetry(run.Call, Failed)
		assert.Equal(t, len(executeActions(got)) == 1, idempotent)
		assert.Equal(t, len(outcomes(got)) == 1, !idempotent)
	}
}

// Guards against the outcome NOT_RUN for an idempotent request when an earlier attempt may
// have run.
func TestRepeatedRequestIsNeverReportedNotRun(t *testing.T) {
	b := newBench(t, 10)
	b.connectUpstream()
	b.openFlow()
	q := newRequestFrame(1)
	q.GetRequest().Idempotent = true
	run := executeActions(b.sendFrame(q))[0]
	b.step(ExecuteDone{Upstream: testUpstream, Call: run.Call, Result: Failed})
	actions := b.step(UpstreamGone{Upstream: testUpstream, Incarnation: 1})
	assert.Equal(t, outcomes(actions)[0].Outcome, wirepb.Outcome_OUTCOME_UNKNOWN)
}

// handOver hands the upstream over from one core to another.
func handOver(t *testing.T, from, to *bench) {
	t.Helper()
	var chunks []*peerpb.HandoverChunk
	for _, a := range from.step(HandoverRequested{Upstream: testUpstream, To: to.core.cfg.Self}) {
		if h, ok := a.(SendHandover); ok {
			chunks = h.Chunks
		}
	}
	assert.Assert(t, len(chunks) > 0)
	to.step(HandoverReceived{Chunks: chunks})
	from.step(HandoverEnded{Upstream: testUpstream, To: to.core.cfg.Self, OK: true})
}

// Guards against a planned owner change that loses a running or queued request, or a feed.
func TestHandoverKeepsRequestsAndFeed(t *testing.T) {
	old, next := newBench(t, 10), newBench(t, 11)
	old.connectUpstream()
	old.openFlow()
	old.sendFrame(&wirepb.Frame{Body: &wirepb.Frame_Subscribe{Subscribe: &wirepb.Subscribe{Topic: "press", LastSequence: 4}}})
	old.step(FeedReceived{Upstream: testUpstream, Flow: testFlow, Sequence: 5})
	running := executeActions(old.sendFrame(newRequestFrame(1)))[0]
	assert.Equal(t, len(executeActions(old.sendFrame(newRequestFrame(2)))), 0)
	handOver(t, old, next)

	// The running request ends at the old owner, which sends the answer to the caller and the
	// result to the new owner.
	done := old.step(ExecuteDone{Upstream: testUpstream, Call: running.Call, Result: Answered, Payload: []byte("ok")})
	assert.Equal(t, countAnswers(done), 1)
	var completed *peerpb.CompletedRequest
	for _, a := range done {
		if c, ok := a.(SendCompleted); ok {
			completed = c.Request
		}
	}
	assert.Assert(t, completed != nil)

	// The new owner runs the queued request and resumes the feed once it is connected.
	next.connectUpstream()
	next.step(CompletedReceived{Request: completed})
	assert.Equal(t, len(executeActions(next.actions)), 1)
	resumed := false
	for _, a := range next.actions {
		if s, ok := a.(SubscribeFeed); ok && s.After == 4 && !s.Unsubscribe {
			resumed = true
		}
	}
	assert.Assert(t, resumed)

	// Copies of both requests with the old token do not run again; a copy of the answered
	// request gets the answer, and the old owner forwards frames.
	next.token = old.token
	again := next.sendFrame(newRequestFrame(1))
	assert.Equal(t, len(executeActions(again)), 0)
	assert.Equal(t, countAnswers(again), 1)
	assert.Equal(t, len(executeActions(next.sendFrame(newRequestFrame(2)))), 0)
	forwarded := old.sendFrame(newRequestFrame(2))
	assert.Equal(t, forwarded[0].(ForwardFrame).To, ident.DaemonID(11))
}

// Guards against a request that ends while the handover is in progress and whose result is
// not reported to the new owner.
func TestRequestEndingDuringHandoverIsReported(t *testing.T) {
	old := newBench(t, 10)
	old.connectUpstream()
	old.openFlow()
	run := executeActions(old.sendFrame(newRequestFrame(1)))[0]
	old.step(HandoverRequested{Upstream: testUpstream, To: 11})
	old.step(ExecuteDone{Upstream: testUpstream, Call: run.Call, Result: Answered, Payload: []byte("ok")})
	reported := 0
	for _, a := range old.step(HandoverEnded{Upstream: testUpstream, To: 11, OK: true}) {
		if _, ok := a.(SendCompleted); ok {
			reported++
		}
	}
	assert.Equal(t, reported, 1)
}

// Guards against a request that runs twice when an owner takes an upstream back after its
// successor crashed: the record of the request was handed over and lost.
func TestRequestWithTokenFromBeforeHandoverIsUnknown(t *testing.T) {
	old, next := newBench(t, 10), newBench(t, 11)
	old.connectUpstream()
	old.openFlow()
	before := old.token
	handOver(t, old, next)

	old.now = old.now.Add(5 * time.Second)
	old.connectUpstream()
	old.token = before
	got := old.sendFrame(newRequestFrame(1))
	assert.Equal(t, len(executeActions(got)), 0)
	assert.Equal(t, outcomes(got)[0].Outcome, wirepb.Outcome_OUTCOME_UNKNOWN)
}

// Guards against flows that outlive their upstream, and against a queued request that is
// neither run nor refused when its upstream is gone.
func TestGoneUpstreamEndsFlows(t *testing.T) {
	b := newBench(t, 10)
	b.connectUpstream()
	b.openFlow()
	b.sendFrame(newRequestFrame(1))
	b.sendFrame(newRequestFrame(2))
	actions := b.step(UpstreamGone{Upstream: testUpstream, Incarnation: 1})
	byID := map[uint64]wirepb.Outcome{}
	for _, o := range outcomes(actions) {
		byID[o.RequestId] = o.Outcome
	}
	assert.Equal(t, byID[1], wirepb.Outcome_OUTCOME_UNKNOWN)
	assert.Equal(t, byID[2], wirepb.Outcome_OUTCOME_NOT_RUN)
	gone := false
	for _, a := range b.sendFrame(&wirepb.Frame{Body: &wirepb.Frame_KeepAlive{KeepAlive: &wirepb.KeepAlive{}}}) {
		if s, ok := a.(SendFrame); ok && s.Frame.GetFlowStatus().GetGone() {
			gone = true
		}
	}
	assert.Assert(t, gone)
}

// Guards against permanent loss of feed items when a datagram is lost or the caller is slower
// than the feed.
func TestFeedResendsAndCatchesUp(t *testing.T) {
	b := newBench(t, 10)
	b.connectUpstream()
	b.openFlow()
	b.sendFrame(&wirepb.Frame{Body: &wirepb.Frame_Subscribe{Subscribe: &wirepb.Subscribe{Topic: "press"}}})
	for seq := uint64(1); seq <= feedWindow+5; seq++ {
		b.step(FeedReceived{Upstream: testUpstream, Flow: testFlow, Sequence: seq})
	}
	b.now = b.now.Add(feedResendDelay)
	assert.Assert(t, len(b.step(Tick{})) > 0, "unacknowledged items are not resent")
	acked := b.sendFrame(&wirepb.Frame{Body: &wirepb.Frame_FeedAck{FeedAck: &wirepb.FeedAck{Sequence: feedWindow}}})
	var resubscribed SubscribeFeed
	for _, a := range acked {
		if s, ok := a.(SubscribeFeed); ok {
			resubscribed = s
		}
	}
	assert.Equal(t, resubscribed.After, uint64(feedWindow))
}

// Guards against records of a busy flow that accumulate until its requests are refused, and
// against a late copy that runs after EndedBelow let its record be dropped.
func TestEndedRequestsAreDropped(t *testing.T) {
	b := newBench(t, 10)
	b.connectUpstream()
	b.openFlow()
	for id := uint64(1); id <= 2*maxRecordsPerFlow; id++ {
		q := newRequestFrame(id)
		q.GetRequest().EndedBelow = id
		runs := executeActions(b.sendFrame(q))
		assert.Equal(t, len(runs), 1)
		b.step(ExecuteDone{Upstream: testUpstream, Call: runs[0].Call, Result: Answered})
	}
	assert.Equal(t, len(b.core.upstreams[testUpstream].flows[testFlow].records), 1)
	late := b.sendFrame(newRequestFrame(5))
	assert.Equal(t, len(executeActions(late)), 0)
	assert.Equal(t, outcomes(late)[0].Outcome, wirepb.Outcome_OUTCOME_UNKNOWN)
}
