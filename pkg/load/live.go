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
	retryOpen       = 100 * time.Millisecond
	// crashWindow is how long after a crash requests may end as unknown: the deadline of
	// a request that was given to the crashed process.
	crashWindow = requestDeadline
	// clientsPerService spreads callers over sockets, one receiving goroutine for each.
	clientsPerService = 4
	progressPeriod    = time.Second
)

// lossy are the fabric's faults in each direction.
var lossy = fleet.FabricFaults{Loss: 0.02, Duplicate: 0.02, Reorder: 0.02, ReorderDelay: 15 * time.Millisecond}

// plan is what a live scenario does.
type plan struct {
	duration  time.Duration // of the arrivals, unless the options say otherwise
	rate      float64       // arrivals per second
	callers   int           // of each class
	feeds     int
	postsOnly bool // only the classes that are not idempotent
	local     bool // callers reach only the hosts of their data centre
	// drive causes the faults. Arrivals go on until it returns.
	drive  func(ctx context.Context, l *live) error
	checks func(l *live) []Check
}

// live is one run of a live scenario.
type live struct {
	opts    Options
	plan    plan
	dep     deployment
	classes []class
	fleet   *fleet.Fleet
	faults  map[string]*standin.Faults // of upstreams, by name
	rng     *rand.Rand                 // of drive
	col     *collector
	feeds   *feeds
	clients [][]*client.Client // by service
	callers [][]*client.Caller // by class
	started time.Time
	arrived atomic.Int64

	mu         sync.Mutex
	crashes    []time.Time
	crashed    map[string]bool // upstreams
	figures    map[string]float64
	detections []time.Duration
	cut        interval // of a partition, until the views agreed again
	cutCentre  string   // the data centre that was cut off
	feedCtx    context.Context
}

// runLive runs a plan and returns its report.
func runLive(ctx context.Context, s Scenario, o Options, p plan) (*Report, error) {
	l, err := newLive(o, p)
	if err != nil {
		return nil, err
	}
	defer l.fleet.Close()
	if err := l.dep.start(l.fleet, o.Seed, l.upstreamFaults); err != nil {
		return nil, err
	}
	if err := l.connect(); err != nil {
		return nil, err
	}
	defer l.disconnect()
	l.opts.Progress("daemons and upstreams are up")
	l.started = time.Now()
	if err := l.work(ctx); err != nil {
		return nil, err
	}
	return l.report(s.Name), nil
}

func newLive(o Options, p plan) (*live, error) {
	dep, err := liveDeployment(o.Deployment)
	if err != nil {
		return nil, err
	}
	cfg, err := dep.config()
	if err != nil {
		return nil, err
	}
	if o.For == 0 {
		o.For = p.duration
	}
	if o.Rate == 0 {
		o.Rate = p.rate
	}
	if o.Requests > 0 {
		o.For = time.Duration(float64(o.Requests) / o.Rate * float64(time.Second))
	}
	l := &live{
		opts: o, plan: p, dep: dep, classes: usedClasses(dep, p),
		fleet:  fleet.New(cfg, dep.hosts, o.Log),
		faults: map[string]*standin.Faults{}, crashed: map[string]bool{}, figures: map[string]float64{},
		rng: rand.New(rand.NewPCG(o.Seed, 4)),
	}
	l.col = newCollector(l.classes)
	l.feeds = &feeds{service: dep.services[0].name, records: l.fleet.Records}
	return l, nil
}

// usedClasses returns the deployment's classes; a plan for non-idempotent requests only
// keeps those.
func usedClasses(dep deployment, p plan) []class {
	if !p.postsOnly {
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

func (l *live) upstreamFaults(name string) *standin.Faults {
	l.faults[name] = &standin.Faults{}
	return l.faults[name]
}

// connect creates the callers. Callers of a plan with local callers are spread over the
// data centres.
func (l *live) connect() error {
	for i, s := range l.dep.services {
		var group []*client.Client
		for n := range l.groupSize() {
			c, err := l.fleet.ClientAt(l.centreOf(n), s.port, lossy, l.opts.Seed+uint64(100*i+n), client.Config{})
			if err != nil {
				return err
			}
			group = append(group, c)
		}
		l.clients = append(l.clients, group)
	}
	for _, k := range l.classes {
		var group []*client.Caller
		for n := range l.plan.callers {
			group = append(group, l.clientOf(k.service, n).NewCaller())
		}
		l.callers = append(l.callers, group)
	}
	return nil
}

// groupSize returns the number of clients of each service.
func (l *live) groupSize() int { return max(clientsPerService, len(l.dep.centres)) }

// centreOf returns the data centre of the n-th client or caller, empty for all of them.
func (l *live) centreOf(n int) string {
	if !l.plan.local {
		return ""
	}
	return l.dep.centres[n%l.groupSize()%len(l.dep.centres)]
}

// clientOf returns the client of the n-th caller; neighbours are in different data centres.
func (l *live) clientOf(service, n int) *client.Client {
	group := l.clients[service]
	return group[n%len(group)]
}

func (l *live) disconnect() {
	for _, group := range l.clients {
		for _, c := range group {
			_ = c.Close() // the sockets end with the process
		}
	}
}

// work runs feeds, arrivals and faults until all have ended.
func (l *live) work(ctx context.Context) error {
	feedCtx, stopFeeds := context.WithCancel(ctx)
	defer stopFeeds()
	l.feedCtx = feedCtx
	for n := range l.plan.feeds {
		l.feeds.start(feedCtx, l.clientOf(0, n), n)
	}
	go l.progress(feedCtx)
	g, gctx := errgroup.WithContext(ctx)
	driven := make(chan struct{})
	g.Go(func() error {
		defer close(driven)
		return l.plan.drive(gctx, l)
	})
	g.Go(func() error { return l.arrive(gctx, driven) })
	err := g.Wait()
	stopFeeds()
	l.feeds.wg.Wait()
	return err
}

// over reports whether the planned time of the run has passed.
func (l *live) over() bool { return time.Since(l.started) >= l.opts.For }

// arrive offers the requests of the schedule and waits for their ends.
func (l *live) arrive(ctx context.Context, driven <-chan struct{}) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	schedule := newArrivals(l.opts.Seed, l.opts.Rate, l.classes, l.plan.callers)
	for n := 0; l.opts.Requests == 0 || n < l.opts.Requests; n++ {
		a := schedule.next()
		if l.opts.Requests == 0 && a.at >= l.opts.For && closed(driven) {
			return nil
		}
		if wait := a.at - time.Since(l.started); wait > 0 && !sleep(ctx, wait) {
			return ctx.Err()
		}
		l.arrived.Add(1)
		l.col.offered(a.class)
		wg.Go(func() { l.request(a, n) })
	}
	return nil
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// request runs one request to its end.
func (l *live) request(a arrival, n int) {
	k := l.classes[a.class]
	offered := time.Now()
	// A request that was offered is also followed past the end of the run.
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline)
	defer cancel()
	q := client.Request{Class: k.name, Idempotent: k.idempotent, Payload: fmt.Appendf(nil, "%s %d of run %d", k.name, n, l.opts.Seed)}
	caller := l.callers[a.class][a.caller]
	first := caller.FlowID()
	if l.opts.Policy == PolicyNaive {
		l.col.ended(a, offered, first, doNaively(ctx, caller, q))
		return
	}
	// The error repeats what the attempts say, or that no flow was opened.
	attempts, _ := caller.Do(ctx, q)
	l.col.ended(a, offered, first, attempts)
}

// doNaively sends a request again whenever it has no answer in a short time, as a caller
// without request records does.
func doNaively(ctx context.Context, caller *client.Caller, q client.Request) []client.Attempt {
	var all []client.Attempt
	for ctx.Err() == nil {
		try, cancel := context.WithTimeout(ctx, naiveTimeout)
		attempts, _ := caller.Do(try, q) // the attempts say how it ended
		cancel()
		all = append(all, attempts...)
		if len(all) > 0 && all[len(all)-1].Result.Outcome == client.Answered {
			break
		}
	}
	return all
}

const naiveTimeout = 300 * time.Millisecond

func (l *live) progress(ctx context.Context) {
	for sleep(ctx, progressPeriod) {
		answered := l.col.sum(func(c *Class) int { return c.Answered })
		unknown := l.col.sum(func(c *Class) int { return c.Unknown + c.Deadline })
		l.note("%d requests arrived, %d answered, %d unanswered, %d doubled", l.arrived.Load(), answered, unknown, l.fleet.Records.Doubled())
	}
}

func (l *live) note(format string, args ...any) {
	l.opts.Progress(fmt.Sprintf("%5.1f s: ", time.Since(l.started).Seconds()) + fmt.Sprintf(format, args...))
}

func (l *live) figure(name string, v float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.figures[name] = v
}

func (l *live) count(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.figures[name]++
}
