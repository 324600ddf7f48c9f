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

// BenchmarkRefuse measures the refusal of a request while all queues are full.
func BenchmarkRefuse(b *testing.B) {
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
