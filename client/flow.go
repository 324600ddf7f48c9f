package client

import (
	"sync"
	"time"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/frame"
	"rosemarygate/pkg/refusal"
)

// FlowError is the reason why a flow was refused or has ended.
type FlowError struct{ Reason wirepb.Reason }

// Error returns the reason and the remedy.
func (e *FlowError) Error() string {
	return "flow is not open (" + refusal.Name(e.Reason) + "): " + refusal.Remedy(e.Reason)
}

// Flow is one open flow to an upstream of the service.
type Flow struct {
	client *Client
	id     uint64
	opened chan struct{}
	gone   chan struct{}

	mu            sync.Mutex
	token         []byte
	err           error
	lastRequestID uint64
	requests      map[uint64]*pendingRequest
	feed          *Feed
	lastReply     time.Time
	awaitingReply bool // for the last keep-alive
	ownerLiveness ownerLiveness
	nextKeepAlive time.Time // when the next one is due, unless awaitingReply
}

// ID returns the flow's identifier, which daemons and upstreams use as well.
func (f *Flow) ID() uint64 { return f.id }

// Err returns why the flow has ended, or nil while it is open.
func (f *Flow) Err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// Gone returns a channel that is closed when the flow has ended.
func (f *Flow) Gone() <-chan struct{} { return f.gone }

// Close ends the flow. If the close is lost, the flow expires at the service.
func (f *Flow) Close() {
	f.send(&wirepb.Frame{Token: f.currentToken(), Body: &wirepb.Frame_Close{Close: &wirepb.Close{}}})
	f.end(&FlowError{Reason: wirepb.Reason_REASON_CANCELLED})
}

func (f *Flow) currentToken() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.token
}

// send encodes and sends a frame. It returns false for a frame that is too large. A failed send
// counts as a lost datagram.
func (f *Flow) send(fr *wirepb.Frame) bool {
	fr.FlowId = f.id
	b, err := frame.Encode(nil, fr)
	if err != nil {
		return false
	}
	if expectsReply(fr) {
		f.mu.Lock()
		f.ownerLiveness.recordSent(time.Now())
		f.mu.Unlock()
	}
	_ = f.client.transport.Send(b)
	return true
}

func expectsReply(fr *wirepb.Frame) bool {
	switch fr.Body.(type) {
	case *wirepb.Frame_KeepAlive, *wirepb.Frame_Request:
		return true
	default:
		return false
	}
}

// end ends the flow, its feed and its requests.
func (f *Flow) end(err error) {
	f.client.removeFlow(f)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return
	}
	f.err = err
	close(f.gone)
}

// sendKeepAliveIfDue sends a keep-alive if one is due, and schedules the next call. Without a reply
// the keep-alive is resent sooner.
func (f *Flow) sendKeepAliveIfDue() {
	f.mu.Lock()
	if f.err != nil {
		f.mu.Unlock()
		return
	}
	if remaining := time.Until(f.nextKeepAlive); !f.awaitingReply && remaining > 0 {
		f.mu.Unlock()
		f.client.wheel.add(f, remaining)
		return
	}
	sinceLastReply := time.Since(f.lastReply)
	interval := f.client.cfg.KeepAlive
	f.awaitingReply, f.nextKeepAlive = true, time.Now().Add(jitter(interval))
	token := f.token
	f.mu.Unlock()
	if sinceLastReply > f.client.cfg.FlowTimeout {
		f.end(&FlowError{Reason: wirepb.Reason_REASON_OWNER_GONE})
		return
	}
	f.send(&wirepb.Frame{Token: token, Body: &wirepb.Frame_KeepAlive{KeepAlive: &wirepb.KeepAlive{}}})
	f.client.wheel.add(f, jitter(min(interval, unconfirmedResendDelay)))
}

func (f *Flow) handleFrame(fr *wirepb.Frame) {
	f.mu.Lock()
	if outcome := fr.GetOutcome(); outcome != nil && outcome.Reason == wirepb.Reason_REASON_OWNER_GONE {
		f.ownerLiveness.tokenStale = true
	}
	if fr.GetKeepAliveAck() != nil && len(fr.Token) > 0 {
		f.token = fr.Token
	}
	f.ownerLiveness.recordReply(len(fr.Token) > 0)
	f.mu.Unlock()
	switch body := fr.Body.(type) {
	case *wirepb.Frame_Opened:
		f.handleOpened(fr.Token)
	case *wirepb.Frame_KeepAliveAck:
		f.handleKeepAliveAck(body.KeepAliveAck.FeedActive)
	case *wirepb.Frame_FeedItem:
		f.handleFeedItem(body.FeedItem)
	case *wirepb.Frame_Answer:
		f.handleAnswer(body.Answer)
	case *wirepb.Frame_RequestAck:
		f.handleRequestAck(body.RequestAck)
	case *wirepb.Frame_Outcome:
		f.handleOutcome(body.Outcome)
	case *wirepb.Frame_FlowStatus:
		f.handleFlowStatus(body.FlowStatus)
	}
}

// handleOpened stores the first token. A later one is the reply to a resent open; it is ignored and
// expires unused.
func (f *Flow) handleOpened(token []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastReply = time.Now()
	if f.token == nil && len(token) > 0 {
		f.token = token
		close(f.opened)
	}
}

func (f *Flow) handleKeepAliveAck(feedActive bool) {
	f.mu.Lock()
	f.lastReply, f.awaitingReply = time.Now(), false
	feed := f.feed
	f.mu.Unlock()
	switch {
	case feed == nil:
	case feedActive:
		feed.setActive()
	default:
		feed.subscribe()
	}
}

func (f *Flow) handleFlowStatus(status *wirepb.FlowStatus) {
	if status.Gone {
		f.end(&FlowError{Reason: status.Reason})
	}
}
