package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"rosemarygate/pkg/dispatch"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/selection"
)

// Policy is what decides in a run.
type Policy string

// Policies.
const (
	Ours      Policy = "ours"
	Naive     Policy = "naive"
	Bounded   Policy = "bounded"   // naive, with short queues
	Threshold Policy = "threshold" // ours, with spill-over by a queue-difference threshold
)

func (p Policy) isNaive() bool { return p == Naive || p == Bounded }

const (
	service        = ident.ServiceID(1)
	tickEvery      = 10 * time.Millisecond
	reportEvery    = time.Second
	maxReportDelay = 500 * time.Millisecond
	staleReport    = 5 * time.Second
	maxAttempts    = 3
	maxOpenHops    = 3
	sampleEvery    = 100 * time.Millisecond // of the imbalance of flows
	usualFlows     = 0.8                    // part of the flow limits
)

// Config is one run.
type Config struct {
	Deployment Deployment
	Policy     Policy
	Seed       uint64
	Phases     []Phase
	DCWeights  []float64     // part of the callers in each data centre; nil for even by capacity
	Misleading bool          // a third of the reports is wrong or old
	ColdAt     time.Duration // the last upstream joins then; 0 for at the start
	FlowLoad   float64       // part of the flow limits in use; 0 for usualFlows
	RealSlots  int           // slots that the upstreams really have; 0 for the declared number
	StallAt    time.Duration // the first upstream stalls then; 0 for never
}

type request struct {
	class    int
	upstream int
	entry    int // daemon that relayed it
	flow     int
	attempts int
	arrived  int64
	deadline int64
	work     float64 // nanoseconds
	phase    int
	tried    []ident.UpstreamID
	running  bool
	extra    int64 // network delay, nanoseconds
}

// flow is kept small: a flood looks at random ones of tens of thousands.
type flow struct {
	upstream int32
	dc       int32
	gen      int32
	pos      int32 // in live, -1 when closed
}

type simulation struct {
	Config
	clock
	rng       *rand.Rand
	upstreams []*upstream
	daemons   []int // data centre of each
	policy    policy
	requests  []request
	freeReq   []int
	flows     []flow
	freeFlow  []int
	live      []int32
	reports   []selection.Report
	freeRep   []int
	phase     int
	rates     []float64 // arrivals per second by class
	result    *Result
	wrong     []distortion
	loads     []float64 // scratch of sampleFlows
	todo      []int     // requests to start, see drain
}

// distortion is how the reports of an upstream mislead.
type distortion uint8

const (
	honest distortion = iota
	zero
	scaledDown
	scaledUp
	constant
	stale
)

// Run executes one run.
func Run(c Config) *Result {
	s := &simulation{Config: c, rng: rand.New(rand.NewPCG(c.Seed, 0))}
	s.clock.start = time.Unix(1_000_000, 0)
	s.result = &Result{Deployment: c.Deployment.Name, Policy: c.Policy, Seed: c.Seed, LowestSlots: c.Deployment.Slots, slots: c.Deployment.Slots}
	for _, cl := range c.Deployment.Classes {
		s.result.shares = append(s.result.shares, cl.Share)
	}
	s.phase = -1
	s.build()
	s.policy = newPolicy(s)
	s.begin()
	for {
		e, ok := s.next()
		if !ok || s.phase >= len(s.Phases) {
			break
		}
		s.result.Events++
		s.handle(e)
	}
	s.result.MeanSlots = s.policy.meanSlots()
	return s.result
}

func (s *simulation) realSlots() int {
	if s.RealSlots > 0 {
		return s.RealSlots
	}
	return s.Deployment.Slots
}

func (s *simulation) build() {
	d := s.Deployment
	for i := range d.Upstreams {
		s.upstreams = append(s.upstreams, &upstream{slots: s.realSlots(), dc: i % d.DataCentres})
	}
	for i := range d.Daemons {
		s.daemons = append(s.daemons, i%d.DataCentres)
	}
	s.timer = slices.Repeat([]int64{never}, len(d.Classes)+d.Upstreams)
	s.wrong = make([]distortion, d.Upstreams)
	if s.Misleading {
		kinds := []distortion{zero, scaledDown, scaledUp, constant, stale}
		for i, k := range s.rng.Perm(d.Upstreams - 2)[:d.Upstreams/3] {
			s.wrong[k+1] = kinds[i%len(kinds)]
		}
	}
	if s.ColdAt > 0 {
		s.upstreams[d.Upstreams-1].absent = true
	}
}

// begin schedules the first events. The flows of the steady state open during the first
// two seconds.
func (s *simulation) begin() {
	d := s.Deployment
	at := int64(0)
	for i, p := range s.Phases {
		s.after(at, phaseStart, i, 0)
		at += int64(p.Length)
	}
	s.after(at, phaseStart, len(s.Phases), 0)
	const fill = 2 * time.Second
	n := s.steadyFlows()
	for i := range n {
		s.after(int64(fill)*int64(i)/int64(n), openFlow, s.callerDC(), 1)
	}
	s.after(int64(fill), openFlow, s.callerDC(), 0)
	s.after(int64(tickEvery), tick, 0, 0)
	for i := range d.Upstreams {
		s.after(int64(reportEvery)*int64(i)/int64(d.Upstreams), deliver, -1, i)
	}
}

// steadyFlows returns the open flows of the steady state.
func (s *simulation) steadyFlows() int {
	load := s.FlowLoad
	if load == 0 {
		load = usualFlows
	}
	return int(load * float64(s.Deployment.FlowLimit*s.serving()))
}

func (s *simulation) serving() int {
	n := s.Deployment.Upstreams
	if s.StallAt > 0 {
		n--
	}
	return n
}

func (s *simulation) callerDC() int {
	n := s.Deployment.DataCentres
	if s.DCWeights == nil {
		return s.upstreams[s.rng.IntN(len(s.upstreams))].dc
	}
	x := s.rng.Float64()
	for i, w := range s.DCWeights {
		if x -= w; x < 0 {
			return i
		}
	}
	return n - 1
}

// entry returns the daemon of a data centre to which the fabric brings a packet.
func (s *simulation) entry(dc int) int {
	n := 0
	chosen := 0
	for i, d := range s.daemons {
		if d != dc {
			continue
		}
		n++
		if s.rng.IntN(n) == 0 {
			chosen = i
		}
	}
	return chosen
}

func (s *simulation) exponential(mean float64) int64 { return int64(s.rng.ExpFloat64() * mean) }

func (s *simulation) handle(e event) {
	a, b := int(e.a), int(e.b)
	switch e.kind {
	case phaseStart:
		s.enter(a)
	case alarm:
		s.expire(a)
	case openFlow:
		s.open(a, b == 1)
	case endFlow:
		if s.flows[a].gen == e.b {
			s.close(a)
		}
	case attempt:
		s.submit(a)
	case deliver:
		s.report(a, b)
	case tick:
		s.tick()
	}
}

// enter begins a phase and finishes the last one.
func (s *simulation) enter(phase int) {
	if s.phase >= 0 {
		s.finishPhase(s.result.Phases[s.phase])
	}
	s.phase = phase
	if phase >= len(s.Phases) {
		return
	}
	p := s.Phases[phase]
	s.result.Phases = append(s.result.Phases, newPhaseResult(s.Deployment, p))
	for _, u := range s.upstreams {
		u.advance(s.now)
		u.busy = 0
	}
	s.addRunning(s.current(), -1)
	s.rates = s.rates[:0]
	for i, c := range s.Deployment.Classes {
		load := c.Load
		if p.Loads != nil {
			load = p.Loads[i]
		}
		s.rates = append(s.rates, s.Deployment.rate(i, load, s.serving()))
		s.nextArrival(i)
	}
}

// addRunning adds to Served what the running requests have got, in slot-seconds.
func (s *simulation) addRunning(p *PhaseResult, factor float64) {
	for _, u := range s.upstreams {
		u.advance(s.now)
		for _, j := range u.jobs {
			q := &s.requests[j.request]
			p.Classes[q.class].Served += factor * u.done(j, q.work) / 1e9
		}
	}
}

// current returns the measurement of the current phase.
func (s *simulation) current() *PhaseResult { return s.result.Phases[s.phase] }

// counted returns the upstreams among which load is compared: without the one that stalls
// and the one that has not joined.
func (s *simulation) counted() []*upstream {
	out := s.upstreams
	if s.StallAt > 0 {
		out = out[1:]
	}
	if out[len(out)-1].absent {
		out = out[:len(out)-1]
	}
	return out
}

func (s *simulation) sampleFlows() {
	s.loads = s.loads[:0]
	for _, u := range s.counted() {
		s.loads = append(s.loads, float64(u.flows))
	}
	s.current().sample(s.loads)
}

func (s *simulation) finishPhase(p *PhaseResult) {
	var busy []float64
	for _, u := range s.counted() {
		u.advance(s.now)
		busy = append(busy, u.busy)
	}
	for i := range p.Classes {
		p.Classes[i].Served += p.Classes[i].Work
	}
	s.addRunning(p, 1)
	p.BusyImbalance = busiestOverMean(busy)
	p.Capacity = float64(len(busy)*s.Deployment.Slots) * p.Phase.Length.Seconds()
	if p.opened > 0 {
		p.SpillOver = float64(p.remote) / float64(p.opened)
	}
}

// tick runs what happens at intervals: scheduler ticks, cancellation of running requests
// whose deadline has passed, and the planned faults.
func (s *simulation) tick() {
	s.after(int64(tickEvery), tick, 0, 0)
	if s.ColdAt > 0 && s.now >= int64(s.ColdAt) && s.upstreams[len(s.upstreams)-1].absent {
		s.upstreams[len(s.upstreams)-1].absent = false
		s.policy.candidates()
	}
	if s.StallAt > 0 && s.now >= int64(s.StallAt) && !s.upstreams[0].stalled {
		s.upstreams[0].advance(s.now)
		s.upstreams[0].stalled = true
	}
	if s.now%int64(sampleEvery) == 0 {
		s.sampleFlows()
	}
	for i, u := range s.upstreams {
		if !s.Policy.isNaive() || u.stalled {
			s.cancelExpired(i, u)
		}
	}
	s.policy.tick()
	s.drain()
}

func (s *simulation) cancelExpired(i int, u *upstream) {
	for j := 0; j < len(u.jobs); j++ {
		r := u.jobs[j].request
		q := &s.requests[r]
		if s.now <= q.deadline {
			continue
		}
		u.abort(s.now, r)
		j--
		s.policy.done(r, dispatch.Failed)
		s.policy.observe(r, false, 0)
		if u.stalled {
			s.reopen(q.flow, i)
		}
		s.lost(r)
		s.schedule(i)
	}
}

// reopen closes a flow at an upstream that does not answer and opens another one.
func (s *simulation) reopen(f, upstream int) {
	if s.flows[f].pos < 0 || int(s.flows[f].upstream) != upstream {
		return
	}
	dc := int(s.flows[f].dc)
	s.close(f)
	s.open(dc, true)
}
