// Package replica runs a control replica: one goroutine owns the consensus node, its storage and
// the replicated state. The gRPC services for operators and daemons use the state that it applied.
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
	tickPeriod     = 100 * time.Millisecond
	electionTicks  = 12
	heartbeatTicks = 4
	queueLength    = 1024
	// leaderlessLimit is how long a replica without a leader goes on serving daemons. After that they
	// have to find a replica that receives changes; the disk or network of this one may have failed.
	leaderlessLimit = 10 * time.Second
	// stallLimit is how long a sync of the disk may block the replica before its daemons have to find
	// another one. With leaderlessLimit in its place, a change reached them only after 10.7 s.
	stallLimit    = 3 * time.Second
	retryPeriod   = 2 * time.Second
	walFolder     = "agreement"
	totalsFolder  = "daily-totals"
	retentionDays = 400 // of totals; a year can be compared with the previous one
)

// Config describes a replica.
type Config struct {
	Name       string
	DataCentre string
	// Replicas are all replicas in the settings, including this one.
	Replicas []*controlpb.ReplicaHost
	// DataCentreOf returns the data centre of a replica, empty if it is unknown.
	DataCentreOf func(name string) string
	// DataDir is the data folder of the daemon.
	DataDir string
	// DialOptions holds the options of connections to other replicas.
	DialOptions []grpc.DialOption
	Log         logrus.FieldLogger
	// FS holds the log and the snapshots; nil means the file system of the operating system.
	FS storage.FS
}

// Replica is a control replica. Register adds its services to a server, Run runs it.
type Replica struct {
	cfg               Config
	id                ident.DaemonID
	log               logrus.FieldLogger
	validator         *validator
	calls             chan func(*core)
	incoming          chan agreement.Message
	transport         *transport.Transport
	distributor       *distributor
	ledger            *totalsLedger
	status            atomic.Pointer[Status]
	identity          atomic.Pointer[controlpb.IdentifyReply]
	lastLeaderAt      atomic.Int64 // Unix nanoseconds; when the group last had a leader
	lastSyncedAt      atomic.Int64 // Unix nanoseconds; when the core's loop last had no pending writes
	leaderStepRunning atomic.Bool  // the goroutine of core.startLeaderStep is running

	addrMu    sync.Mutex
	addresses map[ident.DaemonID]*controlpb.ReplicaHost

	listsDifferLimiter logLimiter // used only by the goroutine that runs the core

	ctx  context.Context // cancelled by stop; ends the streams
	stop context.CancelFunc
}

// Status is the published state of a replica.
type Status struct {
	agreement.Status
	Version uint64 // of the applied configuration
	Loaded  bool   // the log on disk was applied
}

// New returns a replica that is not running yet.
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
	r.distributor = newDistributor(cfg.Name, state.New(r.validator.rules()).View())
	r.status.Store(&Status{})
	r.identity.Store(&controlpb.IdentifyReply{})
	r.setAddresses(cfg.Replicas)
	ledger, err := newTotalsLedger(cfg.Name, filepath.Join(cfg.DataDir, totalsFolder), retentionDays, time.Now())
	if err != nil {
		return nil, err
	}
	r.ledger = ledger
	r.transport = transport.New(r.ctx, r.addresses[r.id], r.address, cfg.DialOptions)
	return r, nil
}

// Register adds the replica's services to a server.
func (r *Replica) Register(s grpc.ServiceRegistrar) {
	controlpb.RegisterAgreementServer(s, &transport.Server{Context: r.ctx, RecordSender: r.addUnknownAddress, Receive: r.receive})
	controlpb.RegisterReplicationServer(s, &replicationServer{r: r})
	controlpb.RegisterOperatorServer(s, &operatorServer{r: r})
	controlpb.RegisterDistributionServer(s, &distributionServer{r: r})
}

// Status returns the state as of the last run of the core's loop.
func (r *Replica) Status() Status { return *r.status.Load() }

// available reports whether the replica can serve daemons: it is a member, its disk responds and its
// group had a leader within leaderlessLimit, so it receives changes.
func (r *Replica) available() bool {
	st := r.Status()
	return st.Loaded && !st.Removed && !r.stalled() && time.Since(time.Unix(0, r.lastLeaderAt.Load())) < leaderlessLimit
}

// stalled reports whether a sync has blocked the replica for longer than stallLimit. The role in
// Status may then be out of date.
func (r *Replica) stalled() bool {
	return time.Since(time.Unix(0, r.lastSyncedAt.Load())) > stallLimit
}

// unavailableError returns the reason why the replica is not available.
func (r *Replica) unavailableError() error {
	switch {
	case r.Status().Removed:
		return errRemoved
	case r.stalled():
		return errStalled
	}
	return errLeaderless
}

// Run runs the replica until ctx ends. After a disk error it logs the error and reopens the data
// folder, so that the daemon continues to serve callers.
func (r *Replica) Run(ctx context.Context) error {
	defer r.stop()
	var g run.Group
	add := func(f func(context.Context) error) {
		actor, cancel := context.WithCancel(ctx)
		g.Add(func() error { return f(actor) }, func(error) { cancel() })
	}
	add(r.runCore)
	add(r.runSharing)
	add(r.runTotalsSaving)
	add(r.runRestoring)
	add(r.runDistributorTicks)
	add(r.runGroupCheck)
	return g.Run()
}

func (r *Replica) runCore(ctx context.Context) error {
	var lock *os.File
	defer func() { lock.Close() }()
	for ctx.Err() == nil {
		var err error
		if lock == nil {
			lock, err = lockFolder(r.cfg.DataDir)
		}
		if err == nil {
			err = r.runOnce(ctx)
		}
		r.status.Store(&Status{}) // it neither leads nor serves daemons until it runs again
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

// Close ends the streams of daemons and replicas, so that the gRPC server can stop gracefully.
func (r *Replica) Close() { r.stop() }

// setAddresses records the addresses of replicas.
func (r *Replica) setAddresses(hosts []*controlpb.ReplicaHost) {
	r.addrMu.Lock()
	defer r.addrMu.Unlock()
	for _, h := range hosts {
		r.addresses[ident.Daemon(h.GetName())] = h
	}
}

// addUnknownAddress records the address that a replica sent, unless its address is already known from
// the settings or the log.
func (r *Replica) addUnknownAddress(name, address string) {
	if _, found := r.address(ident.Daemon(name)); !found {
		r.setAddresses([]*controlpb.ReplicaHost{{Name: name, Address: address}})
	}
}

// receive queues a message for the core. It drops the message if the queue is full.
func (r *Replica) receive(m agreement.Message) {
	r.transport.RecordReceived(m.From.ID)
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

// otherReplicas returns all known replicas except this one.
func (r *Replica) otherReplicas() []*controlpb.ReplicaHost {
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

// runOnCore runs a function in the goroutine that owns the core and waits until it returns.
func (r *Replica) runOnCore(ctx context.Context, f func(*core)) error {
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

// TransferLeadership transfers the leadership to another replica before a planned stop. It returns when this
// replica no longer leads, or when ctx ends.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	for r.Status().Role == agreement.Leader {
		err := r.runOnCore(ctx, (*core).transferLeadership)
		if err != nil {
			return errors.Wrap(err, "leadership was not transferred: another replica takes over after an election")
		}
		select {
		case <-ctx.Done():
		case <-time.After(tickPeriod):
		}
	}
	return nil
}

// logLimiter limits how often a repeated event is logged.
type logLimiter struct{ last time.Time }

const logLimitPeriod = 30 * time.Second

func (s *logLimiter) allow() bool {
	if time.Since(s.last) < logLimitPeriod {
		return false
	}
	s.last = time.Now()
	return true
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
