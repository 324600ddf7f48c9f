// Package supervise runs the components of a process as a group: when one returns, the others are stopped.
package supervise

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
)

// Tree is a group of components that share a context. A component may run another tree.
type Tree struct {
	group  run.Group
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns an empty tree. Its context is independent of the context that signals the process to
// stop, so that components run until the process has stopped serving.
func New() *Tree {
	t := &Tree{}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// Add adds a component that runs until its context ends.
func (t *Tree) Add(run func(context.Context) error) {
	t.group.Add(func() error { return run(t.ctx) }, func(error) { t.cancel() })
}

// AddStoppable adds a component that is stopped by a call of stop.
func (t *Tree) AddStoppable(run func() error, stop func()) {
	t.group.Add(run, func(error) { stop() })
}

// Serve adds an HTTP server. A component may stop the server before the tree ends: the others go on.
func (t *Tree) Serve(server *http.Server, listener net.Listener) {
	t.AddStoppable(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.WithStack(err)
		}
		<-t.ctx.Done() // the first component that returns ends the tree
		return nil
	}, func() {
		StopServer(server)
		t.cancel()
	})
}

// serverStopTimeout is how long a stopping HTTP server waits for the requests that it has accepted.
const serverStopTimeout = time.Second

// StopServer stops an HTTP server after it has answered the accepted requests, or after serverStopTimeout.
func StopServer(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), serverStopTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		server.Close() // requests that take longer are cut off
	}
}

// Run runs the components until all have returned, and returns the error of the one that returned first.
func (t *Tree) Run() error {
	defer t.cancel()
	return t.group.Run()
}

// Every calls f once a period until ctx ends. It returns nil, so that it can be used as a component.
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
