package client_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/client"
)

func openFlow(t *testing.T, s *service) (*client.Client, *client.Flow) {
	t.Helper()
	c := client.New(s, client.Config{KeepAlive: 100 * time.Millisecond})
	t.Cleanup(func() { c.Close() })
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	f, err := c.Open(ctx)
	assert.NilError(t, err)
	return c, f
}

func do(t *testing.T, f *client.Flow, payload []byte) client.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	r, err := f.Do(ctx, client.Request{Class: "any", Payload: payload})
	assert.NilError(t, err)
	return r
}

func wantSize(n uint32) []byte { return binary.BigEndian.AppendUint32(nil, n) }

// Guards against large answers that overrun socket buffers in one burst and then wait for
// one resend after another.
func TestLargeAnswerUnderLoss(t *testing.T) {
	_, f := openFlow(t, newService(t, faults{loss: 0.02, duplicate: 0.02, reorder: 0.02}))
	began := time.Now()
	r := do(t, f, wantSize(1<<20))
	assert.Equal(t, r.Outcome, client.Answered)
	assert.Equal(t, len(r.Answer), 1<<20)
	assert.Equal(t, binary.BigEndian.Uint64(r.Answer), r.ID)
	assert.Assert(t, time.Since(began) < 5*time.Second, "took %s", time.Since(began))
	t.Logf("1 MB answer with 2%% loss: %s", time.Since(began))
}

// Guards against large requests that are resent whole, and against parts put together in
// the wrong order.
func TestLargeRequestUnderLoss(t *testing.T) {
	s := newService(t, faults{loss: 0.02, duplicate: 0.02, reorder: 0.02})
	_, f := openFlow(t, s)
	payload := make([]byte, 300_000)
	for i := range payload {
		payload[i] = byte(i * 7)
	}
	began := time.Now()
	r := do(t, f, payload)
	assert.Equal(t, r.Outcome, client.Answered)
	assert.Assert(t, bytes.Equal(r.Answer[8:], payload))
	assert.Assert(t, time.Since(began) < 5*time.Second, "took %s", time.Since(began))
	t.Logf("300 kB request and answer with 2%% loss: %s", time.Since(began))
}

// Guards against requests that run twice or get the answer of another request when the
// network loses, repeats and reorders a tenth of the datagrams.
func TestRequestsUnderHeavyFaults(t *testing.T) {
	s := newService(t, faults{loss: 0.1, duplicate: 0.1, reorder: 0.1})
	_, f := openFlow(t, s)
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() {
			payload := bytes.Repeat([]byte{byte(i)}, 100)
			r := do(t, f, payload)
			assert.Check(t, r.Outcome == client.Answered)
			assert.Check(t, binary.BigEndian.Uint64(r.Answer) == r.ID)
			assert.Check(t, bytes.Equal(r.Answer[8:], payload))
		})
	}
	wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Equal(t, len(s.runs), 100)
	for id, n := range s.runs {
		assert.Equal(t, n, 1, "request %d", id)
	}
}

// Guards against late answers of ended requests, and answers with other part counts, that
// end up in the answer of the request in progress.
func TestLateAnswersOfOtherRequests(t *testing.T) {
	s := newService(t, faults{})
	_, f := openFlow(t, s)
	first := do(t, f, []byte("first"))
	for range 3 {
		s.inject(&wirepb.Frame{FlowId: f.ID(), Body: &wirepb.Frame_Answer{Answer: &wirepb.Answer{
			RequestId: first.ID, Parts: 1, Payload: []byte("late"),
		}}})
		s.inject(&wirepb.Frame{FlowId: f.ID() + 1, Body: &wirepb.Frame_Answer{Answer: &wirepb.Answer{
			RequestId: first.ID + 1, Parts: 1, Payload: []byte("other flow"),
		}}})
	}
	second := do(t, f, []byte("second"))
	assert.Equal(t, second.Outcome, client.Answered)
	assert.Equal(t, string(second.Answer[8:]), "second")
}

// Guards against flows that lose their keep-alives on the shared wheel.
func TestKeepAlivesOfManyFlows(t *testing.T) {
	s := newService(t, faults{})
	c := client.New(s, client.Config{KeepAlive: 100 * time.Millisecond, FlowTimeout: time.Second})
	defer c.Close()
	var flows []*client.Flow
	for range 50 {
		f, err := c.Open(t.Context())
		assert.NilError(t, err)
		flows = append(flows, f)
	}
	time.Sleep(1500 * time.Millisecond) // longer than the timeout without a reply
	for _, f := range flows {
		assert.NilError(t, f.Err())
	}
}
