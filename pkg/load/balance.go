package load

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"rosemarygate/client"
	"rosemarygate/pkg/daemon"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/refusal"
	"rosemarygate/pkg/registration"
	"rosemarygate/pkg/standin"
)

const (
	flowSamplePeriod = 500 * time.Millisecond
	// firstOpens is the time over which the callers open their first flows.
	firstOpens  = 5 * time.Second
	openTimeout = 5 * time.Second
	staleReport = 5 * time.Second
	coldTime    = 10 * time.Second
	coldFactor  = 3
	stallTime   = time.Hour // longer than any run
)

// flowSamples averages the open flows, and the busiest upstream over their mean number.
type flowSamples struct {
	sum, worst float64
	open       map[string]float64 // sum over samples by upstream
	n          int
}

func (f *flowSamples) add(flows map[string]float64) {
	if f.open == nil {
		f.open = map[string]float64{}
	}
	for name, v := range flows {
		f.open[name] += v
	}
	x := busiest(slices.Collect(maps.Values(flows)))
	f.sum += x
	f.worst = math.Max(f.worst, x)
	f.n++
}

// byName returns the mean number of open flows of each upstream.
func (f *flowSamples) byName() map[string]float64 {
	out := map[string]float64{}
	for name, v := range f.open {
		out[name] = math.Round(v / float64(f.n))
	}
	return out
}

func (f *flowSamples) imbalance() float64 {
	if f.n == 0 {
		return 1
	}
	return f.sum / float64(f.n)
}

// hold keeps a caller's flow open and, in a plan with lifetimes, replaces it at random times.
func (s *stages) hold(ctx context.Context, c *client.Caller, n int) {
	lives := s.lives(n)
	if !sleep(ctx, firstOpens*time.Duration(n)/time.Duration(len(s.callers))) {
		return
	}
	for ctx.Err() == nil {
		octx, cancel := context.WithTimeout(ctx, openTimeout)
		err := c.Open(octx)
		cancel()
		if err != nil {
			s.openFailed(ctx, err)
			continue
		}
		if !sleep(ctx, lives()) {
			return
		}
		if s.plan.life > 0 {
			c.Close()
		}
	}
}

// openFailed counts an open that found no upstream and waits before the next one.
func (s *stages) openFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	reason := "no reply"
	var refused *client.FlowError
	if errors.As(err, &refused) {
		reason = refusal.Name(refused.Reason)
	}
	s.mu.Lock()
	s.results[s.current].failedOpens[reason]++
	s.mu.Unlock()
	sleep(ctx, retryOpen)
}

// sampleFlows notes how even the open flows are over the upstreams that serve.
func (s *stages) sampleFlows(ctx context.Context) {
	for sleep(ctx, flowSamplePeriod) {
		flows := s.openFlows()
		if len(flows) < 2 {
			continue
		}
		s.mu.Lock()
		s.results[s.current].flows.add(flows)
		s.mu.Unlock()
	}
}

// openFlows returns the open flows of each upstream that counts, as their owners know them.
func (s *stages) openFlows() map[string]float64 {
	out := map[string]float64{}
	for i := range s.fleet.Hosts() {
		for _, u := range s.fleet.Daemon(i).Status().Upstreams {
			if u.Owned && !s.stalls(u.Name) {
				out[u.Name] = float64(u.Flows)
			}
		}
	}
	return out
}

// stalls reports whether an upstream is one of those that stall during the run: the first.
func (s *stages) stalls(name string) bool {
	return slices.Contains(s.names(0, s.plan.stalled), name)
}

// names returns the names of the upstreams from one number to before another.
func (s *stages) names(from, until int) []string {
	var out []string
	for n := from; n < until; n++ {
		out = append(out, s.dep.upstream(s.dep.services[0], n, 0).Name)
	}
	return out
}

// busiest returns the largest value over the mean; 1 is even.
func busiest(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	if sum == 0 {
		return 1
	}
	return slices.Max(values) * float64(len(values)) / sum
}

// busyImbalance returns the slot time of the busiest upstream over the mean.
func (s *stages) busyImbalance(x *stageResult) float64 {
	var busy []float64
	for _, name := range s.names(s.plan.stalled, s.dep.services[0].upstreams) {
		busy = append(busy, x.busy[name].Seconds())
	}
	return busiest(busy)
}

func (s *stages) balanceFigures(x *stageResult) map[string]float64 {
	out := map[string]float64{"busy_imbalance": s.busyImbalance(x), "flow_imbalance_highest": x.flows.worst}
	for _, n := range x.flows.byName() {
		out["open_flows"] += n
	}
	for reason, n := range x.failedOpens {
		out["opens failed, "+reason] = float64(n)
	}
	return out
}

// distortion is how the reports of an upstream mislead.
type distortion func(l registration.Load) registration.Load

// distortions are those of the model. Reports of 5 seconds ago are another one.
func (s *stages) distortions() []distortion {
	scale := func(l registration.Load, f float64) registration.Load {
		by := func(n int) int { return int(math.Round(float64(n) * f)) }
		l.Flows, l.Running, l.Queued = by(l.Flows), by(l.Running), by(l.Queued)
		return l
	}
	return []distortion{
		func(l registration.Load) registration.Load { return scale(l, 0) },
		func(l registration.Load) registration.Load { return scale(l, 0.3) },
		func(l registration.Load) registration.Load { return scale(l, 2) },
		func(l registration.Load) registration.Load {
			l.Flows, l.Running, l.Queued = s.dep.flowLimit/2, 1, 0
			return l
		},
		newDelay().report,
	}
}

// misreport lets a third of the upstreams report wrong or old loads; nil in a plan without
// lifetimes of flows, where selection does not matter.
func (s *stages) misreport() daemon.Misreport {
	if s.plan.life == 0 {
		return nil
	}
	kinds := s.distortions()
	wrong := map[ident.UpstreamID]distortion{}
	all := s.dep.services[0]
	for i, n := range s.misled() {
		s.opts.Progress(fmt.Sprintf("%s misreports in way %d", s.dep.upstream(all, n, 0).Name, i%len(kinds)))
		u := s.dep.upstream(all, n, 0)
		wrong[ident.Upstream(u.Service, u.DataCentre, u.Name)] = kinds[i%len(kinds)]
	}
	return func(_ time.Time, loads []registration.Load) []registration.Load {
		for i, l := range loads {
			if d := wrong[l.Upstream]; d != nil {
				loads[i] = d(l)
			}
		}
		return loads
	}
}

// misled returns the numbers of the upstreams with wrong reports: neither the one that stalls
// nor the cold one.
func (s *stages) misled() []int {
	n := s.dep.services[0].upstreams
	rng := rand.New(rand.NewPCG(s.opts.Seed, 6))
	var out []int
	for _, i := range rng.Perm(n - s.plan.stalled - s.plan.absent)[:n/3] {
		out = append(out, i+s.plan.stalled)
	}
	return out
}

// lives returns the lifetimes of a caller's flows.
func (s *stages) lives(n int) func() time.Duration {
	rng := rand.New(rand.NewPCG(s.opts.Seed, uint64(100+n)))
	return func() time.Duration {
		if s.plan.life == 0 {
			return stallTime
		}
		return time.Duration(rng.ExpFloat64() * float64(s.plan.life))
	}
}

// disturb starts the cold upstream and lets another one stall.
func disturb(s *stages) error {
	all := s.dep.services[0]
	for n := range s.plan.stalled {
		s.faults[s.dep.upstream(all, n, 0).Name].SetStall(stallTime)
	}
	for n := all.upstreams - s.plan.absent; n < all.upstreams; n++ {
		c := s.dep.upstream(all, n, s.opts.Seed)
		c.Faults = &standin.Faults{}
		c.Faults.SetCold(coldTime, coldFactor)
		if err := s.fleet.StartUpstream(c); err != nil {
			return err
		}
	}
	return nil
}

// delay reports what was true some seconds ago as if it were new.
type delay struct {
	mu   sync.Mutex
	past map[ident.UpstreamID][]registration.Load
}

func newDelay() *delay { return &delay{past: map[ident.UpstreamID][]registration.Load{}} }

func (d *delay) report(l registration.Load) registration.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	past := append(d.past[l.Upstream], l)
	for len(past) > 1 && l.At.Sub(past[1].At) >= staleReport {
		past = past[1:]
	}
	d.past[l.Upstream] = past
	old := past[0]
	l.Flows, l.Running, l.Queued = old.Flows, old.Running, old.Queued
	return l
}
