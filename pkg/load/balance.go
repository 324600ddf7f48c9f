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
	// firstOpenPeriod is the time over which the first opens of the callers are spread.
	firstOpenPeriod = 5 * time.Second
	openTimeout     = 5 * time.Second
	staleLoadAge    = 5 * time.Second
	coldDuration    = 10 * time.Second
	coldSlowdown    = 3
	longerThanRun   = time.Hour // longer than any run
)

// flowSamples averages the open flows of each upstream and the flow imbalance: the flows of the
// busiest upstream over the mean.
type flowSamples struct {
	imbalanceSum, highestImbalance float64
	flowSums                       map[string]float64 // open flows by upstream, summed over the samples
	sampleCount                    int
}

func (f *flowSamples) add(flows map[string]float64) {
	if f.flowSums == nil {
		f.flowSums = map[string]float64{}
	}
	for name, v := range flows {
		f.flowSums[name] += v
	}
	x := maxOverMean(slices.Collect(maps.Values(flows)))
	f.imbalanceSum += x
	f.highestImbalance = math.Max(f.highestImbalance, x)
	f.sampleCount++
}

// meanFlows returns the mean number of open flows of each upstream.
func (f *flowSamples) meanFlows() map[string]float64 {
	out := map[string]float64{}
	for name, v := range f.flowSums {
		out[name] = math.Round(v / float64(f.sampleCount))
	}
	return out
}

func (f *flowSamples) imbalance() float64 {
	if f.sampleCount == 0 {
		return 1
	}
	return f.imbalanceSum / float64(f.sampleCount)
}

// holdFlow keeps a caller's flow open and, in a plan with lifetimes, replaces it at random times.
func (s *stageRun) holdFlow(ctx context.Context, c *client.Caller, n int) {
	nextLifetime := s.flowLifetimes(n)
	if !sleep(ctx, firstOpenPeriod*time.Duration(n)/time.Duration(len(s.callers))) {
		return
	}
	for ctx.Err() == nil {
		openCtx, cancel := context.WithTimeout(ctx, openTimeout)
		err := c.Open(openCtx)
		cancel()
		if err != nil {
			s.recordFailedOpen(ctx, err)
			continue
		}
		if !sleep(ctx, nextLifetime()) {
			return
		}
		if s.plan.meanFlowLifetime > 0 {
			c.Close()
		}
	}
}

// recordFailedOpen counts an open that was refused or got no reply, and waits before the next one.
func (s *stageRun) recordFailedOpen(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	reason := "no reply"
	var refused *client.FlowError
	if errors.As(err, &refused) {
		reason = refusal.Name(refused.Reason)
	}
	s.mu.Lock()
	s.results[s.currentStage].failedOpens[reason]++
	s.mu.Unlock()
	sleep(ctx, reopenDelay)
}

// sampleFlows samples periodically how the open flows are spread over the upstreams.
func (s *stageRun) sampleFlows(ctx context.Context) {
	for sleep(ctx, flowSamplePeriod) {
		flows := s.openFlows()
		if len(flows) < 2 {
			continue
		}
		s.mu.Lock()
		s.results[s.currentStage].flowSamples.add(flows)
		s.mu.Unlock()
	}
}

// openFlows returns the open flows of each upstream that does not stall, as reported by its owner.
func (s *stageRun) openFlows() map[string]float64 {
	out := map[string]float64{}
	for i := range s.fleet.Hosts() {
		for _, u := range s.fleet.Daemon(i).Status().Upstreams {
			if u.Owned && !s.isStalled(u.Name) {
				out[u.Name] = float64(u.Flows)
			}
		}
	}
	return out
}

// isStalled reports whether an upstream is one of those that stall during the run; these have the
// lowest numbers.
func (s *stageRun) isStalled(name string) bool {
	return slices.Contains(s.upstreamNames(0, s.plan.stalledUpstreams), name)
}

// upstreamNames returns the names of the upstreams with the numbers from, from+1, ..., until-1.
func (s *stageRun) upstreamNames(from, until int) []string {
	var out []string
	for n := from; n < until; n++ {
		out = append(out, s.deployment.upstreamConfig(s.deployment.services[0], n, 0).Name)
	}
	return out
}

// maxOverMean returns the largest value over the mean; 1 means equal values.
func maxOverMean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	if sum == 0 {
		return 1
	}
	return slices.Max(values) * float64(len(values)) / sum
}

// slotTimeImbalance returns the slot time of the busiest upstream over the mean.
func (s *stageRun) slotTimeImbalance(result *stageResult) float64 {
	var slotTimes []float64
	for _, name := range s.upstreamNames(s.plan.stalledUpstreams, s.deployment.services[0].upstreams) {
		slotTimes = append(slotTimes, result.slotTimeByUpstream[name].Seconds())
	}
	return maxOverMean(slotTimes)
}

func (s *stageRun) balanceFigures(result *stageResult) map[string]float64 {
	out := map[string]float64{"busy_imbalance": s.slotTimeImbalance(result), "flow_imbalance_highest": result.flowSamples.highestImbalance}
	for _, n := range result.flowSamples.meanFlows() {
		out["open_flows"] += n
	}
	for reason, n := range result.failedOpens {
		out["opens failed, "+reason] = float64(n)
	}
	return out
}

// distortion falsifies the load that an upstream reports.
type distortion func(l registration.Load) registration.Load

// distortions returns the distortions of the model, and one that delays reports by staleLoadAge.
func (s *stageRun) distortions() []distortion {
	scale := func(load registration.Load, factor float64) registration.Load {
		scaled := func(n int) int { return int(math.Round(float64(n) * factor)) }
		load.Flows, load.Running, load.Queued = scaled(load.Flows), scaled(load.Running), scaled(load.Queued)
		return load
	}
	return []distortion{
		func(l registration.Load) registration.Load { return scale(l, 0) },
		func(l registration.Load) registration.Load { return scale(l, 0.3) },
		func(l registration.Load) registration.Load { return scale(l, 2) },
		func(l registration.Load) registration.Load {
			l.Flows, l.Running, l.Queued = s.deployment.flowLimit/2, 1, 0
			return l
		},
		newDelay().delayLoad,
	}
}

// newMisreport returns a function that falsifies the reports of a third of the upstreams. It returns
// nil in a plan without flow lifetimes, in which selection does not matter.
func (s *stageRun) newMisreport() daemon.Misreport {
	if s.plan.meanFlowLifetime == 0 {
		return nil
	}
	distortions := s.distortions()
	distortionByUpstream := map[ident.UpstreamID]distortion{}
	mainService := s.deployment.services[0]
	for i, n := range s.misreportingUpstreams() {
		s.opts.Progress(fmt.Sprintf("upstream %s reports false loads with distortion %d", s.deployment.upstreamConfig(mainService, n, 0).Name, i%len(distortions)))
		u := s.deployment.upstreamConfig(mainService, n, 0)
		distortionByUpstream[ident.Upstream(u.Service, u.DataCentre, u.Name)] = distortions[i%len(distortions)]
	}
	return func(_ time.Time, loads []registration.Load) []registration.Load {
		for i, l := range loads {
			if d := distortionByUpstream[l.Upstream]; d != nil {
				loads[i] = d(l)
			}
		}
		return loads
	}
}

// misreportingUpstreams returns the numbers of the upstreams with falsified reports, never of an
// upstream that stalls or starts cold.
func (s *stageRun) misreportingUpstreams() []int {
	n := s.deployment.services[0].upstreams
	rng := rand.New(rand.NewPCG(s.opts.Seed, 6))
	var out []int
	for _, i := range rng.Perm(n - s.plan.stalledUpstreams - s.plan.absentUpstreams)[:n/3] {
		out = append(out, i+s.plan.stalledUpstreams)
	}
	return out
}

// flowLifetimes returns a generator of lifetimes of a caller's flows.
func (s *stageRun) flowLifetimes(n int) func() time.Duration {
	rng := rand.New(rand.NewPCG(s.opts.Seed, uint64(100+n)))
	return func() time.Duration {
		if s.plan.meanFlowLifetime == 0 {
			return longerThanRun
		}
		return time.Duration(rng.ExpFloat64() * float64(s.plan.meanFlowLifetime))
	}
}

// startColdAndStall starts the cold upstream and makes another one stall.
func startColdAndStall(s *stageRun) error {
	mainService := s.deployment.services[0]
	for n := range s.plan.stalledUpstreams {
		s.faults[s.deployment.upstreamConfig(mainService, n, 0).Name].SetRequestDelay(longerThanRun)
	}
	for n := mainService.upstreams - s.plan.absentUpstreams; n < mainService.upstreams; n++ {
		c := s.deployment.upstreamConfig(mainService, n, s.opts.Seed)
		c.Faults = &standin.Faults{}
		c.Faults.SetColdStart(coldDuration, coldSlowdown)
		if err := s.fleet.StartUpstream(c); err != nil {
			return err
		}
	}
	return nil
}

// delay replaces the values of a load report by those of staleLoadAge ago and keeps its new
// timestamp.
type delay struct {
	mu      sync.Mutex
	history map[ident.UpstreamID][]registration.Load
}

func newDelay() *delay { return &delay{history: map[ident.UpstreamID][]registration.Load{}} }

func (d *delay) delayLoad(l registration.Load) registration.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	history := append(d.history[l.Upstream], l)
	for len(history) > 1 && l.At.Sub(history[1].At) >= staleLoadAge {
		history = history[1:]
	}
	d.history[l.Upstream] = history
	oldest := history[0]
	l.Flows, l.Running, l.Queued = oldest.Flows, oldest.Running, oldest.Queued
	return l
}
