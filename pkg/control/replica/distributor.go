package replica

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/control/distribution"
	"rosemarygate/pkg/control/state"
	"rosemarygate/pkg/control/transport"
	"rosemarygate/pkg/supervise"
)

const (
	distributionTick = time.Second
	updateQueue      = 4
	// progressLifetime is how long the last progress of a replica is used if no more arrives.
	progressLifetime = 20 * time.Second
	maxDaemonName    = 128 // bytes
	// moveTime is how long the daemons of a replica that has ended may take to watch another one: a retry
	// pause of the subscription and the exchange of the progress. Until then the count misses them.
	moveTime = 2 * time.Second
)

// distributor sends updates to the daemons that watch this replica, and holds the progress of all
// replicas: the versions that their daemons have in force.
type distributor struct {
	name string

	mu              sync.Mutex
	publisher       *distribution.Publisher
	version         uint64 // of the publisher's view
	watchQueues     map[uint64]chan *controlpb.Update
	lastWatch       uint64 // number of the latest watch
	replicaProgress map[string]receivedProgress
	daemonsMoveTill time.Time     // daemons of an ended replica may not watch another one yet
	progressChanged chan struct{} // receives a value when the progress of this replica changed
}

// receivedProgress is the progress of another replica with its time of receipt.
type receivedProgress struct {
	progress *controlpb.Progress
	at       time.Time
}

func newDistributor(name string, view *state.View) *distributor {
	return &distributor{
		name: name, publisher: distribution.NewPublisher(view), watchQueues: map[uint64]chan *controlpb.Update{},
		replicaProgress: map[string]receivedProgress{}, progressChanged: make(chan struct{}, 1),
	}
}

func (d *distributor) setView(v *state.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v.Version == d.version {
		return
	}
	d.version = v.Version
	d.queueUpdates(d.publisher.SetView(time.Now(), v))
}

// queueUpdates queues updates for their watches. An update for a full queue is dropped; the publisher
// sends it again when its acknowledgement is overdue.
func (d *distributor) queueUpdates(sends []distribution.OutgoingUpdate) {
	for _, s := range sends {
		select {
		case d.watchQueues[s.Watch] <- s.Update:
		default:
		}
	}
}

func (d *distributor) subscribe(req *controlpb.WatchRequest) (uint64, <-chan *controlpb.Update) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastWatch++
	updates := make(chan *controlpb.Update, updateQueue)
	d.watchQueues[d.lastWatch] = updates
	d.queueUpdates(d.publisher.Subscribe(time.Now(), d.lastWatch, req))
	d.notifyProgress()
	return d.lastWatch, updates
}

func (d *distributor) unsubscribe(daemon string, watch uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.watchQueues, watch)
	d.publisher.Unsubscribe(daemon, watch)
	d.notifyProgress()
}

// acknowledge records the version that a daemon has in force. Only a new version changes the progress.
func (d *distributor) acknowledge(daemon string, version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.publisher.Progress(d.name)
	d.queueUpdates(d.publisher.Acknowledge(time.Now(), daemon, version))
	if !proto.Equal(before, d.publisher.Progress(d.name)) {
		d.notifyProgress()
	}
}

func (d *distributor) notifyProgress() {
	select {
	case d.progressChanged <- struct{}{}:
	default:
	}
}

func (d *distributor) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queueUpdates(d.publisher.Tick(time.Now()))
}

func (d *distributor) ownProgress() *controlpb.Progress {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.publisher.Progress(d.name)
}

func (d *distributor) receiveProgress(p *controlpb.Progress) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.GetReplica() != "" && p.GetReplica() != d.name {
		d.replicaProgress[p.GetReplica()] = receivedProgress{p, time.Now()}
	}
}

// dropProgress removes the progress of a replica whose process is gone: its daemons now watch other
// replicas, which count them.
func (d *distributor) dropProgress(replica string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if received, ok := d.replicaProgress[replica]; ok && len(received.progress.GetCounts()) > 0 {
		d.daemonsMoveTill = time.Now().Add(moveTime)
	}
	delete(d.replicaProgress, replica)
}

// countInForce counts the daemons of all replicas, and those that have the version or a later one in
// force. The count is not final while the daemons of an ended replica move to another one.
func (d *distributor) countInForce(version uint64) (inForce, daemons int, final bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	reports := []*controlpb.Progress{d.publisher.Progress(d.name)}
	for _, received := range d.replicaProgress {
		if time.Since(received.at) < progressLifetime {
			reports = append(reports, received.progress)
		}
	}
	inForce, daemons = distribution.CountInForce(version, reports)
	return inForce, daemons, !time.Now().Before(d.daemonsMoveTill)
}

// newestVersion returns the latest version that any daemon has in force.
func (d *distributor) newestVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	newest := distribution.NewestVersion(d.publisher.Progress(d.name))
	for _, received := range d.replicaProgress {
		if time.Since(received.at) < progressLifetime {
			newest = max(newest, distribution.NewestVersion(received.progress))
		}
	}
	return newest
}

func (r *Replica) runDistributorTicks(ctx context.Context) error {
	return supervise.Every(ctx, distributionTick, r.distributor.tick)
}

// distributionServer implements the service for daemons.
type distributionServer struct {
	controlpb.UnimplementedDistributionServer
	r *Replica
}

// Watch sends updates until the stream ends or the replica is no longer available.
func (s *distributionServer) Watch(req *controlpb.WatchRequest, stream grpc.ServerStreamingServer[controlpb.Update]) error {
	if req.GetDaemon() == "" || len(req.GetDaemon()) > maxDaemonName {
		return status.Errorf(codes.InvalidArgument, "daemon name has to have 1 to %d bytes: correct the daemon's settings", maxDaemonName)
	}
	if !s.r.available() {
		return s.r.unavailableError()
	}
	if err := stream.SendHeader(nil); err != nil { // confirms the watch to the daemon before the first update
		return err
	}
	ticker := time.NewTicker(distributionTick)
	defer ticker.Stop()
	watch, updates := s.r.distributor.subscribe(req)
	defer s.r.distributor.unsubscribe(req.GetDaemon(), watch)
	for {
		select {
		case <-stream.Context().Done():
			return nil
		case <-s.r.ctx.Done():
			return transport.ErrStopping
		case <-ticker.C:
			if !s.r.available() {
				return s.r.unavailableError()
			}
		case u := <-updates:
			if err := stream.Send(u); err != nil {
				return err
			}
		}
	}
}

// Report records the version that a daemon has in force and merges its counters.
func (s *distributionServer) Report(_ context.Context, req *controlpb.ReportRequest) (*controlpb.ReportReply, error) {
	s.r.distributor.acknowledge(req.GetDaemon(), req.GetVersionInForce())
	if err := s.r.ledger.mergeReport(req, time.Now()); err != nil {
		return nil, s.r.logUnreadable(err)
	}
	return &controlpb.ReportReply{Sequence: req.GetSequence()}, nil
}
