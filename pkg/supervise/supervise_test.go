package supervise

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against parts that go on after another one has failed, and errors that get lost.
func TestFirstEndEndsAll(t *testing.T) {
	failure := errors.New("failure")
	ended, stopped := 0, make(chan struct{})
	tree := New()
	tree.Add(func(ctx context.Context) error {
		<-ctx.Done()
		ended++
		return nil
	})
	tree.AddStoppable(func() error { <-stopped; return nil }, func() { close(stopped) })
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	tree.Serve(&http.Server{}, l)
	tree.Add(func(context.Context) error { return failure })
	assert.Equal(t, tree.Run(), failure)
	assert.Equal(t, ended, 1)
	_, err = net.Dial("tcp4", l.Addr().String())
	assert.Assert(t, err != nil, "the server is closed")
}
