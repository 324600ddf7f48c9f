// Package supervise runs the parts of a process as one group: the first part that ends ends the others.
package supervise

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
)

// Tree is a group of parts that share a context. Trees nest: a part may run another tree.
type Tree struct {
	group run.Group
	ctx   context.Context
	end   context.CancelFunc
}

// New returns an empty tree. Its context is independent of the one that asks the process to stop, so
// that parts go on until the process has stopped serving.
func New() *Tree {
	t := &Tree{}
	t.ctx, t.end = context.WithCancel(context.Background())
	return t
}

// Add adds a part that runs until its context ends.
func (t *Tree) Add(f func(context.Context) error) {
	t.group.Add(func() error { return f(t.ctx) }, func(error) { t.end() })
}

// AddStoppable adds a part that stop ends.
func (t *Tree) AddStoppable(f func() error, stop func()) {
	t.group.Add(f, func(error) { stop() })
}

// Serve adds an HTTP server.
func (t *Tree) Serve(s *http.Server, l net.Listener) {
	t.AddStoppable(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.WithStack(err)
		}
		return nil
	}, func() { s.Close() })
}

// Run runs the parts and returns the error of the one that ended first, after all have ended.
func (t *Tree) Run() error {
	defer t.end()
	return t.group.Run()
}

// Every calls f once a period until ctx ends. It returns nil, so that it can be a part of a tree.
func Every(ctx context.Context, period time.Duration, f func()) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			f()
		}
	}
}
