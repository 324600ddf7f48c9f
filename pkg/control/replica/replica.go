// Package replica runs a control replica: one goroutine owns the agreement core, its storage and
// the replicated state. The gRPC services of operators and daemons work on what it applied.
package replica

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/control/state"
	"rosemarygate/pkg/control/transport"
	"rosemarygate/pkg/events"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/storage"
)

const (
	tick           = 100 * time.Millisecond
	electionTicks  = 12
	heartbeatTicks = 4
	queueLength    = 1024
	// leaderless is how long a replica without a leader keeps its daemons. After that they look
	// for a replica that gets changes; this one's disk or connection may have failed.
	leaderless = 10 * time.Second
	// stallLimit is how long a disk may keep the replica from its work before its daemons look for
	// another replica. Waiting for leaderless instead, they got a change after 10.7 s.
	stallLimit    = 3 * time.Second
	retryPeriod   = 2 * time.Second
	walFolder     = "agreement"
	totalsFolder  = "daily-totals"
	retentionDays = 400 // of totals: a year can be compared with the one before
)

// Config describes a replica.
type Config struct {
	Name       string
	DataCentre string
	// Replicas are all replicas by the settings, this one included.
	Replicas []*controlpb.ReplicaHost
	// DataCentreOf returns the data centre of another replica by its name, empty if it is unknown.
	DataCentreOf func(name string) string
	// Dir is the data folder of the daemon.
	Dir string
	// Dial holds the options of connections to other replicas.
	Dial []grpc.DialOption
	Log  logrus.FieldLogger
	// FS keeps the log and the snapshots; nil stands for the operating system's file system.
	FS storage.FS
}

// Replica is one control replica. Run runs it; Register makes its services available.
type Replica struct {
	cfg       Config
	id        ident.DaemonID
	log       logrus.FieldLogger
	validator *validator
	calls     chan func(*core)
	incoming  chan agreement.Message
	transport *transport.Transport
	publish   *distributor
	book      *ledger
	status    atomic.Pointer[Status]
	identity  atomic.Pointer[controlpb.IdentifyReply]
	led       atomic.Int64 // Unix nanoseconds when a leader was known last
	passed    atomic.Int64 // Unix nanoseconds when the loop of the core last had nothing left to sync
	driving   atomic.Bool  // a replacement or the first entries are being worked on

	addrMu    sync.Mutex
	addresses map[ident.DaemonID]*controlpb.ReplicaHost

	listsDiffer logLimiter // used by the goroutine of the cores only

	ctx  context.Context // of the run; ends the streams
	stop context.CancelFunc
}

// Status is the state of a replica for display and for routing.
type Status struct {
	agreement.Status
	Version uint64
	Loaded  bool // the log on disk is applied
}

// New prepares a replica.
func New(cfg Config) (*Replica, error) {
	r := &Replica{
		cfg: cfg, id: ident.Daemon(cfg.Name), log: cfg.Log, validator: newValidator(),
		calls: make(chan func(*core), queueLength), incoming: make(chan agreement.Message, queueLength),
		addresses: map[ident.DaemonID]*controlpb.ReplicaHost{},
	}
	if r.cfg.FS == nil {
		r.cfg.FS = storage.OS{}
	}
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.publish = newDistributor(cfg.Name, state.New(r.validator.rules()).View())
	r.status.Store(&Status{})
	r.identity.Store(&controlpb.IdentifyReply{})
	r.know(cfg.Replicas)
	book, err := newLedger(cfg.Name, filepath.Join(cfg.Dir, totalsFolder), retentionDays, time.Now())
	if err != nil {
		return nil, err
	}
	r.book = book
	r.transport = transport.New(r.ctx, r.addresses[r.id], r.address, cfg.Dial)
	return r, nil
}

// Register adds the replica's services to a server.
func (r *Replica) Register(s grpc.ServiceRegistrar) {
	controlpb.RegisterAgreementServer(s, &transport.Server{Context: r.ctx, Introduce: r.introduce, Receive: r.receive})
	controlpb.RegisterReplicationServer(s, &replicationServer{r: r})
	controlpb.RegisterOperatorServer(s, &operator{r: r})
	controlpb.RegisterDistributionServer(s, &distributionServer{r: r})
}

// Status returns the replica's state.
func (r *Replica) Status() Status { return *r.status.Load() }

// connected reports whether the replica's group has had a leader lately, so that it gets changes.
func (r *Replica) connected() bool {
	st := r.Status()
	return st.Loaded && !st.Removed && !r.stalled() && time.Since(time.Unix(0, r.led.Load())) < leaderless
}

// stalled reports whether a sync has kept the replica from its work for long. What Status says of
// its role may then be out of date.
func (r *Replica) stalled() bool {
	return time.Since(time.Unix(0, r.passed.Load())) > stallLimit
}

// unconnected returns why the replica is not connected.
func (r *Replica) unconnected() error {
	switch {
	case r.Status().Removed:
		return errRemoved
	case r.stalled():
		return errStalled
	}
	return errLeaderless
}

// Run runs the replica until ctx ends. Faults of the disk are logged and the folder is opened
// again, so that the daemon serves callers all the same.
func (r *Replica) Run(ctx context.Context) error {
	defer r.stop()
	var g run.Group
	add := func(f func(context.Context) error) {
		actor, cancel := context.WithCancel(ctx)
		g.Add(func() error { return f(actor) }, func(error) { cancel() })
	}
	add(r.runCore)
	add(r.share)
	add(r.keepBook)
	add(r.keepRestored)
	add(r.tickDistribution)
	add(r.watchGroups)
	return g.Run()
}

func (r *Replica) runCore(ctx context.Context) error {
	var lock *os.File
	defer func() { lock.Close() }()
	for ctx.Err() == nil {
		var err error
		if lock == nil {
			lock, err = lockFolder(r.cfg.Dir)
		}
		if err == nil {
			err = r.runOnce(ctx)
		}
		r.status.Store(&Status{}) // it neither leads nor serves daemons meanwhile
		if ctx.Err() != nil {
			break
		}
		events.ReplicaFailed.Log(r.log, logrus.Fields{"error": err})
		select {
		case <-ctx.Done():
		case <-time.After(retryPeriod):
		}
	}
	return nil
}

// Close ends the streams of daemons and replicas, so that a server that waits for them can stop.
func (r *Replica) Close() { r.stop() }

// know remembers the addresses of replicas.
func (r *Replica) know(hosts []*controlpb.ReplicaHost) {
	r.addrMu.Lock()
	defer r.addrMu.Unlock()
	for _, h := range hosts {
		r.addresses[ident.Daemon(h.GetName())] = h
	}
}

// introduce remembers the address of a replica that neither the settings nor the log name.
func (r *Replica) introduce(name, address string) {
	if _, known := r.address(ident.Daemon(name)); !known {
		r.know([]*controlpb.ReplicaHost{{Name: name, Address: address}})
	}
}

func (r *Replica) receive(m agreement.Message) {
	r.transport.Received(m.From.ID)
	select {
	case r.incoming <- m:
	default:
	}
}

func (r *Replica) address(id ident.DaemonID) (string, bool) {
	r.addrMu.Lock()
	defer r.addrMu.Unlock()
	h, ok := r.addresses[id]
	return h.GetAddress(), ok
}

// others returns the known replicas besides this one.
func (r *Replica) others() []*controlpb.ReplicaHost {
	r.addrMu.Lock()
	defer r.addrMu.Unlock()
	var out []*controlpb.ReplicaHost
	for id, h := range r.addresses {
		if id != r.id {
			out = append(out, h)
		}
	}
	return out
}

// do runs a function in the goroutine that owns the cores and waits for it.
func (r *Replica) do(ctx context.Context, f func(*core)) error {
	done := make(chan struct{})
	call := func(c *core) {
		defer close(done)
		f(c)
	}
	select {
	case r.calls <- call:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Transfer hands the leadership to another replica, for a planned stop. It returns when this
// replica does not lead any more, or when ctx ends.
func (r *Replica) Transfer(ctx context.Context) error {
	for r.Status().Role == agreement.Leader {
		err := r.do(ctx, (*core).transfer)
		if err != nil {
			return errors.Wrap(err, "leadership was not handed over: another replica takes over after an election")
		}
		select {
		case <-ctx.Done():
		case <-time.After(tick):
		}
	}
	return nil
}

// logLimiter bounds how often a repeated event is logged.
type logLimiter struct{ last time.Time }

const logLimitPeriod = 30 * time.Second

func (s *logLimiter) due() bool {
	if time.Since(s.last) < logLimitPeriod {
		return false
	}
	s.last = time.Now()
	return true
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
