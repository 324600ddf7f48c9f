package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"rosemarygate/client"
	"rosemarygate/pkg/fleet"
	"rosemarygate/pkg/standin"
)

const (
	feedPeriod      = 100 * time.Millisecond
	serviceTime     = 2 * time.Millisecond
	requestDeadline = 5 * time.Second
	startTimeout    = 15 * time.Second
	reopenDelay     = 100 * time.Millisecond
	// crashWindow is the time after a crash in which requests may end as unknown: the deadline of a
	// request that was sent to the crashed process.
	crashWindow = requestDeadline
	// clientsPerService is the number of clients over which callers are spread; each has its own
	// socket and receiving goroutine.
	clientsPerService = 4
	progressPeriod    = time.Second
)

// lossyFabric holds the faults of the fabric in each direction.
var lossyFabric = fleet.FabricFaults{Loss: 0.02, Duplicate: 0.02, Reorder: 0.02, ReorderDelay: 15 * time.Millisecond}

// livePlan describes the load, faults and checks of a live scenario.
type livePlan struct {
	duration          time.Duration // of the arrivals, unless the options replace it
	rate              float64       // arrivals per second
	callers           int           // of each class
	feeds             int
	nonIdempotentOnly bool // use only the non-idempotent classes
	localCallers      bool // callers reach only hosts in their own data centre
	// injectFaults causes the faults. Requests arrive at least until it returns.
	injectFaults func(ctx context.Context, l *liveRun) error
	checks       func(l *liveRun) []Check
}

// liveRun is one run of a live scenario.
type liveRun struct {
	opts             Options
	plan             livePlan
	deployment       deployment
	classes          []class
	fleet            *fleet.Fleet
	faults           map[string]*standin.Faults // of upstreams, by upstream name
	faultRNG         *rand.Rand                 // used by injectFaults
	collector        *collector
	feeds            *feedSet
	clientsByService [][]*client.Client // index: service, client
	callersByClass   [][]*client.Caller // index: class, caller
	startTime        time.Time
	arrivedRequests  atomic.Int64

	mu                 sync.Mutex
	crashTimes         []time.Time
	crashedUpstreams   map[string]bool // by upstream name
	figures            map[string]float64
	detectionTimes     []time.Duration
	partitionInterval  interval // from the isolation until the views converged again
	isolatedDataCentre string   // empty without a partition
	feedCtx            context.Context
}

// runLive runs a plan and returns its report.
func runLive(ctx context.Context, s Scenario, o Options, p livePlan) (*Report, error) {
	l, err := newLive(o, p)
	if err != nil {
		return nil, err
	}
	defer l.fleet.Close()
	if err := l.deployment.startFleet(l.fleet, o.Seed, l.newUpstreamFaults); err != nil {
		return nil, err
	}
	if err := l.connect(); err != nil {
		return nil, err
	}
	defer l.closeClients()
	l.opts.Progress("daemons and upstreams are up")
	l.startTime = time.Now()
	if err := l.runLoad(ctx); err != nil {
		return nil, err
	}
	return l.buildReport(s.Name), nil
}

func newLive(o Options, p livePlan) (*liveRun, error) {
	dep, err := liveDeploymentByName(o.Deployment)
	if err != nil {
		return nil, err
	}
	cfg, err := dep.config()
	if err != nil {
		return nil, err
	}
	if o.Duration == 0 {
		o.Duration = p.duration
	}
	if o.Rate == 0 {
		o.Rate = p.rate
	}
	if o.Requests > 0 {
		o.Duration = time.Duration(float64(o.Requests) / o.Rate * float64(time.Second))
	}
	l := &liveRun{
		opts: o, plan: p, deployment: dep, classes: planClasses(dep, p),
		fleet:  fleet.New(cfg, dep.hostDataCentres, o.Log),
		faults: map[string]*standin.Faults{}, crashedUpstreams: map[string]bool{}, figures: map[string]float64{},
		faultRNG: rand.New(rand.NewPCG(o.Seed, 4)),
	}
	l.collector = newCollector(l.classes)
	l.feeds = &feedSet{service: dep.services[0].name, records: l.fleet.Records}
	return l, nil
}

// planClasses returns the deployment's classes that the plan uses.
func planClasses(dep deployment, p livePlan) []class {
	if !p.nonIdempotentOnly {
		return dep.classes
	}
	var out []class
	for _, c := range dep.classes {
		if !c.idempotent {
			out = append(out, c)
		}
	}
	return out
}

func (l *liveRun) newUpstreamFaults(name string) *standin.Faults {
	l.faults[name] = &standin.Faults{}
	return l.faults[name]
}

// connect creates clients and callers. With localCallers, they are spread over the data centres.
func (l *liveRun) connect() error {
	for i, s := range l.deployment.services {
		var group []*client.Client
		for n := range l.clientCount() {
			c, err := l.fleet.ClientAt(l.dataCentreOf(n), s.port, lossyFabric, l.opts.Seed+uint64(100*i+n), client.Config{})
			if err != nil {
				return err
			}
			group = append(group, c)
		}
		l.clientsByService = append(l.clientsByService, group)
	}
	for _, k := range l.classes {
		var group []*client.Caller
		for n := range l.plan.callers {
			group = append(group, l.clientOf(k.service, n).NewCaller())
		}
		l.callersByClass = append(l.callersByClass, group)
	}
	return nil
}

// clientCount returns the number of clients per service.
func (l *liveRun) clientCount() int { return max(clientsPerService, len(l.deployment.dataCentres)) }

// dataCentreOf returns the data centre of the n-th client or caller, or an empty string if it reaches
// all of them.
func (l *liveRun) dataCentreOf(n int) string {
	if !l.plan.localCallers {
		return ""
	}
	return l.deployment.dataCentres[n%l.clientCount()%len(l.deployment.dataCentres)]
}

// clientOf returns the client of the n-th caller. With localCallers, consecutive callers are in
// different data centres.
func (l *liveRun) clientOf(service, n int) *client.Client {
	group := l.clientsByService[service]
	return group[n%len(group)]
}

func (l *liveRun) closeClients() {
	for _, group := range l.clientsByService {
		for _, c := range group {
			_ = c.Close() // sockets are closed at process exit anyway
		}
	}
}

// runLoad runs feeds, arrivals and faults until all have ended.
func (l *liveRun) runLoad(ctx context.Context) error {
	feedCtx, stopFeeds := context.WithCancel(ctx)
	defer stopFeeds()
	l.feedCtx = feedCtx
	for n := range l.plan.feeds {
		l.feeds.startFeed(feedCtx, l.clientOf(0, n), n)
	}
	go l.reportProgress(feedCtx)
	g, groupCtx := errgroup.WithContext(ctx)
	faultsDone := make(chan struct{})
	g.Go(func() error {
		defer close(faultsDone)
		return l.plan.injectFaults(groupCtx, l)
	})
	g.Go(func() error { return l.offerRequests(groupCtx, faultsDone) })
	err := g.Wait()
	stopFeeds()
	l.feeds.wg.Wait()
	return err
}

// isOver reports whether the planned duration of the run has passed.
func (l *liveRun) isOver() bool { return time.Since(l.startTime) >= l.opts.Duration }

// offerRequests sends the requests of the schedule and waits until all of them have ended.
func (l *liveRun) offerRequests(ctx context.Context, faultsDone <-chan struct{}) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	schedule := newArrivalSchedule(l.opts.Seed, l.opts.Rate, l.classes, l.plan.callers)
	for n := 0; l.opts.Requests == 0 || n < l.opts.Requests; n++ {
		a := schedule.next()
		if l.opts.Requests == 0 && a.at >= l.opts.Duration && isClosed(faultsDone) {
			return nil
		}
		if wait := a.at - time.Since(l.startTime); wait > 0 && !sleep(ctx, wait) {
			return ctx.Err()
		}
		l.arrivedRequests.Add(1)
		l.collector.countOffered(a.class)
		wg.Go(func() { l.runRequest(a, n) })
	}
	return nil
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// runRequest sends one request and records its outcome.
func (l *liveRun) runRequest(a arrival, n int) {
	k := l.classes[a.class]
	offered := time.Now()
	// An offered request is completed even if the run ends first.
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline)
	defer cancel()
	q := client.Request{Class: k.name, Idempotent: k.idempotent, Payload: fmt.Appendf(nil, "%s %d of run %d", k.name, n, l.opts.Seed)}
	caller := l.callersByClass[a.class][a.caller]
	firstFlow := caller.FlowID()
	if l.opts.Policy == PolicyNaive {
		l.collector.recordEnd(a, offered, firstFlow, runNaiveRequest(ctx, caller, q))
		return
	}
	// The error is implied by the attempts; without attempts, no flow was opened.
	attempts, _ := caller.Do(ctx, q)
	l.collector.recordEnd(a, offered, firstFlow, attempts)
}

// runNaiveRequest resends a request whenever no answer arrives within naiveAttemptTimeout, as a
// caller without request records does.
func runNaiveRequest(ctx context.Context, caller *client.Caller, q client.Request) []client.Attempt {
	var all []client.Attempt
	for ctx.Err() == nil {
		attemptCtx, cancel := context.WithTimeout(ctx, naiveAttemptTimeout)
		attempts, _ := caller.Do(attemptCtx, q) // the attempts hold the outcome
		cancel()
		all = append(all, attempts...)
		if len(all) > 0 && all[len(all)-1].Result.Outcome == client.Answered {
			break
		}
	}
	return all
}

const naiveAttemptTimeout = 300 * time.Millisecond

func (l *liveRun) reportProgress(ctx context.Context) {
	for sleep(ctx, progressPeriod) {
		answered := l.collector.sumClasses(func(c *Class) int { return c.Answered })
		unanswered := l.collector.sumClasses(func(c *Class) int { return c.Unknown + c.MissedDeadline })
		l.progressf("%d requests arrived, %d answered, %d unanswered, %d doubled", l.arrivedRequests.Load(), answered, unanswered, l.fleet.Records.DoubledRequests())
	}
}

func (l *liveRun) progressf(format string, args ...any) {
	l.opts.Progress(fmt.Sprintf("%5.1f s: ", time.Since(l.startTime).Seconds()) + fmt.Sprintf(format, args...))
}

func (l *liveRun) setFigure(name string, v float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.figures[name] = v
}

func (l *liveRun) incrementFigure(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.figures[name]++
}
