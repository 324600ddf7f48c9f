package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"rosemarygate/pkg/dispatch"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/selection"
)

// Policy is the name of the rules for admission, selection and retries in a run.
type Policy string

const (
	Ours      Policy = "ours"      // the cores of rosemarygate
	Naive     Policy = "naive"     // package naive, with unlimited queues
	Bounded   Policy = "bounded"   // Naive with short queues
	Threshold Policy = "threshold" // Ours with spill-over above a threshold of the queue difference
)

func (p Policy) isNaive() bool { return p == Naive || p == Bounded }

const (
	service          = ident.ServiceID(1)
	tickInterval     = 10 * time.Millisecond
	reportInterval   = time.Second
	maxReportDelay   = 500 * time.Millisecond
	staleReportDelay = 5 * time.Second
	maxAttempts      = 3
	maxOpenHops      = 3
	sampleInterval   = 100 * time.Millisecond // of the flow imbalance
	defaultFlowLoad  = 0.8                    // part of the flow limits in use
)

// Config holds the parameters of one run.
type Config struct {
	Deployment        Deployment
	Policy            Policy
	Seed              uint64
	Phases            []Phase
	DCWeights         []float64     // part of the callers in each data centre; nil for parts in proportion to the upstreams
	MisleadingReports bool          // the reports of a third of the upstreams are wrong or old
	JoinAt            time.Duration // time at which the last upstream joins; 0 for the start
	FlowLoad          float64       // part of the flow limits in use; 0 for defaultFlowLoad
	RealSlots         int           // real slots of each upstream; 0 for the declared number
	StallAt           time.Duration // time at which the first upstream stalls; 0 for never
}

type request struct {
	class        int
	upstream     int
	entryDaemon  int // index of the daemon that relayed it
	flow         int
	attempts     int
	arrivedAt    int64
	deadline     int64
	serviceTime  float64 // nanoseconds at full speed
	phase        int
	tried        []ident.UpstreamID
	running      bool
	networkDelay int64 // nanoseconds
}

// flow has small fields, because each arrival reads a random one of tens of thousands.
type flow struct {
	upstream   int32
	dc         int32
	generation int32
	liveIndex  int32 // index in liveFlows, -1 when closed
}

type simulation struct {
	Config
	clock
	rng          *rand.Rand
	upstreams    []*upstream
	daemonDCs    []int // data centre of each daemon
	policy       policy
	requests     []request
	freeRequests []int
	flows        []flow
	freeFlows    []int
	liveFlows    []int32
	reports      []selection.Report
	freeReports  []int
	phase        int
	rates        []float64 // arrivals per second by class
	result       *Result
	distortions  []distortion
	flowCounts   []float64 // buffer of sampleFlows
	dispatched   []int     // requests to start, see startDispatched
}

// distortion is the error in the load reports of an upstream.
type distortion uint8

const (
	noDistortion distortion = iota
	zeroLoad
	scaledDown
	scaledUp
	constantLoad
	staleLoad
)

// Run simulates one run.
func Run(c Config) *Result {
	s := &simulation{Config: c, rng: rand.New(rand.NewPCG(c.Seed, 0))}
	s.clock.start = time.Unix(1_000_000, 0)
	s.result = &Result{Deployment: c.Deployment.Name, Policy: c.Policy, Seed: c.Seed, LowestEffectiveSlots: c.Deployment.Slots, declaredSlots: c.Deployment.Slots}
	for _, class := range c.Deployment.Classes {
		s.result.guaranteedShares = append(s.result.guaranteedShares, class.Share)
	}
	s.phase = -1
	s.setUp()
	s.policy = newPolicy(s)
	s.scheduleFirstEvents()
	for {
		e, ok := s.nextEvent()
		if !ok || s.phase >= len(s.Phases) {
			break
		}
		s.result.Events++
		s.handle(e)
	}
	s.result.MeanEffectiveSlots = s.policy.meanEffectiveSlots()
	return s.result
}

func (s *simulation) realSlots() int {
	if s.RealSlots > 0 {
		return s.RealSlots
	}
	return s.Deployment.Slots
}

// setUp creates the upstreams and daemons and assigns the distortions of reports.
func (s *simulation) setUp() {
	d := s.Deployment
	for i := range d.Upstreams {
		s.upstreams = append(s.upstreams, &upstream{slots: s.realSlots(), dc: i % d.DataCentres})
	}
	for i := range d.Daemons {
		s.daemonDCs = append(s.daemonDCs, i%d.DataCentres)
	}
	s.timers = slices.Repeat([]int64{never}, len(d.Classes)+d.Upstreams)
	s.distortions = make([]distortion, d.Upstreams)
	if s.MisleadingReports {
		kinds := []distortion{zeroLoad, scaledDown, scaledUp, constantLoad, staleLoad}
		for i, k := range s.rng.Perm(d.Upstreams - 2)[:d.Upstreams/3] {
			s.distortions[k+1] = kinds[i%len(kinds)]
		}
	}
	if s.JoinAt > 0 {
		s.upstreams[d.Upstreams-1].absent = true
	}
}

// scheduleFirstEvents schedules the phases and the first flows, ticks and reports. The flows of
// the steady state open during the first two seconds.
func (s *simulation) scheduleFirstEvents() {
	d := s.Deployment
	at := int64(0)
	for i, p := range s.Phases {
		s.scheduleAfter(at, eventPhaseStart, i, 0)
		at += int64(p.Length)
	}
	s.scheduleAfter(at, eventPhaseStart, len(s.Phases), 0)
	const fillTime = 2 * time.Second
	n := s.steadyFlowCount()
	for i := range n {
		s.scheduleAfter(int64(fillTime)*int64(i)/int64(n), eventOpenFlow, s.randomCallerDC(), 1)
	}
	s.scheduleAfter(int64(fillTime), eventOpenFlow, s.randomCallerDC(), 0)
	s.scheduleAfter(int64(tickInterval), eventTick, 0, 0)
	for i := range d.Upstreams {
		s.scheduleAfter(int64(reportInterval)*int64(i)/int64(d.Upstreams), eventLoadReport, -1, i)
	}
}

// steadyFlowCount returns the number of open flows in the steady state.
func (s *simulation) steadyFlowCount() int {
	load := s.FlowLoad
	if load == 0 {
		load = defaultFlowLoad
	}
	return int(load * float64(s.Deployment.FlowLimit*s.servingUpstreams()))
}

// servingUpstreams returns the number of upstreams without the one that stalls.
func (s *simulation) servingUpstreams() int {
	n := s.Deployment.Upstreams
	if s.StallAt > 0 {
		n--
	}
	return n
}

func (s *simulation) randomCallerDC() int {
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

// randomEntryDaemon returns the daemon of a data centre to which the fabric delivers a packet.
func (s *simulation) randomEntryDaemon(dc int) int {
	n := 0
	chosen := 0
	for i, d := range s.daemonDCs {
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
	arg1, arg2 := int(e.arg1), int(e.arg2)
	switch e.kind {
	case eventPhaseStart:
		s.enterPhase(arg1)
	case eventTimer:
		s.handleTimer(arg1)
	case eventOpenFlow:
		s.openFlow(arg1, arg2 == 1)
	case eventCloseFlow:
		if s.flows[arg1].generation == e.arg2 {
			s.closeFlow(arg1)
		}
	case eventRetry:
		s.submit(arg1)
	case eventLoadReport:
		s.handleReport(arg1, arg2)
	case eventTick:
		s.tick()
	}
}

// enterPhase finishes the current phase and begins the given one.
func (s *simulation) enterPhase(phase int) {
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
		u.busySlotTime = 0
	}
	s.addRunningSlotTime(s.currentPhase(), -1)
	s.rates = s.rates[:0]
	for i, c := range s.Deployment.Classes {
		load := c.OfferedLoad
		if p.Loads != nil {
			load = p.Loads[i]
		}
		s.rates = append(s.rates, s.Deployment.arrivalRate(i, load, s.servingUpstreams()))
		s.scheduleArrival(i)
	}
}

// addRunningSlotTime adds to SlotTime the slot-seconds used by the running requests, times factor.
func (s *simulation) addRunningSlotTime(p *PhaseResult, factor float64) {
	for _, u := range s.upstreams {
		u.advance(s.now)
		for _, j := range u.jobs {
			req := &s.requests[j.request]
			p.Classes[req.class].SlotTime += factor * u.received(j, req.serviceTime) / 1e9
		}
	}
}

// currentPhase returns the result of the current phase.
func (s *simulation) currentPhase() *PhaseResult { return s.result.Phases[s.phase] }

// comparedUpstreams returns the upstreams whose load is compared: all but the one that stalls and
// the one that has not joined.
func (s *simulation) comparedUpstreams() []*upstream {
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
	s.flowCounts = s.flowCounts[:0]
	for _, u := range s.comparedUpstreams() {
		s.flowCounts = append(s.flowCounts, float64(u.flows))
	}
	s.currentPhase().sampleImbalance(s.flowCounts)
}

func (s *simulation) finishPhase(p *PhaseResult) {
	var busy []float64
	for _, u := range s.comparedUpstreams() {
		u.advance(s.now)
		busy = append(busy, u.busySlotTime)
	}
	for i := range p.Classes {
		p.Classes[i].SlotTime += p.Classes[i].UsefulWork
	}
	s.addRunningSlotTime(p, 1)
	p.BusyImbalance = busiestOverMean(busy)
	p.Capacity = float64(len(busy)*s.Deployment.Slots) * p.Phase.Length.Seconds()
	if p.openedFlows > 0 {
		p.SpillOver = float64(p.remoteFlows) / float64(p.openedFlows)
	}
}

// tick does the periodic work: it applies the planned faults, samples the flows, cancels running
// requests whose deadline has passed, and ticks the policy.
func (s *simulation) tick() {
	s.scheduleAfter(int64(tickInterval), eventTick, 0, 0)
	if s.JoinAt > 0 && s.now >= int64(s.JoinAt) && s.upstreams[len(s.upstreams)-1].absent {
		s.upstreams[len(s.upstreams)-1].absent = false
		s.policy.updateCandidates()
	}
	if s.StallAt > 0 && s.now >= int64(s.StallAt) && !s.upstreams[0].stalled {
		s.upstreams[0].advance(s.now)
		s.upstreams[0].stalled = true
	}
	if s.now%int64(sampleInterval) == 0 {
		s.sampleFlows()
	}
	for i, u := range s.upstreams {
		if !s.Policy.isNaive() || u.stalled {
			s.cancelExpired(i, u)
		}
	}
	s.policy.tick()
	s.startDispatched()
}

func (s *simulation) cancelExpired(i int, u *upstream) {
	for j := 0; j < len(u.jobs); j++ {
		r := u.jobs[j].request
		req := &s.requests[r]
		if s.now <= req.deadline {
			continue
		}
		u.abort(s.now, r)
		j--
		s.policy.complete(r, dispatch.Failed)
		s.policy.observe(r, false, 0)
		if u.stalled {
			s.reopenFlow(req.flow, i)
		}
		s.endUnanswered(r)
		s.scheduleCompletion(i)
	}
}

// reopenFlow closes a flow at an upstream that does not answer and opens a new one.
func (s *simulation) reopenFlow(f, upstream int) {
	if s.flows[f].liveIndex < 0 || int(s.flows[f].upstream) != upstream {
		return
	}
	dc := int(s.flows[f].dc)
	s.closeFlow(f)
	s.openFlow(dc, true)
}
