package client

import (
	"context"
	"time"

	"github.com/pkg/errors"

	wirepb "rosemarygate/api/wire/v1"
)

// silentAfter is how long a flow may wait for any reply before new requests are held back.
// It exceeds the resend of a lost datagram, so that a single loss holds nothing back.
const silentAfter = 250 * time.Millisecond

// silence tracks whether the flow's owner answers. A request is bound to the token it is
// first sent with, and ends as unknown when that token's owner has crashed; one that is
// held back until a new owner has renewed the token runs instead.
type silence struct {
	unanswered time.Time     // first frame sent since the last reply; zero when none
	stale      bool          // the owner named in the token is gone
	heard      chan struct{} // closed at the next reply that ends the silence
}

func (s *silence) sent(now time.Time) {
	if s.unanswered.IsZero() {
		s.unanswered = now
	}
}

// reply takes a frame from the service. renewed says that it carried a token.
func (s *silence) reply(renewed bool) {
	s.unanswered = time.Time{}
	if renewed {
		s.stale = false
	}
	if !s.stale && s.heard != nil {
		close(s.heard)
		s.heard = nil
	}
}

func (s *silence) silent(now time.Time) bool {
	return s.stale || !s.unanswered.IsZero() && now.Sub(s.unanswered) > silentAfter
}

// wait returns a channel that is closed when the silence ends.
func (s *silence) wait() <-chan struct{} {
	if s.heard == nil {
		s.heard = make(chan struct{})
	}
	return s.heard
}

// awaitOwner waits until the flow's owner answers. The error says that ctx or the flow
// ended before.
func (f *Flow) awaitOwner(ctx context.Context) error {
	for {
		f.mu.Lock()
		if !f.silence.silent(time.Now()) {
			f.mu.Unlock()
			return nil
		}
		heard := f.silence.wait()
		token := f.token
		f.mu.Unlock()
		f.send(&wirepb.Frame{Token: token, Body: &wirepb.Frame_KeepAlive{KeepAlive: &wirepb.KeepAlive{}}})
		select {
		case <-heard:
		case <-f.gone:
			return f.Err()
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "request was not sent, because the flow's owner does not answer: send it again")
		case <-time.After(jitter(unconfirmedResend)):
		}
	}
}
