package standin

import (
	"math/rand/v2"
	"sync"
	"time"

	upstreampb "rosemarygate/api/upstream/v1"
)

// Faults are a stand-in's switchable faults. The zero value has none.
type Faults struct {
	mu         sync.Mutex
	shedRatio  float64
	stall      time.Duration
	coldFor    time.Duration
	coldFactor float64
	misload    *upstreampb.LoadReply
}

// SetShed makes the stand-in refuse the given part of requests before they begin.
func (f *Faults) SetShed(ratio float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shedRatio = ratio
}

// SetStall adds a delay to every request.
func (f *Faults) SetStall(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stall = d
}

// SetCold multiplies service times by factor during the first d after the start.
func (f *Faults) SetCold(d time.Duration, factor float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.coldFor, f.coldFactor = d, factor
}

// SetLoadReport replaces the load report; nil restores the true one.
func (f *Faults) SetLoadReport(r *upstreampb.LoadReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.misload = r
}

func (f *Faults) shed(rng *rand.Rand) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shedRatio > 0 && rng.Float64() < f.shedRatio
}

func (f *Faults) slowdown(age time.Duration) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if age < f.coldFor {
		return f.coldFactor
	}
	return 1
}

func (f *Faults) stallTime() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stall
}

func (f *Faults) misreport(r *upstreampb.LoadReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.misload != nil {
		r.Running, r.Queued, r.Flows = f.misload.Running, f.misload.Queued, f.misload.Flows
	}
}
