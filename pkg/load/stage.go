package load

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"rosemarygate/client"
	"rosemarygate/pkg/fleet"
	"rosemarygate/pkg/standin"
)

// stage is a part of a run with its own offered load.
type stage struct {
	name         string
	duration     time.Duration
	offeredLoads []float64 // load by class as a share of all slots; nil for the steady load
	// onStart runs at the start of the stage; it may be nil.
	onStart func(s *stageRun) error
}

// stagePlan is a live experiment of admission and selection, in which the offered load changes and no
// process fails.
type stagePlan struct {
	sizes   map[string]stageSize
	callers int
	// meanFlowLifetime is the mean lifetime of a flow; 0 keeps flows open for the whole run.
	meanFlowLifetime time.Duration
	// keepAlivePeriod replaces the client's default time between two keep-alives of a flow.
	keepAlivePeriod  time.Duration
	absentUpstreams  int // number of upstreams that a stage starts later
	stalledUpstreams int // number of upstreams that stall; they do not count as capacity
	stages           func(d *stagedDeployment) []stage
	checks           func(s *stageRun) []Check
}

// stageResult holds the measurements of one stage.
type stageResult struct {
	collector          *collector
	slotTimeByClass    []time.Duration // slot time of the answers that arrived in this stage
	slotTimeByUpstream map[string]time.Duration
	cpuTime            time.Duration // of this process
	duration           time.Duration
	flowSamples        flowSamples
	// failedOpens counts the failed opens by reason.
	failedOpens map[string]int
}

// stageRun is one run of a stagePlan.
type stageRun struct {
	opts            Options
	plan            stagePlan
	deployment      stagedDeployment
	fleet           *fleet.Fleet
	clients         []*client.Client
	callers         []*client.Caller
	faults          map[string]*standin.Faults
	stages          []stage
	results         []*stageResult
	scheduleDigests string

	mu           sync.Mutex
	currentStage int
}

// stagedClientCount is the number of clients; each has its own socket and receiving goroutine.
const stagedClientCount = 8

func runStages(ctx context.Context, sc Scenario, o Options, p stagePlan) (*Report, error) {
	dep, err := newStagedDeployment(o.Deployment, p.sizes)
	if err != nil {
		return nil, err
	}
	cfg, err := dep.config()
	if err != nil {
		return nil, err
	}
	s := &stageRun{opts: o, plan: p, deployment: dep, fleet: fleet.New(cfg, dep.hostDataCentres, o.Log), faults: map[string]*standin.Faults{}}
	s.stages = scaleStages(p.stages(&s.deployment), o.Duration)
	defer s.fleet.Close()
	if err := s.start(); err != nil {
		return nil, err
	}
	defer s.closeClients()
	started := time.Now()
	if err := s.run(ctx); err != nil {
		return nil, err
	}
	return s.buildReport(sc.Name, time.Since(started)), nil
}

// scaleStages scales the stages to a total duration; 0 leaves them unchanged.
func scaleStages(list []stage, total time.Duration) []stage {
	var planned time.Duration
	for _, st := range list {
		planned += st.duration
	}
	for i := range list {
		if total > 0 {
			list[i].duration = time.Duration(float64(list[i].duration) * float64(total) / float64(planned))
		}
	}
	return list
}

func (s *stageRun) start() error {
	s.fleet.SetMisreport(s.newMisreport())
	present := s.deployment
	present.services = slices.Clone(s.deployment.services)
	present.services[0].upstreams -= s.plan.absentUpstreams
	err := present.startFleet(s.fleet, s.opts.Seed, func(name string) *standin.Faults {
		s.faults[name] = &standin.Faults{}
		return s.faults[name]
	})
	if err != nil {
		return err
	}
	for n := range stagedClientCount {
		c, err := s.fleet.Client(stagedPort, fleet.FabricFaults{}, s.opts.Seed+uint64(n), client.Config{KeepAlive: s.plan.keepAlivePeriod})
		if err != nil {
			return err
		}
		s.clients = append(s.clients, c)
	}
	for n := range s.plan.callers {
		s.callers = append(s.callers, s.clients[n%len(s.clients)].NewCaller())
	}
	return nil
}

func (s *stageRun) closeClients() {
	for _, c := range s.clients {
		_ = c.Close() // sockets are closed at process exit anyway
	}
}

// run offers the load of each stage in turn and waits until all requests have ended.
func (s *stageRun) run(ctx context.Context) error {
	var requests, background sync.WaitGroup
	backgroundCtx, stop := context.WithCancel(ctx)
	for n, c := range s.callers {
		background.Go(func() { s.holdFlow(backgroundCtx, c, n) })
	}
	background.Go(func() { s.sampleFlows(backgroundCtx) })
	defer background.Wait()
	defer stop()
	defer requests.Wait()
	for i := range s.stages {
		if err := s.enterStage(i); err != nil {
			return err
		}
		cpuTimeBefore, slotTimeBefore, began := cpuTime(), s.fleet.Records.SlotTimeByUpstream(), time.Now()
		if err := s.offerStage(ctx, i, &requests); err != nil {
			return err
		}
		r := s.results[i]
		r.cpuTime, r.duration, r.slotTimeByUpstream = cpuTime()-cpuTimeBefore, time.Since(began), s.fleet.Records.SlotTimeByUpstream()
		for name := range r.slotTimeByUpstream {
			r.slotTimeByUpstream[name] -= slotTimeBefore[name]
		}
		s.opts.Progress(fmt.Sprintf("slot time %v, mean open flows %v", r.slotTimeByUpstream, r.flowSamples.meanFlows()))
	}
	return nil
}

func (s *stageRun) enterStage(i int) error {
	st := s.stages[i]
	s.opts.Progress(fmt.Sprintf("%s for %s", st.name, st.duration))
	s.mu.Lock()
	s.currentStage = i
	s.results = append(s.results, &stageResult{
		collector: newCollector(s.deployment.classes), slotTimeByClass: make([]time.Duration, len(s.deployment.classes)), failedOpens: map[string]int{},
	})
	s.mu.Unlock()
	if st.onStart != nil {
		return st.onStart(s)
	}
	return nil
}

// offerStage sends the requests of a stage at the times of its schedule.
func (s *stageRun) offerStage(ctx context.Context, i int, requests *sync.WaitGroup) error {
	began := time.Now()
	schedule := s.stageSchedule(i)
	s.scheduleDigests += s.stageSchedule(i).digest()
	for n := 0; ; n++ {
		a := schedule.next()
		if a.at >= s.stages[i].duration {
			break
		}
		if wait := a.at - time.Since(began); wait > 0 && !sleep(ctx, wait) {
			return ctx.Err()
		}
		requests.Go(func() { s.runRequest(i, n, a) })
	}
	if !sleep(ctx, s.stages[i].duration-time.Since(began)) {
		return ctx.Err()
	}
	return nil
}

// stageSchedule returns the schedule of a stage.
func (s *stageRun) stageSchedule(i int) *arrivalSchedule {
	rates := s.deployment.arrivalRates(s.stages[i].offeredLoads, s.deployment.services[0].upstreams-s.plan.stalledUpstreams)
	classes := slices.Clone(s.deployment.classes)
	total := 0.0
	for k, r := range rates {
		classes[k].weight = r
		total += r
	}
	return newArrivalSchedule(s.opts.Seed+uint64(i)<<32, total, classes, len(s.callers))
}

func (s *stageRun) runRequest(stage, n int, a arrival) {
	k, spec := s.deployment.classes[a.class], s.deployment.classSpecs[a.class]
	ctx, cancel := context.WithTimeout(context.Background(), spec.Deadline)
	defer cancel()
	q := client.Request{Class: k.name, Idempotent: k.idempotent, Payload: fmt.Appendf(nil, "%s %d of stage %d", k.name, n, stage)}
	caller := s.callers[a.caller]
	col := s.results[stage].collector
	col.countOffered(a.class)
	offered := time.Now()
	attempts, _ := caller.Do(ctx, q) // the attempts hold the outcome
	col.recordEnd(a, offered, 0, attempts)
	if len(attempts) == 0 {
		return
	}
	last := attempts[len(attempts)-1]
	if last.Result.Outcome == client.Answered {
		s.recordSlotTime(a.class, s.fleet.Records.SlotTime(standin.RequestKey{Flow: last.Flow, Request: last.Result.ID}))
	}
	if s.plan.meanFlowLifetime > 0 && (last.Result.Outcome == client.Unknown || last.Result.Outcome == client.Deadline) {
		caller.Close() // its upstream does not answer
	}
}

// recordSlotTime adds the slot time of an answer to the stage in which the answer arrived.
func (s *stageRun) recordSlotTime(class int, slotTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results[s.currentStage].slotTimeByClass[class] += slotTime
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (s *stageRun) resultOf(name string) *stageResult {
	for i := range s.stages {
		if s.stages[i].name == name {
			return s.results[i]
		}
	}
	return nil
}

func (s *stageRun) buildReport(name string, took time.Duration) *Report {
	r := &Report{Scenario: name, Mode: "live", Seed: s.opts.Seed, Seconds: took.Seconds(), ScheduleDigest: s.scheduleDigests}
	for i, st := range s.stages {
		result := s.results[i]
		figures := map[string]float64{"cores_used": result.cpuTime.Seconds() / result.duration.Seconds(), "work": s.totalCapacityShare(result), "slots_busy": s.busySlotShare(result)}
		for k, c := range s.deployment.classSpecs {
			figures["kept_share "+c.Name] = s.capacityShare(result, k) / c.Share
		}
		for reason, n := range result.collector.unansweredReasons {
			figures[reason] = float64(n)
		}
		maps.Copy(figures, s.balanceFigures(result))
		r.Results = append(r.Results, Result{
			Deployment: s.deployment.name, Policy: PolicyOurs, Phase: st.name, Classes: result.collector.results(),
			Imbalance: result.flowSamples.imbalance(), RetriesByReason: result.collector.retries, Figures: figures,
		})
	}
	maps.Copy(r.Results[len(r.Results)-1].Figures, s.refusalCounters())
	r.Checks = append(s.commonChecks(), s.plan.checks(s)...)
	return r
}

// capacityShare returns the share of the capacity that was used by answered requests of a class in a
// stage.
func (s *stageRun) capacityShare(result *stageResult, class int) float64 {
	slots := s.deployment.capacity(s.deployment.services[0].upstreams - s.plan.stalledUpstreams)
	return result.slotTimeByClass[class].Seconds() / (slots * result.duration.Seconds())
}

func (s *stageRun) totalCapacityShare(result *stageResult) float64 {
	sum := 0.0
	for i := range result.slotTimeByClass {
		sum += s.capacityShare(result, i)
	}
	return sum
}

// busySlotShare returns the share of the slot capacity of the upstreams that was busy in a stage.
func (s *stageRun) busySlotShare(result *stageResult) float64 {
	var sum time.Duration
	for _, name := range s.upstreamNames(s.plan.stalledUpstreams, s.deployment.services[0].upstreams) {
		sum += result.slotTimeByUpstream[name]
	}
	return sum.Seconds() / (s.deployment.capacity(s.deployment.services[0].upstreams-s.plan.stalledUpstreams) * result.duration.Seconds())
}

// refusalCounters returns the daemons' counters by reason for the whole run.
func (s *stageRun) refusalCounters() map[string]float64 {
	out := map[string]float64{}
	for i := range s.fleet.Hosts() {
		for _, c := range s.fleet.Daemon(i).Status().Refusals {
			out[c.Counter+" "+c.Reason] += float64(c.Count)
		}
	}
	return out
}

func (s *stageRun) commonChecks() []Check {
	wrongAnswers, falseNotRun, answered := 0, 0, 0
	for _, result := range s.results {
		wrongAnswers += result.collector.wrongAnswers
		falseNotRun += result.collector.countFalseNotRun(s.fleet.Records)
		answered += result.collector.sumClasses(func(c *Class) int { return c.Answered })
	}
	return []Check{
		atMost("requests doubled", float64(s.fleet.Records.DoubledRequests()), 0),
		atMost("false not run", float64(falseNotRun), 0),
		atMost("wrong answers", float64(wrongAnswers), 0),
		atLeast("requests answered", float64(answered), 1),
	}
}
