package supervise

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against components that keep running after another one has failed, and against a lost error.
func TestFirstReturnStopsAll(t *testing.T) {
	failure := errors.New("failure")
	canceledComponents, stopped := 0, make(chan struct{})
	tree := New()
	tree.Add(func(ctx context.Context) error {
		<-ctx.Done()
		canceledComponents++
		return nil
	})
	tree.AddStoppable(func() error { <-stopped; return nil }, func() { close(stopped) })
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	tree.Serve(&http.Server{}, listener)
	tree.Add(func(context.Context) error { return failure })
	assert.Equal(t, tree.Run(), failure)
	assert.Equal(t, canceledComponents, 1)
	_, err = net.Dial("tcp4", listener.Addr().String())
	assert.Assert(t, err != nil, "the server is closed")
}
