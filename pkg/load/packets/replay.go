package packets

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rosemarygate/pkg/control/directory"
	"rosemarygate/pkg/forward"
)

// What callers do. The retries and the sizes are those of the users' platform.
const (
	retries        = 2
	retryPause     = 60 * time.Millisecond
	callerDelay    = 2 * time.Millisecond // one way between a caller and an upstream
	requestBytes   = 500
	answerBytes    = 2400
	rejectionBytes = 120
	// flowRequests is how many requests a flow carries on average before its caller closes it.
	flowRequests = 40
	// longest is the largest latency that is recorded, in microseconds: queues hold a second of work.
	longest = int64(time.Minute / time.Microsecond)
)

// run is one experiment.
type run struct {
	d         Deployment
	placement Placement
	daemons   []balancer
	upstreams []*upstream
	rng       *rand.Rand
	now       time.Duration
	events    eventQueue
	idle      map[bool][]*flow // by urgency
	numbers   int              // of events and flows
	phase     *PhaseResult
}

type flow struct {
	packet   forward.Packet // the caller's latest
	daemon   balancer
	upstream *upstream
}

type request struct {
	urgent bool
	begin  time.Duration
	tries  int
	flow   *flow
	phase  *PhaseResult
}

// upstream works on a few requests, queues a few more and rejects the rest.
type upstream struct {
	busy  int
	queue []*request
	runs  int
	// failing is the share of requests that it rejects without work, and slow the factor of its work.
	failing, slow float64
}

type event struct {
	at     time.Duration
	number int // order of events at the same time
	do     func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].number < q[j].number
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

// Run plays a pattern on a deployment with a placement.
func Run(d Deployment, p Pattern, placement Placement, seed uint64) *Result {
	r := &run{d: d, placement: placement, rng: rand.New(rand.NewPCG(seed, 1)), idle: map[bool][]*flow{}}
	for n := range d.Daemons {
		r.daemons = append(r.daemons, newBalancer(d, placement, rand.New(rand.NewPCG(seed, uint64(2+n)))))
	}
	for range d.Upstreams {
		r.upstreams = append(r.upstreams, &upstream{})
	}
	result := &Result{Deployment: d.Name, Placement: placement}
	for _, phase := range p.Phases {
		result.Phases = append(result.Phases, r.play(phase))
	}
	return result
}

// play offers the load of a phase and waits until every request has ended.
func (r *run) play(p Phase) *PhaseResult {
	r.phase = &PhaseResult{Phase: p, Urgent: newClass(), Usual: newClass()}
	for n, u := range r.upstreams {
		*u = upstream{slow: 1}
		at := float64(n) / float64(len(r.upstreams))
		if at < p.FailingShare {
			u.failing = p.FailedRequests
		}
		if at < p.SlowShare {
			u.slow = p.SlowFactor
		}
	}
	end := r.now + p.For
	gap := float64(r.d.Work) / float64(r.d.Upstreams*r.d.Slots) / p.Load
	var arrive func()
	arrive = func() {
		if r.now < end {
			r.ask()
			r.after(time.Duration(r.rng.ExpFloat64()*gap), arrive)
		}
	}
	r.after(0, arrive)
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	r.phase.Imbalance = r.imbalance()
	return r.phase
}

func newClass() Class { return Class{Latency: hdrhistogram.New(1, longest, 3)} }

func (r *run) imbalance() float64 {
	busiest, sum := 0, 0
	for _, u := range r.upstreams {
		busiest, sum = max(busiest, u.runs), sum+u.runs
	}
	return float64(busiest*len(r.upstreams)) / float64(max(sum, 1))
}

func (r *run) after(d time.Duration, do func()) {
	r.numbers++
	heap.Push(&r.events, event{r.now + d, r.numbers, do})
}

func (r *run) ask() {
	urgent := r.phase.Phase.UrgentShare
	if urgent == 0 {
		urgent = r.d.UrgentShare
	}
	q := &request{urgent: r.rng.Float64() < urgent, begin: r.now, phase: r.phase}
	q.class().Asked++
	r.try(q)
}

func (q *request) class() *Class {
	if q.urgent {
		return &q.phase.Urgent
	}
	return &q.phase.Usual
}

// try sends a request on an idle flow, or on a new one if it is repeated or no flow is idle.
func (r *run) try(q *request) {
	idle := r.idle[q.urgent]
	if n := len(idle); q.tries == 0 && n > 0 {
		at := r.rng.IntN(n)
		q.flow, idle[at] = idle[at], idle[n-1]
		r.idle[q.urgent] = idle[:n-1]
	} else if q.flow = r.open(q.urgent); q.flow == nil {
		q.phase.Refused++
		r.again(q)
		return
	}
	p := &q.flow.packet
	p.Length = requestBytes
	q.flow.send(r.now)
	p.Seq += requestBytes
	p.Length = 0
	r.after(callerDelay, func() { r.arrive(q) })
}

func (f *flow) send(now time.Duration) { f.daemon.Packet(now, &f.packet) }

// open opens a flow through the daemon that the fabric picks, nil if the daemon refuses it.
func (r *run) open(urgent bool) *flow {
	r.numbers++
	n := uint32(r.numbers)
	dest := usualRoute
	if urgent {
		dest = urgentRoute
	}
	source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 24), byte(n >> 16)}), uint16(n))
	f := &flow{daemon: r.daemons[r.rng.IntN(len(r.daemons))], packet: forward.Packet{Caller: source, Dest: dest, Flags: forward.SYN}}
	a := f.daemon.Packet(r.now, &f.packet)
	if a.Verdict != forward.Forward {
		return nil
	}
	f.upstream = r.upstreams[a.Upstream.Key-directory.Key(1)]
	f.packet.Flags, f.packet.Cookie, f.packet.Ack = forward.ACK, a.Cookie, r.rng.Uint32()|1
	f.send(r.now) // the end of the handshake
	return f
}

func (r *run) arrive(q *request) {
	u := q.flow.upstream
	switch {
	case u.failing > 0 && r.rng.Float64() < u.failing, u.busy >= r.d.Slots && len(u.queue) >= r.d.Queue:
		q.phase.Failed++
		r.after(callerDelay, func() {
			r.acknowledge(q, rejectionBytes)
			r.again(q)
		})
	case u.busy < r.d.Slots:
		r.work(u, q)
	default:
		u.queue = append(u.queue, q)
	}
}

func (r *run) work(u *upstream, q *request) {
	u.busy++
	u.runs++
	r.after(time.Duration(r.rng.ExpFloat64()*float64(r.d.Work)*u.slow), func() {
		u.busy--
		if len(u.queue) > 0 {
			next := u.queue[0]
			u.queue = u.queue[1:]
			r.work(u, next)
		}
		r.after(callerDelay, func() {
			r.acknowledge(q, answerBytes)
			r.answered(q)
		})
	})
}

func (r *run) answered(q *request) {
	c, took := q.class(), r.now-q.begin
	if took <= r.d.Objective {
		c.InTime++
	} else {
		c.Late++
	}
	if err := c.Latency.RecordValue(took.Microseconds()); err != nil {
		panic(err) // no request takes a minute
	}
}

// acknowledge lets the caller take an answer. Its flow is idle then, or closed.
func (r *run) acknowledge(q *request, bytes uint32) {
	f := q.flow
	if r.placement == Unrefused {
		bytes = answerBytes // rejections look like answers
	}
	f.packet.Ack += bytes
	f.send(r.now)
	if r.rng.IntN(flowRequests) == 0 {
		f.packet.Flags |= forward.FIN
		f.send(r.now)
		return
	}
	r.idle[q.urgent] = append(r.idle[q.urgent], f)
}

// again repeats a request that has not run, or gives it up.
func (r *run) again(q *request) {
	if q.tries == retries {
		q.class().Unserved++
		return
	}
	q.tries++
	r.after(retryPause, func() { r.try(q) })
}
