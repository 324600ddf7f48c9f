package client

import (
	"context"
	"time"

	"github.com/pkg/errors"

	wirepb "rosemarygate/api/wire/v1"
)

// ownerReplyTimeout is how long a flow may be without a reply before new requests are delayed. It
// exceeds the resend delay of a lost datagram, so that a single loss delays no request.
const ownerReplyTimeout = 250 * time.Millisecond

// ownerLiveness tracks whether the flow's owner replies. A request is bound to the token of its first
// send, and its outcome is unknown when the owner of that token has crashed. A request that is
// delayed until a new owner has renewed the token runs instead.
type ownerLiveness struct {
	unansweredSince time.Time     // send time of the first frame since the last reply; zero when none
	tokenStale      bool          // the owner that the token names is gone
	responsive      chan struct{} // closed when the owner replies again; nil when nothing waits
}

func (l *ownerLiveness) recordSent(now time.Time) {
	if l.unansweredSince.IsZero() {
		l.unansweredSince = now
	}
}

// recordReply handles a frame from the service; renewed reports that it carried a token.
func (l *ownerLiveness) recordReply(renewed bool) {
	l.unansweredSince = time.Time{}
	if renewed {
		l.tokenStale = false
	}
	if !l.tokenStale && l.responsive != nil {
		close(l.responsive)
		l.responsive = nil
	}
}

func (l *ownerLiveness) isSilent(now time.Time) bool {
	return l.tokenStale || !l.unansweredSince.IsZero() && now.Sub(l.unansweredSince) > ownerReplyTimeout
}

// untilResponsive returns a channel that is closed when the owner replies again.
func (l *ownerLiveness) untilResponsive() <-chan struct{} {
	if l.responsive == nil {
		l.responsive = make(chan struct{})
	}
	return l.responsive
}

// awaitOwner waits until the flow's owner replies. It returns an error when ctx or the flow ends
// before that.
func (f *Flow) awaitOwner(ctx context.Context) error {
	for {
		f.mu.Lock()
		if !f.ownerLiveness.isSilent(time.Now()) {
			f.mu.Unlock()
			return nil
		}
		responsive := f.ownerLiveness.untilResponsive()
		token := f.token
		f.mu.Unlock()
		f.send(&wirepb.Frame{Token: token, Body: &wirepb.Frame_KeepAlive{KeepAlive: &wirepb.KeepAlive{}}})
		select {
		case <-responsive:
		case <-f.gone:
			return f.Err()
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "request was not sent, because the flow's owner does not answer: send it again")
		case <-time.After(jitter(unconfirmedResendDelay)):
		}
	}
}
