package client

import (
	"sync"
	"time"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/frame"
	"rosemarygate/pkg/refusal"
)

// FlowError says why a flow was refused or has ended.
type FlowError struct{ Reason wirepb.Reason }

// Error names the reason and the remedy.
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
	nextID        uint64
	requests      map[uint64]*pending
	feed          *Feed
	lastReply     time.Time
	awaitReply    bool // a keep-alive has not been answered
	silence       silence
	nextKeepAlive time.Time // while no reply is awaited
}

// ID returns the flow's identifier, as daemons and upstreams see it.
func (f *Flow) ID() uint64 { return f.id }

// Err returns why the flow has ended, or nil while it is open.
func (f *Flow) Err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// Gone is closed when the flow has ended.
func (f *Flow) Gone() <-chan struct{} { return f.gone }

// Close ends the flow. The close may be lost; the flow then expires at the service.
func (f *Flow) Close() {
	f.send(&wirepb.Frame{Token: f.currentToken(), Body: &wirepb.Frame_Close{Close: &wirepb.Close{}}})
	f.fail(&FlowError{Reason: wirepb.Reason_REASON_CANCELLED})
}

func (f *Flow) currentToken() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.token
}

// send encodes and sends a frame; a frame that cannot be sent counts as lost. It returns
// false for a frame that is too large.
func (f *Flow) send(fr *wirepb.Frame) bool {
	fr.FlowId = f.id
	b, err := frame.Encode(nil, fr)
	if err != nil {
		return false
	}
	if expectsReply(fr) {
		f.mu.Lock()
		f.silence.sent(time.Now())
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

// fail ends the flow, its feed and its requests.
func (f *Flow) fail(err error) {
	f.client.forget(f)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return
	}
	f.err = err
	close(f.gone)
}

// keepAlive sends a keep-alive that is due, and wakes soon to repeat it without a reply.
func (f *Flow) keepAlive() {
	f.mu.Lock()
	if f.err != nil {
		f.mu.Unlock()
		return
	}
	if left := time.Until(f.nextKeepAlive); !f.awaitReply && left > 0 {
		f.mu.Unlock()
		f.client.wheel.add(f, left)
		return
	}
	silent := time.Since(f.lastReply)
	wait := f.client.cfg.KeepAlive
	f.awaitReply, f.nextKeepAlive = true, time.Now().Add(jitter(wait))
	token := f.token
	f.mu.Unlock()
	if silent > f.client.cfg.FlowTimeout {
		f.fail(&FlowError{Reason: wirepb.Reason_REASON_OWNER_GONE})
		return
	}
	f.send(&wirepb.Frame{Token: token, Body: &wirepb.Frame_KeepAlive{KeepAlive: &wirepb.KeepAlive{}}})
	f.client.wheel.add(f, jitter(min(wait, unconfirmedResend)))
}

func (f *Flow) handle(fr *wirepb.Frame) {
	f.mu.Lock()
	if o := fr.GetOutcome(); o != nil && o.Reason == wirepb.Reason_REASON_OWNER_GONE {
		f.silence.stale = true
	}
	if fr.GetKeepAliveAck() != nil && len(fr.Token) > 0 {
		f.token = fr.Token
	}
	f.silence.reply(len(fr.Token) > 0)
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
		f.handleStatus(body.FlowStatus)
	}
}

// handleOpened takes the first token; a later one belongs to a repeated open and is left
// to expire.
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
	f.lastReply, f.awaitReply = time.Now(), false
	feed := f.feed
	f.mu.Unlock()
	switch {
	case feed == nil:
	case feedActive:
		feed.confirm()
	default:
		feed.subscribe()
	}
}

func (f *Flow) handleStatus(s *wirepb.FlowStatus) {
	if s.Gone {
		f.fail(&FlowError{Reason: s.Reason})
	}
}
