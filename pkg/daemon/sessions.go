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

// fastBackoff reconnects within a lease, since a lost connection holds requests back.
func fastBackoff() backoff.Config {
	return backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: time.Second}
}

// sessions holds the sessions of the upstreams that this daemon owns.
type sessions struct {
	ctx    context.Context
	shards *shards
	log    logrus.FieldLogger
	dial   []grpc.DialOption

	mu  sync.RWMutex
	all map[ident.UpstreamID]*session
}

// open connects to an upstream, or takes changed limits over. A session to an older
// incarnation is replaced.
func (s *sessions) open(reg registration.Registration, service string) error {
	s.mu.Lock()
	old := s.all[reg.Upstream]
	if old != nil && old.registration().Incarnation == reg.Incarnation {
		s.mu.Unlock()
		old.update(reg)
		return nil
	}
	next, err := newSession(s.ctx, reg, service, s.shards, s.log, s.dial)
	if err == nil {
		s.all[reg.Upstream] = next
	}
	s.mu.Unlock()
	if old != nil {
		old.close()
	}
	return err
}

func (s *sessions) close(u ident.UpstreamID) {
	s.mu.Lock()
	old := s.all[u]
	delete(s.all, u)
	s.mu.Unlock()
	if old != nil {
		old.close()
	}
}

func (s *sessions) find(u ident.UpstreamID) *session {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.all[u]
}

// connected reports whether the feed stream of an upstream is open.
func (s *sessions) connected(u ident.UpstreamID) bool {
	c := s.find(u)
	return c != nil && c.connected.Load()
}

// owned returns the upstreams that have a session.
func (s *sessions) owned() []ident.UpstreamID {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]ident.UpstreamID, 0, len(s.all))
	for u := range s.all {
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
	for _, u := range s.owned() {
		s.close(u)
	}
	return nil
}
