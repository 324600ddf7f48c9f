package selection

import (
	"fmt"
	"testing"
	"time"
)

var poolSizes = []int{15, 100, 1000, 4000}

// BenchmarkSet measures replacing the candidates of a service while observations are kept.
func BenchmarkSet(b *testing.B) {
	for _, n := range poolSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newCandidates(n, localDC, 1<<30)
			table := newTable(c)
			for i, u := range c {
				table.Report(testStart, testService, Report{Upstream: u.Upstream, Flows: 100 + i%50, Healthy: true, At: testStart})
			}
			b.ReportAllocs()
			for b.Loop() {
				c[0].Draining = !c[0].Draining
				table.Set(testStart, testService, c)
			}
		})
	}
}

// BenchmarkPick measures one selection, with reports and observations present.
func BenchmarkPick(b *testing.B) {
	for _, n := range poolSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newCandidates(n, localDC, 1<<30)
			table := newTable(c)
			for i, u := range c {
				table.Report(testStart, testService, Report{Upstream: u.Upstream, Flows: 100 + i%50, Healthy: true, At: testStart})
			}
			now := testStart
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(200 * time.Microsecond) // 5,000 flows per second
				if _, err := table.Pick(now, testService, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPickRetry measures one selection for a retry.
func BenchmarkPickRetry(b *testing.B) {
	for _, n := range poolSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := newTable(newCandidates(n, localDC, 1<<30))
			now := testStart
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(200 * time.Microsecond)
				if _, err := table.PickRetry(now, testService, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
