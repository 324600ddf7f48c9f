package standin

import (
	"math/rand/v2"
	"sync"
	"time"

	upstreampb "rosemarygate/api/upstream/v1"
)

// Faults are the faults that can be switched on in a stand-in. The zero value has none.
type Faults struct {
	mu                sync.Mutex
	shedRatio         float64
	requestDelay      time.Duration
	coldStartDuration time.Duration
	coldStartFactor   float64
	loadReport        *upstreampb.LoadReply
}

// SetShedRatio makes the stand-in refuse the given share of requests, from 0 to 1, before they run.
func (f *Faults) SetShedRatio(ratio float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shedRatio = ratio
}

// SetRequestDelay adds a delay to the service time of every request.
func (f *Faults) SetRequestDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requestDelay = d
}

// SetColdStart multiplies service times by factor during the first d after the stand-in's start.
func (f *Faults) SetColdStart(d time.Duration, factor float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.coldStartDuration, f.coldStartFactor = d, factor
}

// SetLoadReport replaces the reported load; nil restores the actual load.
func (f *Faults) SetLoadReport(report *upstreampb.LoadReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loadReport = report
}

func (f *Faults) shouldShed(rng *rand.Rand) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shedRatio > 0 && rng.Float64() < f.shedRatio
}

func (f *Faults) slowdownFactor(sinceStart time.Duration) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sinceStart < f.coldStartDuration {
		return f.coldStartFactor
	}
	return 1
}

func (f *Faults) addedDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requestDelay
}

func (f *Faults) overrideLoad(r *upstreampb.LoadReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loadReport != nil {
		r.Running, r.Queued, r.Flows = f.loadReport.Running, f.loadReport.Queued, f.loadReport.Flows
	}
}
