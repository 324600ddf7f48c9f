package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestQueueIsShortInFlood guards recovery: what is queued at the end of a flood delays the
// class for as long as an upstream at usual load needs to work it off. The slots must
// not lack work in the flood either.
func TestQueueIsShortInFlood(t *testing.T) {
	const service, deadline = 150 * time.Millisecond, 5 * time.Second
	s := NewScheduler(Limits{Slots: 2, Classes: []Class{{Name: "pull", Share: 1, QueueLimit: 64}}})
	ends := make(map[uint64]time.Time)
	id, longest := uint64(0), 0
	for ms := range 20_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for r, end := range ends {
			if end.After(now) {
				continue
			}
			delete(ends, r)
			run, _ := s.Done(now, r, Answered)
			for _, q := range run {
				ends[q.ID] = now.Add(service)
			}
		}
		if ms%8 == 0 { // 125 requests per second for a capacity of 13
			id++
			run, _ := s.Submit(now, Request{ID: id, Deadline: now.Add(deadline)})
			for _, q := range run {
				ends[q.ID] = now.Add(service)
			}
		}
		if ms < 2000 {
			continue
		}
		assert.Equal(t, len(ends), 2, "a slot is idle after %d ms", ms)
		longest = max(longest, s.Load().Queued)
	}
	wait := time.Duration(longest) * service / 2
	assert.Assert(t, wait < deadline/6, "%v of work are queued", wait)
}

// TestGuaranteeAtOnset guards the share of a class in the first two seconds of a flood of a
// more urgent one: the guarantee delay protects urgent latency, of which a flood has none.
func TestGuaranteeAtOnset(t *testing.T) {
	service := []time.Duration{4 * time.Millisecond, 150 * time.Millisecond}
	s := NewScheduler(Limits{Slots: 2, Classes: []Class{
		{Name: "cue", Share: 0.25, QueueLimit: 64},
		{Name: "archive", Share: 0.40, Priority: 1, QueueLimit: 64},
	}})
	type running struct {
		class int
		end   time.Time
	}
	ends := make(map[uint64]running)
	id, used := uint64(0), 0       // used: slot-milliseconds of archive in the flood
	const warm, flood = 3000, 2000 // milliseconds
	for ms := range warm + flood {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		begin := func(run []Request, _ []Refusal) {
			for _, q := range run {
				ends[q.ID] = running{q.Class, now.Add(service[q.Class])}
			}
		}
		submit := func(class int, deadline time.Duration) {
			id++
			begin(s.Submit(now, Request{ID: id, Class: class, Deadline: now.Add(deadline)}))
		}
		for r, e := range ends {
			if e.end.After(now) {
				if ms > warm {
					used += e.class
				}
				continue
			}
			delete(ends, r)
			begin(s.Done(now, r, Answered))
		}
		if ms%20 == 0 || ms > warm {
			submit(0, 100*time.Millisecond)
			submit(0, 100*time.Millisecond)
		}
		if ms%300 == 0 || (ms > warm && ms%50 == 0) {
			submit(1, 5*time.Second)
		}
	}
	share := float64(used) / (2 * flood)
	assert.Assert(t, share > 0.85*0.40, "archive got %.2f of the slots, guaranteed 0.40", share)
}
