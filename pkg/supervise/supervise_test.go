package supervise

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

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

// Guards against a planned stop that cuts off requests which the server has just accepted.
func TestAcceptedRequestsAreAnsweredAtStop(t *testing.T) {
	const requests = 20
	accepted, answer := make(chan struct{}, requests), make(chan struct{})
	tree := New()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	tree.Serve(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		accepted <- struct{}{}
		<-answer
	})}, listener)
	stop := make(chan struct{})
	tree.Add(func(context.Context) error { <-stop; return nil })
	ended := make(chan error, 1)
	go func() { ended <- tree.Run() }()
	results := make(chan error, requests)
	for range requests {
		go func() {
			response, err := http.Get("http://" + listener.Addr().String())
			if err == nil {
				err = response.Body.Close()
			}
			results <- err
		}()
	}
	for range requests {
		<-accepted
	}
	close(stop)
	time.AfterFunc(100*time.Millisecond, func() { close(answer) })
	for range requests {
		assert.NilError(t, <-results)
	}
	assert.NilError(t, <-ended)
}

// Guards against components that end while a stopping server still answers accepted requests, which may
// need them.
func TestStoppedServerDoesNotEndTree(t *testing.T) {
	tree := New()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{}
	tree.Serve(server, listener)
	endedEarly := false
	tree.Add(func(ctx context.Context) error {
		StopServer(server)
		select {
		case <-ctx.Done():
			endedEarly = true
		case <-time.After(50 * time.Millisecond):
		}
		return nil
	})
	assert.NilError(t, tree.Run())
	assert.Assert(t, !endedEarly)
}
