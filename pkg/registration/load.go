package registration

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"rosemarygate/api/peer/v1"
	"rosemarygate/pkg/ident"
)

const (
	// loadBudget bounds the load samples of one message in bytes. At ten messages received per
	// second a daemon learns of 20 loads per second; sending each load to each daemon every
	// second would cost 63 KB/s with 3,930 upstreams.
	loadBudget = 48
	// maxLoadAge is the age up to which a sample is sent, and passed on by others.
	maxLoadAge = 2 * time.Second
	// sameLoad is the difference up to which two samples of one upstream count as the same.
	sameLoad    = 20 * time.Millisecond
	chooseTries = 4
	// maxSamples bounds the loads of other owners from which samples are passed on.
	maxSamples = 64
)

// loads holds the newest load of each upstream that was heard of.
type loads struct {
	newest  map[ident.UpstreamID]Load
	own     []ident.UpstreamID // reported by this daemon
	samples []ident.UpstreamID // received lately
	next    int                // in samples
}

func newLoads() loads {
	return loads{newest: make(map[ident.UpstreamID]Load)}
}

func (l *loads) report(load Load) {
	if _, known := l.newest[load.Upstream]; !known || !contains(l.own, load.Upstream) {
		l.own = append(l.own, load.Upstream)
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

// clean forgets upstreams that were not reported for long.
func (l *loads) clean(now time.Time) {
	old := func(u ident.UpstreamID) bool { return now.Sub(l.newest[u].At) > cleanEvery }
	l.own = keep(l.own, old)
	l.samples = keep(l.samples, old)
	l.next = 0
	for u := range l.newest {
		if old(u) {
			delete(l.newest, u)
		}
	}
}

func keep(list []ident.UpstreamID, old func(ident.UpstreamID) bool) []ident.UpstreamID {
	kept := list[:0]
	for _, u := range list {
		if !old(u) {
			kept = append(kept, u)
		}
	}
	return kept
}

// put adds random samples to a message: one of this daemon's own, then received ones.
func (l *loads) put(now time.Time, u *peerpb.RegistrationUpdate, room int, rng *rand.Rand) {
	for i, list := range [][]ident.UpstreamID{l.own, l.samples, l.own} {
		if len(list) == 0 || i == 2 && len(l.samples) > 0 {
			continue
		}
		load, ok := l.choose(now, list, rng)
		if !ok {
			continue
		}
		s := encodeLoad(load, now.Sub(load.At))
		size := proto.Size(s) + fieldOverhead
		if size > room {
			return
		}
		room -= size
		u.Loads = append(u.Loads, s)
	}
}

// choose returns a random load of the list that is young enough, unless there are few of them.
func (l *loads) choose(now time.Time, list []ident.UpstreamID, rng *rand.Rand) (Load, bool) {
	for range chooseTries {
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

// receiveLoads takes in samples that are newer than what is known.
func (c *Core) receiveLoads(now time.Time, list []*peerpb.LoadSample) {
	var fresh []Load
	for _, s := range list {
		load := Load{
			Upstream: ident.UpstreamID(s.Upstream),
			Flows:    int(s.Flows),
			Running:  int(s.Running),
			Queued:   int(s.Queued),
			Healthy:  !s.Unhealthy,
			At:       now.Add(-time.Duration(s.AgeMs) * time.Millisecond),
		}
		if c.owned[load.Upstream] == nil && c.loads.receive(now, load) {
			fresh = append(fresh, load)
		}
	}
	if len(fresh) > 0 {
		c.out = append(c.out, Loaded{Loads: fresh})
	}
}

func (l *loads) receive(now time.Time, load Load) bool {
	known, ok := l.newest[load.Upstream]
	if now.Sub(load.At) > maxLoadAge || ok && load.At.Sub(known.At) < sameLoad {
		return false
	}
	l.newest[load.Upstream] = load
	if contains(l.samples, load.Upstream) {
		return true
	}
	if len(l.samples) < maxSamples {
		l.samples = append(l.samples, load.Upstream)
		return true
	}
	l.samples[l.next%maxSamples] = load.Upstream
	l.next++
	return true
}
