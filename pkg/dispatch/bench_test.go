package dispatch

import (
	"fmt"
	"testing"
	"time"
)

func manyClasses(n int) []Class {
	out := make([]Class, n)
	for i := range out {
		out[i] = Class{Name: fmt.Sprint(i), Share: 1 / float64(n), Priority: i, QueueLimit: 16}
	}
	return out
}

// BenchmarkServe measures one admission, dispatch and completion.
func BenchmarkServe(b *testing.B) {
	for _, n := range []int{3, 10, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := NewScheduler(Limits{Slots: 3, Classes: manyClasses(n)})
			now := start
			b.ReportAllocs()
			for i := range b.N {
				now = now.Add(10 * time.Microsecond)
				s.Submit(now, Request{ID: uint64(i), Class: i % n, Deadline: now.Add(time.Second)})
				now = now.Add(10 * time.Microsecond)
				s.Done(now, uint64(i), Answered)
			}
		})
	}
}

// BenchmarkRefuseQueueFull measures the refusal of a request while all queues are full.
func BenchmarkRefuseQueueFull(b *testing.B) {
	for _, n := range []int{3, 10, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := NewScheduler(Limits{Slots: 3, Classes: manyClasses(n)})
			now := start
			for i := range 3 + 16*n + n {
				s.Submit(now, Request{ID: uint64(i), Class: i % n})
			}
			b.ReportAllocs()
			for i := range b.N {
				now = now.Add(10 * time.Microsecond)
				s.Submit(now, Request{ID: uint64(1000000 + i), Class: i % n})
			}
		})
	}
}

// BenchmarkRefuseDeadline measures the refusal of a request whose deadline cannot be met,
// while other requests are running and queued.
func BenchmarkRefuseDeadline(b *testing.B) {
	for _, n := range []int{3, 10, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, now, _ := busyScheduler(n)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(10 * time.Microsecond)
				_, refused := s.Submit(now, Request{ID: uint64(1000000 + i), Class: i % n, Deadline: now.Add(2 * benchService)})
				if len(refused) != 1 || refused[0].Reason != ReasonDeadline {
					b.Fatalf("refusals are %v, want one for the deadline", refused)
				}
			}
		})
	}
}

// BenchmarkServeBusy measures one admission, dispatch and completion in the state of
// BenchmarkRefuseDeadline: each request is queued, and each completion starts a queued one.
func BenchmarkServeBusy(b *testing.B) {
	for _, n := range []int{3, 10, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, now, running := busyScheduler(n)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(10 * time.Microsecond)
				r := running[i%len(running)]
				s.Submit(now, Request{ID: uint64(1000000 + i), Class: r.Class})
				now = now.Add(10 * time.Microsecond)
				run, _ := s.Done(now, r.ID, Answered)
				if len(run) != 1 {
					b.Fatalf("%d requests started, want 1", len(run))
				}
				running[i%len(running)] = run[0]
			}
		})
	}
}

const benchService = 10 * time.Millisecond

// busyScheduler returns a scheduler that has observed the service time of every class, with all
// slots in use and each queue half full.
func busyScheduler(n int) (*Scheduler, time.Time, []Request) {
	s := NewScheduler(Limits{Slots: 3, Classes: manyClasses(n)})
	now := start
	for i := range n {
		s.Submit(now, Request{ID: uint64(i), Class: i})
		now = now.Add(benchService)
		s.Done(now, uint64(i), Answered)
	}
	var running []Request
	for i := range 3 + 8*n {
		run, _ := s.Submit(now, Request{ID: uint64(1000 + i), Class: i % n})
		running = append(running, run...)
	}
	return s, now, running
}
