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

// stage is a part of a run with its own offered loads.
type stage struct {
	name   string
	length time.Duration
	loads  []float64 // part of all slots, by class; nil for the steady load
	// begin runs at the start of the stage; nil for nothing.
	begin func(s *stages) error
}

// stagePlan is a live experiment of admission and selection: offered load changes, and no
// process fails.
type stagePlan struct {
	sizes   map[string]size
	callers int
	// life is the mean lifetime of a flow; 0 for flows that stay.
	life time.Duration
	// keepAlive replaces the client's time between two keep-alives of a flow.
	keepAlive time.Duration
	absent    int // upstreams that are started by a stage
	stalled   int // upstreams that stall, which do not count as capacity
	stages    func(d *staged) []stage
	checks    func(s *stages) []Check
}

// stageResult is what callers and stand-ins saw of one stage.
type stageResult struct {
	col   *collector
	work  []time.Duration // by class: slot time of answers that arrived in this stage
	busy  map[string]time.Duration
	cpu   time.Duration // of this process
	took  time.Duration
	flows flowSamples
	// failedOpens counts opens without an upstream by reason.
	failedOpens map[string]int
}

// stages is one run.
type stages struct {
	opts     Options
	plan     stagePlan
	dep      staged
	fleet    *fleet.Fleet
	clients  []*client.Client
	callers  []*client.Caller
	faults   map[string]*standin.Faults
	list     []stage
	results  []*stageResult
	schedule string

	mu      sync.Mutex
	current int
}

// stagedClients is the number of sockets, each with a receiving goroutine.
const stagedClients = 8

func runStages(ctx context.Context, sc Scenario, o Options, p stagePlan) (*Report, error) {
	dep, err := newStaged(o.Deployment, p.sizes)
	if err != nil {
		return nil, err
	}
	cfg, err := dep.config()
	if err != nil {
		return nil, err
	}
	s := &stages{opts: o, plan: p, dep: dep, fleet: fleet.New(cfg, dep.hosts, o.Log), faults: map[string]*standin.Faults{}}
	s.list = scaled(p.stages(&s.dep), o.For)
	defer s.fleet.Close()
	if err := s.start(); err != nil {
		return nil, err
	}
	defer s.disconnect()
	started := time.Now()
	if err := s.run(ctx); err != nil {
		return nil, err
	}
	return s.report(sc.Name, time.Since(started)), nil
}

// scaled fits the stages into a time; 0 leaves them as they are.
func scaled(list []stage, total time.Duration) []stage {
	var planned time.Duration
	for _, st := range list {
		planned += st.length
	}
	for i := range list {
		if total > 0 {
			list[i].length = time.Duration(float64(list[i].length) * float64(total) / float64(planned))
		}
	}
	return list
}

func (s *stages) start() error {
	s.fleet.SetMisreport(s.misreport())
	present := s.dep
	present.services = slices.Clone(s.dep.services)
	present.services[0].upstreams -= s.plan.absent
	err := present.start(s.fleet, s.opts.Seed, func(name string) *standin.Faults {
		s.faults[name] = &standin.Faults{}
		return s.faults[name]
	})
	if err != nil {
		return err
	}
	for n := range stagedClients {
		c, err := s.fleet.Client(stagedPort, fleet.FabricFaults{}, s.opts.Seed+uint64(n), client.Config{KeepAlive: s.plan.keepAlive})
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

func (s *stages) disconnect() {
	for _, c := range s.clients {
		_ = c.Close() // the sockets end with the process
	}
}

// run offers the load of each stage in turn and waits for the ends of all requests.
func (s *stages) run(ctx context.Context) error {
	var requests, background sync.WaitGroup
	bctx, stop := context.WithCancel(ctx)
	for n, c := range s.callers {
		background.Go(func() { s.hold(bctx, c, n) })
	}
	background.Go(func() { s.sampleFlows(bctx) })
	defer background.Wait()
	defer stop()
	defer requests.Wait()
	for i := range s.list {
		if err := s.enter(i); err != nil {
			return err
		}
		cpu, busy, began := cpuTime(), s.fleet.Records.Busy(), time.Now()
		if err := s.offer(ctx, i, &requests); err != nil {
			return err
		}
		r := s.results[i]
		r.cpu, r.took, r.busy = cpuTime()-cpu, time.Since(began), s.fleet.Records.Busy()
		for name := range r.busy {
			r.busy[name] -= busy[name]
		}
		s.opts.Progress(fmt.Sprintf("slot time %v, mean flows %v", r.busy, r.flows.byName()))
	}
	return nil
}

func (s *stages) enter(i int) error {
	st := s.list[i]
	s.opts.Progress(fmt.Sprintf("%s for %s", st.name, st.length))
	s.mu.Lock()
	s.current = i
	s.results = append(s.results, &stageResult{
		col: newCollector(s.dep.classes), work: make([]time.Duration, len(s.dep.classes)), failedOpens: map[string]int{},
	})
	s.mu.Unlock()
	if st.begin != nil {
		return st.begin(s)
	}
	return nil
}

// offer sends the requests of a stage at the times of its schedule.
func (s *stages) offer(ctx context.Context, i int, requests *sync.WaitGroup) error {
	began := time.Now()
	schedule := s.arrivals(i)
	s.schedule += s.arrivals(i).digest()
	for n := 0; ; n++ {
		a := schedule.next()
		if a.at >= s.list[i].length {
			break
		}
		if wait := a.at - time.Since(began); wait > 0 && !sleep(ctx, wait) {
			return ctx.Err()
		}
		requests.Go(func() { s.request(i, n, a) })
	}
	if !sleep(ctx, s.list[i].length-time.Since(began)) {
		return ctx.Err()
	}
	return nil
}

// arrivals returns the schedule of a stage.
func (s *stages) arrivals(i int) *arrivals {
	rates := s.dep.rates(s.list[i].loads, s.dep.services[0].upstreams-s.plan.stalled)
	classes := slices.Clone(s.dep.classes)
	total := 0.0
	for k, r := range rates {
		classes[k].weight = r
		total += r
	}
	return newArrivals(s.opts.Seed+uint64(i)<<32, total, classes, len(s.callers))
}

func (s *stages) request(stage, n int, a arrival) {
	k, spec := s.dep.classes[a.class], s.dep.specs[a.class]
	ctx, cancel := context.WithTimeout(context.Background(), spec.Deadline)
	defer cancel()
	q := client.Request{Class: k.name, Idempotent: k.idempotent, Payload: fmt.Appendf(nil, "%s %d of stage %d", k.name, n, stage)}
	caller := s.callers[a.caller]
	col := s.results[stage].col
	col.offered(a.class)
	offered := time.Now()
	attempts, _ := caller.Do(ctx, q) // the attempts say how it ended
	col.ended(a, offered, 0, attempts)
	if len(attempts) == 0 {
		return
	}
	last := attempts[len(attempts)-1]
	if last.Result.Outcome == client.Answered {
		s.worked(a.class, s.fleet.Records.Took(standin.RunKey{Flow: last.Flow, Request: last.Result.ID}))
	}
	if s.plan.life > 0 && (last.Result.Outcome == client.Unknown || last.Result.Outcome == client.Deadline) {
		caller.Close() // its upstream does not answer
	}
}

// worked counts the slot time of an answer in the stage in which it arrived.
func (s *stages) worked(class int, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results[s.current].work[class] += took
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (s *stages) result(name string) *stageResult {
	for i := range s.list {
		if s.list[i].name == name {
			return s.results[i]
		}
	}
	return nil
}

func (s *stages) report(name string, took time.Duration) *Report {
	r := &Report{Scenario: name, Mode: "live", Seed: s.opts.Seed, Seconds: took.Seconds(), Schedule: s.schedule}
	for i, st := range s.list {
		x := s.results[i]
		f := map[string]float64{"cores_used": x.cpu.Seconds() / x.took.Seconds(), "work": s.total(x), "slots_busy": s.slotsBusy(x)}
		for k, c := range s.dep.specs {
			f["kept_share "+c.Name] = s.part(x, k) / c.Share
		}
		for reason, n := range x.col.reasons {
			f[reason] = float64(n)
		}
		maps.Copy(f, s.balanceFigures(x))
		r.Results = append(r.Results, Result{
			Deployment: s.dep.name, Policy: PolicyOurs, Phase: st.name, Classes: x.col.result(),
			Imbalance: x.flows.imbalance(), Retries: x.col.retries, Figures: f,
		})
	}
	maps.Copy(r.Results[len(r.Results)-1].Figures, s.counters())
	r.Checks = append(s.commonChecks(), s.plan.checks(s)...)
	return r
}

// part returns the part of the capacity that answers of a class took in a stage.
func (s *stages) part(x *stageResult, class int) float64 {
	slots := s.dep.capacity(s.dep.services[0].upstreams - s.plan.stalled)
	return x.work[class].Seconds() / (slots * x.took.Seconds())
}

func (s *stages) total(x *stageResult) float64 {
	sum := 0.0
	for i := range x.work {
		sum += s.part(x, i)
	}
	return sum
}

// slotsBusy returns the part of the capacity in which requests ran at the upstreams.
func (s *stages) slotsBusy(x *stageResult) float64 {
	var sum time.Duration
	for _, name := range s.names(s.plan.stalled, s.dep.services[0].upstreams) {
		sum += x.busy[name]
	}
	return sum.Seconds() / (s.dep.capacity(s.dep.services[0].upstreams-s.plan.stalled) * x.took.Seconds())
}

// counters returns the daemons' counters with a reason over the whole run.
func (s *stages) counters() map[string]float64 {
	out := map[string]float64{}
	for i := range s.fleet.Hosts() {
		for _, c := range s.fleet.Daemon(i).Status().Refusals {
			out[c.Counter+" "+c.Reason] += float64(c.Count)
		}
	}
	return out
}

func (s *stages) commonChecks() []Check {
	wrong, falsely, answered := 0, 0, 0
	for _, x := range s.results {
		wrong += x.col.wrong
		falsely += x.col.falseNotRun(s.fleet.Records)
		answered += x.col.sum(func(c *Class) int { return c.Answered })
	}
	return []Check{
		atMost("requests doubled", float64(s.fleet.Records.Doubled()), 0),
		atMost("false not run", float64(falsely), 0),
		atMost("wrong answers", float64(wrong), 0),
		atLeast("requests answered", float64(answered), 1),
	}
}
