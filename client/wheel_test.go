package client

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against keep-alives that are lost, doubled, or early when they are further away
// than one turn of the wheel.
func TestWheelCallsOnceAndInTime(t *testing.T) {
	var w wheel
	waits := []time.Duration{0, time.Second, 3 * time.Second, 20 * time.Second}
	due := map[*Flow]time.Duration{}
	start := time.Now()
	for _, wait := range waits {
		f := new(Flow)
		due[f] = wait
		w.add(f, wait)
	}
	for at := wheelStep; len(due) > 0; at += wheelStep {
		assert.Assert(t, at < time.Minute)
		for _, f := range w.advance(start.Add(at)) {
			wait, ok := due[f]
			assert.Assert(t, ok)
			assert.Assert(t, at >= wait-2*wheelStep && at <= wait+3*wheelStep, "%s after %s", wait, at)
			delete(due, f)
		}
	}
}

const benchFlows = 100_000

// BenchmarkWheel is the cost of one keep-alive period of many flows on the wheel.
func BenchmarkWheel(b *testing.B) {
	var w wheel
	flows := make([]Flow, benchFlows)
	b.ReportAllocs()
	for b.Loop() {
		for i := range flows {
			w.add(&flows[i], time.Duration(i)*time.Second/benchFlows)
		}
		end := time.Now().Add(time.Minute)
		for range wheelSlots {
			w.advance(end)
		}
	}
}

// BenchmarkTimers is the same with a timer a flow, for comparison.
func BenchmarkTimers(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		fired := make(chan struct{}, benchFlows)
		for i := range benchFlows {
			time.AfterFunc(time.Duration(i)*time.Second/benchFlows/1000, func() { fired <- struct{}{} })
		}
		for range benchFlows {
			<-fired
		}
	}
}
