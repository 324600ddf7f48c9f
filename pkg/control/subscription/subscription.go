// Package subscription is the daemon side of the configuration distribution: it watches one control
// replica at a time, stores the accepted configuration on the disk, has it put in force, and reports
// the version in force and the daily counters.
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
	// reportPeriod is the time between two reports while nothing changes. A report without an answer
	// shows that the replica cannot be reached, even if the connection stays open.
	reportPeriod        = 2 * time.Second
	reportTimeout       = 2 * time.Second
	counterReportPeriod = 5 * time.Second // between two reports of the counters
	watchTimeout        = 2 * time.Second // until a replica accepts the watch
	// Pauses between rounds over all replicas; the longest lets a daemon be current within 3 s after
	// a partition.
	retryPause    = 300 * time.Millisecond
	maxRetryPause = 1500 * time.Millisecond
	// returnPeriod is how long a daemon stays with a replica of another data centre before it tries
	// the replicas of its own data centre again.
	returnPeriod = 15 * time.Second
)

// Config describes a subscription.
type Config struct {
	Daemon      string
	Incarnation uint64
	DataCentre  string
	Replicas    []*controlpb.ReplicaHost
	// DataCentreOf returns the data centre of the replica with a name, empty if it is unknown.
	DataCentreOf func(name string) string
	Store        distribution.Store // nil on hosts without a disk
	DialOptions  []grpc.DialOption
	// Apply puts a configuration in force. It is called again with the same configuration when
	// another token key becomes the signing key.
	Apply func(*distribution.HeldConfig) error
	Log   logrus.FieldLogger
}

// Subscription follows the accepted configuration while Run runs.
type Subscription struct {
	cfg           Config
	receiver      *distribution.Receiver
	inForce       atomic.Uint64
	replicas      []*controlpb.ReplicaHost
	counters      *counters
	reportDue     chan struct{}   // has a value when a report is due immediately
	needsSnapshot bool            // the next watch requests a snapshot
	failureLogged map[string]bool // names of replicas whose failure was logged
}

// New loads the stored copy and puts it in force.
func New(cfg Config) *Subscription {
	s := &Subscription{cfg: cfg, counters: newCounters(cfg.Daemon, cfg.Incarnation), reportDue: make(chan struct{}, 1), failureLogged: map[string]bool{}}
	s.replicas = slices.Clone(cfg.Replicas)
	rotateByName(s.replicas, cfg.Daemon)
	s.receiver = s.load()
	if held := s.receiver.Held(); held.Version > 0 {
		s.apply(held)
	}
	return s
}

// rotateByName rotates the replicas by a hash of the name of the daemon, which spreads the daemons
// over the replicas of other data centres.
func rotateByName(replicas []*controlpb.ReplicaHost, daemon string) {
	if len(replicas) == 0 {
		return
	}
	hash := fnv.New32a()
	hash.Write([]byte(daemon))
	offset := int(hash.Sum32() % uint32(len(replicas)))
	copy(replicas, append(slices.Clone(replicas[offset:]), replicas[:offset]...))
}

// load reads the stored copy. If the copy is unusable, the configuration is fetched from a replica.
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
	r, _ := distribution.NewReceiver(nil) // nil is always valid
	return r
}

// InForce returns the version in force, 0 for none.
func (s *Subscription) InForce() uint64 { return s.inForce.Load() }

func (s *Subscription) apply(held *distribution.HeldConfig) {
	if err := s.cfg.Apply(held); err != nil {
		events.ConfigRefused.Log(s.cfg.Log, logrus.Fields{"version": held.Version, "error": err})
		return
	}
	s.inForce.Store(held.Version)
	s.requestReport()
}

func (s *Subscription) requestReport() {
	select {
	case s.reportDue <- struct{}{}:
	default:
	}
}

// Run follows the replicas until ctx ends.
func (s *Subscription) Run(ctx context.Context) error {
	pause := retryPause
	for ctx.Err() == nil {
		begin := time.Now()
		s.tryReplicas(ctx)
		if time.Since(begin) > maxRetryPause {
			pause = retryPause
		}
		s.counters.prune(s.cfg.Log)
		s.waitBeforeRetry(ctx, pause)
		pause = min(2*pause, maxRetryPause)
	}
	return nil
}

// tryReplicas watches the replicas in turn, until a watch ends without an error.
func (s *Subscription) tryReplicas(ctx context.Context) {
	for _, h := range s.candidates() {
		err := s.follow(ctx, h)
		if err == nil || ctx.Err() != nil {
			return
		}
		if !s.failureLogged[h.GetName()] {
			events.WatchEnded.Log(s.cfg.Log, logrus.Fields{"replica": h.GetName(), "error": err})
		}
		s.failureLogged[h.GetName()] = true
	}
}

// waitBeforeRetry waits before the next round. If a key becomes the signing key in the meantime, it
// applies the configuration again and returns.
func (s *Subscription) waitBeforeRetry(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	case <-s.keyActivation():
		s.apply(s.receiver.Held())
	}
}

// candidates returns the replicas in the order in which they are tried: the daemon's own replica,
// then its data centre, then the others.
func (s *Subscription) candidates() []*controlpb.ReplicaHost {
	out := slices.Clone(s.replicas)
	slices.SortStableFunc(out, func(a, b *controlpb.ReplicaHost) int {
		return s.distance(a) - s.distance(b)
	})
	return out
}

// distance returns the rank of a replica in the order of the candidates.
func (s *Subscription) distance(h *controlpb.ReplicaHost) int {
	if h.GetName() == s.cfg.Daemon {
		return 0
	}
	if s.cfg.DataCentreOf(h.GetName()) == s.cfg.DataCentre {
		return 1
	}
	return 2
}

// keyActivation returns a channel that fires when a key of the held configuration becomes the signing
// key, nil if none will.
func (s *Subscription) keyActivation() <-chan time.Time {
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

// watchSession is one watch of a replica.
type watchSession struct {
	subscription       *Subscription
	client             controlpb.DistributionClient
	updates            chan *controlpb.Update
	failed             chan error
	countersReportedAt time.Time
}

// follow watches one replica until the watch fails. It returns nil if the daemon has to begin again
// with the first replica.
func (s *Subscription) follow(ctx context.Context, h *controlpb.ReplicaHost) error {
	conn, err := grpc.NewClient(h.GetAddress(), transport.DialOptions(s.cfg.DialOptions)...)
	if err != nil {
		return errors.WithStack(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	var receiving sync.WaitGroup
	defer receiving.Wait()
	defer cancel()
	watch := &watchSession{
		subscription: s, client: controlpb.NewDistributionClient(conn),
		updates: make(chan *controlpb.Update), failed: make(chan error, 1),
	}
	watchTimer := time.AfterFunc(watchTimeout, cancel)
	stream, err := watch.client.Watch(ctx, s.receiver.WatchRequest(s.cfg.Daemon, s.InForce(), s.needsSnapshot))
	if err != nil {
		return err
	}
	if header, err := stream.Header(); err != nil || header == nil {
		_, err := stream.Recv()
		return err
	}
	receiving.Go(func() { watch.receive(ctx, stream) })
	s.counters.resendAll()
	if err := watch.report(ctx); err != nil {
		return err
	}
	if !watchTimer.Stop() {
		return errors.New("replica did not answer in time: check that it runs")
	}
	s.needsSnapshot = false
	clear(s.failureLogged)
	events.WatchStarted.Log(s.cfg.Log, logrus.Fields{"replica": h.GetName(), "version": s.receiver.Held().Version})
	var returnTimer <-chan time.Time
	if s.distance(h) > s.distance(s.candidates()[0]) {
		returnTimer = time.After(returnPeriod)
	}
	return watch.run(ctx, returnTimer)
}

func (w *watchSession) receive(ctx context.Context, stream grpc.ServerStreamingClient[controlpb.Update]) {
	for {
		u, err := stream.Recv()
		if err != nil {
			w.failed <- err
			return
		}
		select {
		case w.updates <- u:
		case <-ctx.Done():
			return
		}
	}
}

func (w *watchSession) run(ctx context.Context, returnTimer <-chan time.Time) error {
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	activation := w.subscription.keyActivation()
	for {
		var err error
		select {
		case <-ctx.Done():
			return nil
		case <-returnTimer:
			return nil
		case err = <-w.failed:
		case u := <-w.updates:
			err = w.subscription.receive(u)
			activation = w.subscription.keyActivation()
		case <-activation:
			w.subscription.apply(w.subscription.receiver.Held())
			activation = w.subscription.keyActivation()
		case <-w.subscription.reportDue:
			err = w.report(ctx)
		case <-ticker.C:
			err = w.report(ctx)
		}
		if err != nil {
			return err
		}
	}
}

// receive accepts an update, writes it to the disk and puts it in force. If the copy cannot be
// written, the configuration is put in force nevertheless.
func (s *Subscription) receive(u *controlpb.Update) error {
	previous := s.receiver.Held()
	held, err := s.receiver.Receive(u)
	var updateErr *distribution.UpdateError
	if errors.As(err, &updateErr) && updateErr.Kind == distribution.Stale {
		return nil
	}
	if err != nil {
		s.needsSnapshot = updateErr != nil && updateErr.NeedsSnapshot()
		events.UpdateRefused.Log(s.cfg.Log, logrus.Fields{"error": err})
		return err
	}
	if previous.Version > 0 && agreement.Epoch(previous.Version) < agreement.Epoch(held.Version) {
		s.preserveCopy(previous, held)
	}
	if s.cfg.Store != nil {
		if err := s.cfg.Store.Save(held.Copy()); err != nil {
			events.CopyNotSaved.Log(s.cfg.Log, logrus.Fields{"error": err})
		}
	}
	s.apply(held)
	return nil
}

// preserveCopy preserves the copy of a version that a recovered group may have lost, so that its
// files can still be exported.
func (s *Subscription) preserveCopy(previous, held *distribution.HeldConfig) {
	fields := logrus.Fields{"before": previous.Version, "version": held.Version}
	if s.cfg.Store != nil {
		path, err := s.cfg.Store.PreserveCopy()
		fields["kept"] = path
		if err != nil {
			fields["error"] = err
		}
	}
	events.ConfigReplacedByRecovery.Log(s.cfg.Log, fields)
}

// report reports the version in force and, every counterReportPeriod, the counters.
func (w *watchSession) report(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	request := &controlpb.ReportRequest{Daemon: w.subscription.cfg.Daemon, Incarnation: w.subscription.cfg.Incarnation, VersionInForce: w.subscription.InForce()}
	withCounters := time.Since(w.countersReportedAt) >= counterReportPeriod
	if withCounters {
		request = w.subscription.counters.report(w.subscription.InForce())
	}
	reply, err := w.client.Report(ctx, request, grpc.WaitForReady(true))
	if err != nil {
		return err
	}
	if withCounters {
		w.countersReportedAt = time.Now()
		w.subscription.counters.acknowledge(reply.GetSequence())
	}
	return nil
}
