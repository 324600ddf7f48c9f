package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"

	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/owner"
	"rosemarygate/pkg/registration"
)

// reconnectBackoff returns delays short enough to reconnect within a lease, since requests are held
// while a connection is lost.
func reconnectBackoff() backoff.Config {
	return backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: time.Second}
}

// sessions holds the sessions of the upstreams that this daemon owns.
type sessions struct {
	ctx         context.Context
	shards      *shards
	log         logrus.FieldLogger
	dialOptions []grpc.DialOption

	mu         sync.RWMutex
	byUpstream map[ident.UpstreamID]*session
}

// open connects to an upstream, or applies changed limits to its session. It replaces a session to an
// older incarnation.
func (s *sessions) open(reg registration.Registration, service string) error {
	s.mu.Lock()
	old := s.byUpstream[reg.Upstream]
	if old != nil && old.registration().Incarnation == reg.Incarnation {
		s.mu.Unlock()
		old.update(reg)
		return nil
	}
	next, err := newSession(s.ctx, reg, service, s.shards, s.log, s.dialOptions)
	if err == nil {
		s.byUpstream[reg.Upstream] = next
	}
	s.mu.Unlock()
	if old != nil {
		old.close()
	}
	return err
}

func (s *sessions) close(u ident.UpstreamID) {
	s.mu.Lock()
	old := s.byUpstream[u]
	delete(s.byUpstream, u)
	s.mu.Unlock()
	if old != nil {
		old.close()
	}
}

func (s *sessions) find(u ident.UpstreamID) *session {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byUpstream[u]
}

// isConnected reports whether the feed stream of an upstream is open.
func (s *sessions) isConnected(u ident.UpstreamID) bool {
	c := s.find(u)
	return c != nil && c.connected.Load()
}

// upstreams returns the upstreams that have a session.
func (s *sessions) upstreams() []ident.UpstreamID {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]ident.UpstreamID, 0, len(s.byUpstream))
	for u := range s.byUpstream {
		out = append(out, u)
	}
	return out
}

func (s *sessions) execute(a owner.Execute) {
	if c := s.find(a.Upstream); c != nil {
		c.execute(a)
		return
	}
	go s.shards.post(a.Upstream, owner.ExecuteDone{Upstream: a.Upstream, Call: a.Call, Result: owner.NotBegun})
}

func (s *sessions) run(ctx context.Context) error {
	<-ctx.Done()
	for _, u := range s.upstreams() {
		s.close(u)
	}
	return nil
}
