package registration

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"rosemarygate/api/peer/v1"
	"rosemarygate/pkg/ident"
)

const (
	// loadBudget bounds the load samples of one message in bytes. At ten received messages per
	// second a daemon receives 20 loads per second; sending each load to each daemon every second
	// would cost 63 KB/s with 3,930 upstreams.
	loadBudget = 48
	// maxLoadAge is the largest age of a sample that is sent or forwarded.
	maxLoadAge = 2 * time.Second
	// minLoadAdvance is the least time between two samples of one upstream; a sample that is
	// newer by less counts as the same.
	minLoadAdvance = 20 * time.Millisecond
	sampleAttempts = 4
	// maxReceivedLoads bounds the loads of other owners from which samples are forwarded.
	maxReceivedLoads = 64
)

// loadTable holds the newest known load of each upstream.
type loadTable struct {
	newest       map[ident.UpstreamID]Load
	reported     []ident.UpstreamID // upstreams whose load this daemon reported
	received     []ident.UpstreamID // upstreams whose load was received lately
	replacements int                // in received so far; selects the next one to replace
}

func newLoadTable() loadTable {
	return loadTable{newest: make(map[ident.UpstreamID]Load)}
}

func (l *loadTable) report(load Load) {
	if _, known := l.newest[load.Upstream]; !known || !contains(l.reported, load.Upstream) {
		l.reported = append(l.reported, load.Upstream)
	}
	l.newest[load.Upstream] = load
}

func contains(list []ident.UpstreamID, u ident.UpstreamID) bool {
	for _, o := range list {
		if o == u {
			return true
		}
	}
	return false
}

// removeStale removes upstreams without a load report for cleanEvery.
func (l *loadTable) removeStale(now time.Time) {
	stale := func(u ident.UpstreamID) bool { return now.Sub(l.newest[u].At) > cleanEvery }
	l.reported = removeIf(l.reported, stale)
	l.received = removeIf(l.received, stale)
	l.replacements = 0
	for u := range l.newest {
		if stale(u) {
			delete(l.newest, u)
		}
	}
}

func removeIf(list []ident.UpstreamID, remove func(ident.UpstreamID) bool) []ident.UpstreamID {
	remaining := list[:0]
	for _, u := range list {
		if !remove(u) {
			remaining = append(remaining, u)
		}
	}
	return remaining
}

// putSamples adds random samples to a message: one reported by this daemon, then a received one, or
// a second reported one when none has been received.
func (l *loadTable) putSamples(now time.Time, u *peerpb.RegistrationUpdate, remaining int, rng *rand.Rand) {
	for i, list := range [][]ident.UpstreamID{l.reported, l.received, l.reported} {
		if len(list) == 0 || i == 2 && len(l.received) > 0 {
			continue
		}
		load, ok := l.chooseSample(now, list, rng)
		if !ok {
			continue
		}
		s := encodeLoad(load, now.Sub(load.At))
		size := proto.Size(s) + fieldOverhead
		if size > remaining {
			return
		}
		remaining -= size
		u.Loads = append(u.Loads, s)
	}
}

// chooseSample returns the load of a random upstream of the list that is at most maxLoadAge old.
// It gives up after sampleAttempts upstreams.
func (l *loadTable) chooseSample(now time.Time, list []ident.UpstreamID, rng *rand.Rand) (Load, bool) {
	for range sampleAttempts {
		load := l.newest[list[rng.IntN(len(list))]]
		if age := now.Sub(load.At); age >= 0 && age <= maxLoadAge {
			return load, true
		}
	}
	return Load{}, false
}

func encodeLoad(load Load, age time.Duration) *peerpb.LoadSample {
	return &peerpb.LoadSample{
		Upstream:  uint64(load.Upstream),
		Flows:     uint32(load.Flows),
		Running:   uint32(load.Running),
		Queued:    uint32(load.Queued),
		Unhealthy: !load.Healthy,
		AgeMs:     uint32(age.Milliseconds()),
	}
}

// receiveLoads accepts samples that are newer than the known ones.
func (c *Core) receiveLoads(now time.Time, list []*peerpb.LoadSample) {
	var accepted []Load
	for _, s := range list {
		load := Load{
			Upstream: ident.UpstreamID(s.Upstream),
			Flows:    int(s.Flows),
			Running:  int(s.Running),
			Queued:   int(s.Queued),
			Healthy:  !s.Unhealthy,
			At:       now.Add(-time.Duration(s.AgeMs) * time.Millisecond),
		}
		if c.owned[load.Upstream] == nil && c.loads.accept(now, load) {
			accepted = append(accepted, load)
		}
	}
	if len(accepted) > 0 {
		c.actions = append(c.actions, LoadsReceived{Loads: accepted})
	}
}

func (l *loadTable) accept(now time.Time, load Load) bool {
	known, ok := l.newest[load.Upstream]
	if now.Sub(load.At) > maxLoadAge || ok && load.At.Sub(known.At) < minLoadAdvance {
		return false
	}
	l.newest[load.Upstream] = load
	if contains(l.received, load.Upstream) {
		return true
	}
	if len(l.received) < maxReceivedLoads {
		l.received = append(l.received, load.Upstream)
		return true
	}
	l.received[l.replacements%maxReceivedLoads] = load.Upstream
	l.replacements++
	return true
}
