package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestQueueIsShortInFlood guards against slow recovery after a flood: the queue at its end delays
// the class until an upstream at normal load has drained it. During the flood the slots must not
// become idle either.
func TestQueueIsShortInFlood(t *testing.T) {
	const service, deadline = 150 * time.Millisecond, 5 * time.Second
	s := NewScheduler(Limits{Slots: 2, Classes: []Class{{Name: "pull", Share: 1, QueueLimit: 64}}})
	endTimes := make(map[uint64]time.Time)
	id, maxQueued := uint64(0), 0
	for ms := range 20_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for r, end := range endTimes {
			if end.After(now) {
				continue
			}
			delete(endTimes, r)
			run, _ := s.Done(now, r, Answered)
			for _, q := range run {
				endTimes[q.ID] = now.Add(service)
			}
		}
		if ms%8 == 0 { // 125 requests per second for a capacity of 13
			id++
			run, _ := s.Submit(now, Request{ID: id, Deadline: now.Add(deadline)})
			for _, q := range run {
				endTimes[q.ID] = now.Add(service)
			}
		}
		if ms < 2000 {
			continue
		}
		assert.Equal(t, len(endTimes), 2, "a slot is idle after %d ms", ms)
		maxQueued = max(maxQueued, s.Load().Queued)
	}
	wait := time.Duration(maxQueued) * service / 2
	assert.Assert(t, wait < deadline/6, "%v of work is queued", wait)
}

// TestGuaranteeAtOnsetOfFlood guards the share of a class in the first two seconds of a flood of a
// more urgent one. The guarantee delay must not apply, because a flooding class has no low latency
// to protect.
func TestGuaranteeAtOnsetOfFlood(t *testing.T) {
	service := []time.Duration{4 * time.Millisecond, 150 * time.Millisecond}
	s := NewScheduler(Limits{Slots: 2, Classes: []Class{
		{Name: "cue", Share: 0.25, QueueLimit: 64},
		{Name: "archive", Share: 0.40, Priority: 1, QueueLimit: 64},
	}})
	type running struct {
		class int
		end   time.Time
	}
	runningRequests := make(map[uint64]running)
	id, archiveUse := uint64(0), 0   // slot-milliseconds used by class archive during the flood
	const warmUp, flood = 3000, 2000 // milliseconds
	for ms := range warmUp + flood {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		addRunning := func(run []Request, _ []Refusal) {
			for _, q := range run {
				runningRequests[q.ID] = running{q.Class, now.Add(service[q.Class])}
			}
		}
		submit := func(class int, deadline time.Duration) {
			id++
			addRunning(s.Submit(now, Request{ID: id, Class: class, Deadline: now.Add(deadline)}))
		}
		for r, e := range runningRequests {
			if e.end.After(now) {
				if ms > warmUp {
					archiveUse += e.class
				}
				continue
			}
			delete(runningRequests, r)
			addRunning(s.Done(now, r, Answered))
		}
		if ms%20 == 0 || ms > warmUp {
			submit(0, 100*time.Millisecond)
			submit(0, 100*time.Millisecond)
		}
		if ms%300 == 0 || (ms > warmUp && ms%50 == 0) {
			submit(1, 5*time.Second)
		}
	}
	share := float64(archiveUse) / (2 * flood)
	assert.Assert(t, share > 0.85*0.40, "archive got %.2f of the slots, guaranteed 0.40", share)
}
