package packets

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rosemarygate/pkg/control/directory"
	"rosemarygate/pkg/forward"
)

// Behaviour of callers. The retries and the sizes are those of the users' platform.
const (
	maxRetries     = 2
	retryDelay     = 60 * time.Millisecond
	oneWayDelay    = 2 * time.Millisecond // between a caller and an upstream
	requestBytes   = 500
	answerBytes    = 2400
	rejectionBytes = 120
	// maxLatencyMicros is the largest latency that is recorded, in microseconds. Queues hold a second
	// of work.
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
)

// run is one simulation.
type run struct {
	deployment Deployment
	placement  Placement
	daemons    []balancer
	links      map[balancer]*link // of the daemons, if they are limited
	upstreams  []*upstream
	rng        *rand.Rand
	now        time.Duration
	events     eventQueue
	idleFlows  map[callers][]*flow
	flowsOpen  int // open flows of requests that are not urgent
	lastNumber int // number of the latest event or flow
	phase      *PhaseResult
}

// callers are those of a route in a data centre.
type callers struct {
	urgent     bool
	dataCentre int
}

type flow struct {
	lastPacket forward.Packet // the caller's latest packet
	daemon     balancer
	upstream   *upstream
}

type request struct {
	callers
	start    time.Duration
	attempts int
	flow     *flow
	phase    *PhaseResult
}

// upstream processes a few requests, queues a few more and rejects the rest.
type upstream struct {
	busySlots int
	queue     []*request
	runs      int
	// rejectShare is the share of requests that are rejected without processing, and workFactor
	// multiplies the processing time.
	rejectShare, workFactor float64
}

type event struct {
	due    time.Duration
	number int // order of events at the same time
	action func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].due < q[j].due || q[i].due == q[j].due && q[i].number < q[j].number
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// Run simulates a load pattern on a deployment with a placement.
func Run(d Deployment, p Pattern, placement Placement, seed uint64) *Result {
	r := &run{deployment: d, placement: placement, rng: rand.New(rand.NewPCG(seed, 1)), idleFlows: map[callers][]*flow{}, links: map[balancer]*link{}}
	for n := range d.Daemons {
		b := r.newBalancer(placement, n, rand.New(rand.NewPCG(seed, uint64(2+n))))
		r.daemons, r.links[b] = append(r.daemons, b), &link{bytesPerSecond: d.LinkBytesPerSecond}
	}
	for range d.Upstreams {
		r.upstreams = append(r.upstreams, &upstream{})
	}
	result := &Result{Deployment: d.Name, Placement: placement}
	for _, phase := range p.Phases {
		result.Phases = append(result.Phases, r.playPhase(phase))
	}
	return result
}

// playPhase offers the load of a phase and waits until every request has ended.
func (r *run) playPhase(p Phase) *PhaseResult {
	r.phase = &PhaseResult{Phase: p, Urgent: newClass(), Usual: newClass(), start: r.now, InTimeByWindow: make([]int, (p.Duration+WindowDuration-1)/WindowDuration)}
	for n, u := range r.upstreams {
		*u = upstream{workFactor: 1}
		position := float64(n) / float64(len(r.upstreams))
		if position < p.FailingShare {
			u.rejectShare = p.RejectedShare
		}
		if position < p.SlowShare {
			u.workFactor = p.SlowFactor
		}
	}
	end := r.now + p.Duration
	meanGap := float64(r.deployment.MeanWorkTime) / float64(r.deployment.Upstreams*r.deployment.Slots) / p.Load
	var arriveNext func()
	arriveNext = func() {
		if r.now < end {
			r.offerRequest()
			r.schedule(time.Duration(r.rng.ExpFloat64()*meanGap), arriveNext)
		}
	}
	r.schedule(0, arriveNext)
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.due
		e.action()
	}
	r.phase.Imbalance = r.imbalance()
	return r.phase
}

func newClass() Class { return Class{Latency: hdrhistogram.New(1, maxLatencyMicros, 3)} }

func (r *run) imbalance() float64 {
	busiest, sum := 0, 0
	for _, u := range r.upstreams {
		busiest, sum = max(busiest, u.runs), sum+u.runs
	}
	return float64(busiest*len(r.upstreams)) / float64(max(sum, 1))
}

func (r *run) schedule(delay time.Duration, action func()) {
	r.lastNumber++
	heap.Push(&r.events, event{r.now + delay, r.lastNumber, action})
}

func (r *run) offerRequest() {
	urgentShare := r.phase.Phase.UrgentShare
	if urgentShare == 0 {
		urgentShare = r.deployment.UrgentShare
	}
	q := &request{callers: callers{urgent: r.rng.Float64() < urgentShare}, start: r.now, phase: r.phase}
	if centres := r.deployment.DataCentres; centres > 1 {
		if share := r.phase.Phase.FirstCentreShare; share == 0 || r.rng.Float64() >= share {
			first := min(int(math.Ceil(share)), 1)
			q.dataCentre = first + r.rng.IntN(centres-first)
		}
	}
	q.class().Offered++
	r.sendAttempt(q)
}

func (q *request) class() *Class {
	if q.urgent {
		return &q.phase.Urgent
	}
	return &q.phase.Usual
}

// sendAttempt sends a request on an idle flow. A retry, or a request without an idle flow, uses a new
// flow.
func (r *run) sendAttempt(q *request) {
	idle := r.idleFlows[q.callers]
	if n := len(idle); q.attempts == 0 && n > 0 && r.flowsOpen >= r.deployment.OpenFlows {
		index := r.rng.IntN(n)
		q.flow, idle[index] = idle[index], idle[n-1]
		r.idleFlows[q.callers] = idle[:n-1]
	} else if r.deployment.LinkBytesPerSecond > 0 {
		q.flow = r.newFlow(q.callers)
		r.openFlowOverLink(q, 0)
		return
	} else if q.flow = r.openFlow(q.callers); q.flow == nil {
		q.phase.RefusedAttempts++
		r.retryOrGiveUp(q)
		return
	}
	p := &q.flow.lastPacket
	p.Length = requestBytes
	q.flow.sendPacket(r.now)
	p.Seq += requestBytes
	p.Length = 0
	r.schedule(oneWayDelay, func() { r.handleArrival(q) })
}

func (f *flow) sendPacket(now time.Duration) { f.keepCookie(f.daemon.HandlePacket(now, &f.lastPacket)) }

// acceptFlow handles the answer of an upstream to the SYN. A SYN takes one sequence number.
func (f *flow) acceptFlow(a forward.Action, ack uint32) {
	f.lastPacket.Flags, f.lastPacket.Ack = forward.ACK, ack
	f.lastPacket.Seq++
	f.keepCookie(a)
}

// keepCookie takes over the cookie with which a packet has reached its upstream, which returns it.
func (f *flow) keepCookie(a forward.Action) {
	if a.Verdict == forward.Forward && a.Cookie != 0 {
		f.lastPacket.Cookie = a.Cookie
	}
}

// openFlow opens a flow through a random entry daemon, as chosen by the fabric. It returns nil if the
// daemon refuses the flow.
func (r *run) openFlow(from callers) *flow {
	f := r.newFlow(from)
	a := f.daemon.HandlePacket(r.now, &f.lastPacket)
	if a.Verdict != forward.Forward {
		return nil
	}
	f.upstream = r.upstreams[a.Upstream.Key-directory.Key(1)]
	if !from.urgent {
		r.flowsOpen++
	}
	f.acceptFlow(a, r.rng.Uint32()|1)
	f.sendPacket(r.now) // completes the handshake
	return f
}

func (r *run) newFlow(from callers) *flow {
	r.lastNumber++
	number := uint32(r.lastNumber)
	dest := usualRoute
	if from.urgent {
		dest = urgentRoute
	}
	source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(number >> 24), byte(number >> 16)}), uint16(number))
	return &flow{daemon: r.daemons[r.daemonOf(from)], lastPacket: forward.Packet{Caller: source, Dest: dest, Flags: forward.SYN}}
}

// daemonOf returns a random daemon of the callers' data centre.
func (r *run) daemonOf(from callers) int {
	centres := max(r.deployment.DataCentres, 1)
	return r.rng.IntN(len(r.daemons)/centres)*centres + from.dataCentre
}

func (r *run) handleArrival(q *request) {
	u := q.flow.upstream
	switch {
	case u.rejectShare > 0 && r.rng.Float64() < u.rejectShare, u.busySlots >= r.deployment.Slots && len(u.queue) >= r.deployment.QueueLimit:
		q.phase.RejectedAttempts++
		r.schedule(oneWayDelay, func() {
			r.acknowledgeResponse(q, rejectionBytes)
			r.retryOrGiveUp(q)
		})
	case u.busySlots < r.deployment.Slots:
		r.startWork(u, q)
	default:
		u.queue = append(u.queue, q)
	}
}

func (r *run) startWork(u *upstream, q *request) {
	u.busySlots++
	u.runs++
	r.schedule(time.Duration(float64(r.drawWork(q))*u.workFactor), func() {
		u.busySlots--
		if len(u.queue) > 0 {
			next := u.queue[0]
			u.queue = u.queue[1:]
			r.startWork(u, next)
		}
		r.schedule(oneWayDelay, func() {
			r.acknowledgeResponse(q, answerBytes)
			r.recordAnswer(q)
		})
	})
}

// drawWork draws the processing time of a request.
func (r *run) drawWork(q *request) time.Duration {
	d := r.deployment
	if q.phase.Phase.Work != nil {
		d.Work = *q.phase.Phase.Work
	}
	mean := float64(d.MeanWorkTime)
	if f := d.Work.UrgentFactor; f > 0 {
		mean /= 1 + d.UrgentShare*(f-1)
		if q.urgent {
			mean *= f
		}
	}
	if d.Work.Spread == 0 {
		return time.Duration(r.rng.ExpFloat64() * mean)
	}
	t := mean / (1 + d.Work.TailShare*(d.Work.TailFactor-1)) * math.Exp(d.Work.Spread*r.rng.NormFloat64()-d.Work.Spread*d.Work.Spread/2)
	if r.rng.Float64() < d.Work.TailShare {
		t *= d.Work.TailFactor
	}
	return time.Duration(t)
}

func (r *run) recordAnswer(q *request) {
	c, latency := q.class(), r.now-q.start
	if latency <= r.deployment.Objective {
		c.ServedInTime++
		q.phase.InTimeByWindow[(q.start-q.phase.start)/WindowDuration]++
	} else {
		c.ServedLate++
	}
	if err := c.Latency.RecordValue(latency.Microseconds()); err != nil {
		panic(err) // latencies stay below a minute
	}
}

// acknowledgeResponse sends the caller's acknowledgement of a response. The flow is then idle or
// closed.
func (r *run) acknowledgeResponse(q *request, bytes uint32) {
	f := q.flow
	if r.placement == OursWithoutRefusal {
		bytes = answerBytes // makes rejections look like answers
	}
	f.lastPacket.Ack += bytes
	if r.deployment.LinkBytesPerSecond > 0 {
		r.acknowledgeOverLink(f)
		return
	}
	f.sendPacket(r.now)
	if q.urgent && r.deployment.UrgentFlowEach || r.rng.IntN(r.deployment.RequestsPerFlow) == 0 {
		if !q.urgent {
			r.flowsOpen--
		}
		f.lastPacket.Flags |= forward.FIN
		f.sendPacket(r.now)
		return
	}
	r.idleFlows[q.callers] = append(r.idleFlows[q.callers], f)
}

// retryOrGiveUp retries a request that has not run, or counts it as unserved after the last attempt.
func (r *run) retryOrGiveUp(q *request) {
	if q.attempts == maxRetries {
		q.class().Unserved++
		return
	}
	q.attempts++
	r.schedule(retryDelay, func() { r.sendAttempt(q) })
}
