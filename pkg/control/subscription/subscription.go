// Package subscription is the daemon's side of the configuration distribution: it watches one
// control replica at a time, keeps the accepted configuration on the disk, has it put in force, and
// reports the version in force and the daily counters.
package subscription

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/control/distribution"
	"rosemarygate/pkg/control/transport"
	"rosemarygate/pkg/events"
)

const (
	// reportPeriod is how often a daemon reports without news. A report that is not answered
	// shows that the replica cannot be reached, also when the connection stays open.
	reportPeriod  = 2 * time.Second
	reportTimeout = 2 * time.Second
	countPeriod   = 5 * time.Second // between reports of counters
	watchTimeout  = 2 * time.Second // until a replica takes the watch
	// Pauses between rounds over all replicas; the longest keeps a daemon current within 3 s after
	// a partition.
	retryPause    = 300 * time.Millisecond
	maxRetryPause = 1500 * time.Millisecond
	// returnPeriod is how long a daemon stays with a replica of another data centre before it
	// tries those of its own again.
	returnPeriod = 15 * time.Second
)

// Config describes a subscription.
type Config struct {
	Daemon      string
	Incarnation uint64
	DataCentre  string
	Replicas    []*controlpb.ReplicaHost
	// DataCentreOf returns the data centre of a replica by its name, empty if it is unknown.
	DataCentreOf func(name string) string
	Store        distribution.Store // nil on hosts without a disk
	Dial         []grpc.DialOption
	// Apply puts a configuration in force. It is called again with the same one when the token
	// key that signs changes.
	Apply func(*distribution.Held) error
	Log   logrus.FieldLogger
}

// Subscription follows the accepted configuration. Run runs it.
type Subscription struct {
	cfg      Config
	receiver *distribution.Receiver
	inForce  atomic.Uint64
	order    []*controlpb.ReplicaHost
	counters *counters
	news     chan struct{}   // has a value when a report is due at once
	snapshot bool            // the next watch asks for a snapshot
	failing  map[string]bool // replicas whose failure was logged
}

// New loads the stored copy and puts it in force.
func New(cfg Config) *Subscription {
	s := &Subscription{cfg: cfg, counters: newCounters(cfg.Daemon, cfg.Incarnation), news: make(chan struct{}, 1), failing: map[string]bool{}}
	s.order = slices.Clone(cfg.Replicas)
	rotate(s.order, cfg.Daemon)
	s.receiver = s.load()
	if held := s.receiver.Held(); held.Version > 0 {
		s.apply(held)
	}
	return s
}

// rotate spreads the daemons over the replicas of other data centres.
func rotate(order []*controlpb.ReplicaHost, daemon string) {
	if len(order) == 0 {
		return
	}
	h := fnv.New32a()
	h.Write([]byte(daemon))
	k := int(h.Sum32() % uint32(len(order)))
	copy(order, append(slices.Clone(order[k:]), order[:k]...))
}

// load reads the stored copy. One that cannot be used is fetched again.
func (s *Subscription) load() *distribution.Receiver {
	var c *controlpb.Copy
	var err error
	if s.cfg.Store != nil {
		c, err = s.cfg.Store.Load()
	}
	if err == nil {
		var r *distribution.Receiver
		if r, err = distribution.NewReceiver(c); err == nil {
			return r
		}
	}
	events.CopyUnusable.Log(s.cfg.Log, logrus.Fields{"error": err})
	r, _ := distribution.NewReceiver(nil) // no copy is always valid
	return r
}

// InForce returns the version in force, 0 for none.
func (s *Subscription) InForce() uint64 { return s.inForce.Load() }

func (s *Subscription) apply(held *distribution.Held) {
	if err := s.cfg.Apply(held); err != nil {
		events.ConfigRefused.Log(s.cfg.Log, logrus.Fields{"version": held.Version, "error": err})
		return
	}
	s.inForce.Store(held.Version)
	s.notify()
}

func (s *Subscription) notify() {
	select {
	case s.news <- struct{}{}:
	default:
	}
}

// Run follows the replicas until ctx ends.
func (s *Subscription) Run(ctx context.Context) error {
	pause := retryPause
	for ctx.Err() == nil {
		begin := time.Now()
		s.round(ctx)
		if time.Since(begin) > maxRetryPause {
			pause = retryPause
		}
		s.counters.prune(s.cfg.Log)
		s.pause(ctx, pause)
		pause = min(2*pause, maxRetryPause)
	}
	return nil
}

// round tries the replicas until one was followed and the daemon has to begin again.
func (s *Subscription) round(ctx context.Context) {
	for _, h := range s.candidates() {
		err := s.follow(ctx, h)
		if err == nil || ctx.Err() != nil {
			return
		}
		if !s.failing[h.GetName()] {
			events.WatchEnded.Log(s.cfg.Log, logrus.Fields{"replica": h.GetName(), "error": err})
		}
		s.failing[h.GetName()] = true
	}
}

// pause waits before the next round; a key may begin to sign meanwhile.
func (s *Subscription) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	case <-s.activation():
		s.apply(s.receiver.Held())
	}
}

// candidates returns the replicas in the order in which they are tried: own data centre first.
func (s *Subscription) candidates() []*controlpb.ReplicaHost {
	out := slices.Clone(s.order)
	slices.SortStableFunc(out, func(a, b *controlpb.ReplicaHost) int {
		return s.distance(a) - s.distance(b)
	})
	return out
}

func (s *Subscription) distance(h *controlpb.ReplicaHost) int {
	if h.GetName() == s.cfg.Daemon {
		return 0
	}
	if s.cfg.DataCentreOf(h.GetName()) == s.cfg.DataCentre {
		return 1
	}
	return 2
}

// activation fires when a key of the held configuration begins to sign; nil if none will.
func (s *Subscription) activation() <-chan time.Time {
	now := time.Now().UnixMilli()
	next := int64(0)
	for _, k := range s.receiver.Held().Keys {
		if at := k.GetSignsFromUnixMs(); at > now && (next == 0 || at < next) {
			next = at
		}
	}
	if next == 0 {
		return nil
	}
	return time.After(time.Duration(next-now+1) * time.Millisecond)
}

// session is one watch of a replica.
type session struct {
	s       *Subscription
	client  controlpb.DistributionClient
	updates chan *controlpb.Update
	failed  chan error
	counted time.Time
}

// follow watches one replica until that fails. It returns nil to begin again with the first.
func (s *Subscription) follow(ctx context.Context, h *controlpb.ReplicaHost) error {
	conn, err := grpc.NewClient(h.GetAddress(), transport.DialOptions(s.cfg.Dial)...)
	if err != nil {
		return errors.WithStack(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	var receiving sync.WaitGroup
	defer receiving.Wait()
	defer cancel()
	x := &session{
		s: s, client: controlpb.NewDistributionClient(conn),
		updates: make(chan *controlpb.Update), failed: make(chan error, 1),
	}
	limit := time.AfterFunc(watchTimeout, cancel)
	stream, err := x.client.Watch(ctx, s.receiver.WatchRequest(s.cfg.Daemon, s.InForce(), s.snapshot))
	if err != nil {
		return err
	}
	if header, err := stream.Header(); err != nil || header == nil {
		_, err := stream.Recv()
		return err
	}
	receiving.Go(func() { x.receive(ctx, stream) })
	s.counters.resendAll()
	if err := x.report(ctx); err != nil {
		return err
	}
	if !limit.Stop() {
		return errors.New("replica did not answer in time: check that it runs")
	}
	s.snapshot = false
	clear(s.failing)
	events.WatchStarted.Log(s.cfg.Log, logrus.Fields{"replica": h.GetName(), "version": s.receiver.Held().Version})
	var back <-chan time.Time
	if s.distance(h) > s.distance(s.candidates()[0]) {
		back = time.After(returnPeriod)
	}
	return x.run(ctx, back)
}

func (x *session) receive(ctx context.Context, stream grpc.ServerStreamingClient[controlpb.Update]) {
	for {
		u, err := stream.Recv()
		if err != nil {
			x.failed <- err
			return
		}
		select {
		case x.updates <- u:
		case <-ctx.Done():
			return
		}
	}
}

func (x *session) run(ctx context.Context, back <-chan time.Time) error {
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	activation := x.s.activation()
	for {
		var err error
		select {
		case <-ctx.Done():
			return nil
		case <-back:
			return nil
		case err = <-x.failed:
		case u := <-x.updates:
			err = x.s.receive(u)
			activation = x.s.activation()
		case <-activation:
			x.s.apply(x.s.receiver.Held())
			activation = x.s.activation()
		case <-x.s.news:
			err = x.report(ctx)
		case <-ticker.C:
			err = x.report(ctx)
		}
		if err != nil {
			return err
		}
	}
}

// receive accepts an update, writes it to the disk and puts it in force. A copy that cannot be
// written does not keep the configuration from being put in force.
func (s *Subscription) receive(u *controlpb.Update) error {
	before := s.receiver.Held()
	held, err := s.receiver.Receive(u)
	var refused *distribution.UpdateError
	if errors.As(err, &refused) && refused.Kind == distribution.Stale {
		return nil
	}
	if err != nil {
		s.snapshot = refused != nil && refused.NeedsSnapshot()
		events.UpdateRefused.Log(s.cfg.Log, logrus.Fields{"error": err})
		return err
	}
	if before.Version > 0 && agreement.Epoch(before.Version) < agreement.Epoch(held.Version) {
		s.keepBefore(before, held)
	}
	if s.cfg.Store != nil {
		if err := s.cfg.Store.Save(held.Copy()); err != nil {
			events.CopyNotSaved.Log(s.cfg.Log, logrus.Fields{"error": err})
		}
	}
	s.apply(held)
	return nil
}

// keepBefore keeps the copy of a version that a recovered group may not have had, so that its files
// can still be exported.
func (s *Subscription) keepBefore(before, held *distribution.Held) {
	fields := logrus.Fields{"before": before.Version, "version": held.Version}
	if s.cfg.Store != nil {
		path, err := s.cfg.Store.Keep()
		fields["kept"] = path
		if err != nil {
			fields["error"] = err
		}
	}
	events.ConfigOfRecovery.Log(s.cfg.Log, fields)
}

// report tells the version in force, and every few seconds the counters.
func (x *session) report(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	q := &controlpb.ReportRequest{Daemon: x.s.cfg.Daemon, Incarnation: x.s.cfg.Incarnation, VersionInForce: x.s.InForce()}
	counting := time.Since(x.counted) >= countPeriod
	if counting {
		q = x.s.counters.report(x.s.InForce())
	}
	reply, err := x.client.Report(ctx, q, grpc.WaitForReady(true))
	if err != nil {
		return err
	}
	if counting {
		x.counted = time.Now()
		x.s.counters.acknowledge(reply.GetSequence())
	}
	return nil
}
