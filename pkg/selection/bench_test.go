package selection

import (
	"fmt"
	"testing"
	"time"
)

var sizes = []int{15, 100, 1000, 4000}

// BenchmarkSet measures a change of the candidates while observations are kept.
func BenchmarkSet(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := candidates(n, home, 1<<30)
			table := newTable(c)
			for i, u := range c {
				table.Report(start, svc, Report{Upstream: u.Upstream, Flows: 100 + i%50, Healthy: true, At: start})
			}
			b.ReportAllocs()
			for b.Loop() {
				c[0].Draining = !c[0].Draining
				table.Set(start, svc, c)
			}
		})
	}
}

// BenchmarkPick measures one selection, with reports and observations present.
func BenchmarkPick(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := candidates(n, home, 1<<30)
			table := newTable(c)
			for i, u := range c {
				table.Report(start, svc, Report{Upstream: u.Upstream, Flows: 100 + i%50, Healthy: true, At: start})
			}
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(200 * time.Microsecond) // 5,000 flows per second
				if _, err := table.Pick(now, svc, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPickRetry measures the selection for a retry.
func BenchmarkPickRetry(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := newTable(candidates(n, home, 1<<30))
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(200 * time.Microsecond)
				if _, err := table.PickRetry(now, svc, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
