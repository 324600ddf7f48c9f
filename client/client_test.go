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

func openFlow(t *testing.T, s *simulatedService) (*client.Client, *client.Flow) {
	t.Helper()
	c := client.New(s, client.Config{KeepAlive: 100 * time.Millisecond})
	t.Cleanup(func() { c.Close() })
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	f, err := c.Open(ctx)
	assert.NilError(t, err)
	return c, f
}

func doRequest(t *testing.T, f *client.Flow, payload []byte) client.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	r, err := f.Do(ctx, client.Request{Class: "any", Payload: payload})
	assert.NilError(t, err)
	return r
}

func payloadForAnswerSize(n uint32) []byte { return binary.BigEndian.AppendUint32(nil, n) }

// Guards against large answers that are sent in one burst, overrun socket buffers, and then wait for
// one resend after another.
func TestLargeAnswerUnderLoss(t *testing.T) {
	_, f := openFlow(t, newSimulatedService(t, faults{loss: 0.02, duplicate: 0.02, reorder: 0.02}))
	start := time.Now()
	r := doRequest(t, f, payloadForAnswerSize(1<<20))
	assert.Equal(t, r.Outcome, client.Answered)
	assert.Equal(t, len(r.Answer), 1<<20)
	assert.Equal(t, binary.BigEndian.Uint64(r.Answer), r.ID)
	assert.Assert(t, time.Since(start) < 5*time.Second, "took %s", time.Since(start))
	t.Logf("1 MB answer with 2%% loss: %s", time.Since(start))
}

// Guards against large requests whose parts are all resent after a loss, or joined in the wrong
// order.
func TestLargeRequestUnderLoss(t *testing.T) {
	s := newSimulatedService(t, faults{loss: 0.02, duplicate: 0.02, reorder: 0.02})
	_, f := openFlow(t, s)
	payload := make([]byte, 300_000)
	for i := range payload {
		payload[i] = byte(i * 7)
	}
	start := time.Now()
	r := doRequest(t, f, payload)
	assert.Equal(t, r.Outcome, client.Answered)
	assert.Assert(t, bytes.Equal(r.Answer[8:], payload))
	assert.Assert(t, time.Since(start) < 5*time.Second, "took %s", time.Since(start))
	t.Logf("300 kB request and answer with 2%% loss: %s", time.Since(start))
}

// Guards against requests that run twice or get the answer of another request when the network loses,
// duplicates and reorders a tenth of the datagrams.
func TestRequestsUnderHeavyFaults(t *testing.T) {
	s := newSimulatedService(t, faults{loss: 0.1, duplicate: 0.1, reorder: 0.1})
	_, f := openFlow(t, s)
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() {
			payload := bytes.Repeat([]byte{byte(i)}, 100)
			r := doRequest(t, f, payload)
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

// Guards against late answers of ended requests, and answers of other flows, that are taken for the
// answer of the request in progress.
func TestLateAnswersOfOtherRequests(t *testing.T) {
	s := newSimulatedService(t, faults{})
	_, f := openFlow(t, s)
	first := doRequest(t, f, []byte("first"))
	for range 3 {
		s.inject(&wirepb.Frame{FlowId: f.ID(), Body: &wirepb.Frame_Answer{Answer: &wirepb.Answer{
			RequestId: first.ID, Parts: 1, Payload: []byte("late"),
		}}})
		s.inject(&wirepb.Frame{FlowId: f.ID() + 1, Body: &wirepb.Frame_Answer{Answer: &wirepb.Answer{
			RequestId: first.ID + 1, Parts: 1, Payload: []byte("other flow"),
		}}})
	}
	second := doRequest(t, f, []byte("second"))
	assert.Equal(t, second.Outcome, client.Answered)
	assert.Equal(t, string(second.Answer[8:]), "second")
}

// Guards against missing keep-alives when many flows share the timer wheel.
func TestKeepAlivesOfManyFlows(t *testing.T) {
	s := newSimulatedService(t, faults{})
	c := client.New(s, client.Config{KeepAlive: 100 * time.Millisecond, FlowTimeout: time.Second})
	defer c.Close()
	var flows []*client.Flow
	for range 50 {
		f, err := c.Open(t.Context())
		assert.NilError(t, err)
		flows = append(flows, f)
	}
	time.Sleep(1500 * time.Millisecond) // longer than FlowTimeout
	for _, f := range flows {
		assert.NilError(t, f.Err())
	}
}
