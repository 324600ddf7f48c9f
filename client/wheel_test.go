package client

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against keep-alives that are lost, sent twice, or sent too early when they are due after
// more than one turn of the wheel.
func TestWheelReturnsEachFlowOnceAndInTime(t *testing.T) {
	var w timerWheel
	waits := []time.Duration{0, time.Second, 3 * time.Second, 20 * time.Second}
	due := map[*Flow]time.Duration{}
	start := time.Now()
	for _, wait := range waits {
		f := new(Flow)
		due[f] = wait
		w.add(f, wait)
	}
	for elapsed := wheelTick; len(due) > 0; elapsed += wheelTick {
		assert.Assert(t, elapsed < time.Minute)
		for _, f := range w.advance(start.Add(elapsed)) {
			wait, ok := due[f]
			assert.Assert(t, ok)
			assert.Assert(t, elapsed >= wait-2*wheelTick && elapsed <= wait+3*wheelTick, "%s after %s", wait, elapsed)
			delete(due, f)
		}
	}
}

const benchFlows = 100_000

// BenchmarkWheel measures one keep-alive interval of many flows on the wheel.
func BenchmarkWheel(b *testing.B) {
	var w timerWheel
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

// BenchmarkTimers measures the same with one timer for each flow, for comparison.
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
