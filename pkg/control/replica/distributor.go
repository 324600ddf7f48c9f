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
	// progressLifetime is how long the progress of a silent replica counts.
	progressLifetime = 20 * time.Second
	maxDaemonName    = 128 // bytes
)

// distributor owns the publisher and the progress of all replicas.
type distributor struct {
	name string

	mu       sync.Mutex
	core     *distribution.Publisher
	version  uint64
	watches  map[uint64]chan *controlpb.Update
	last     uint64 // watch number
	progress map[string]heardProgress
	changed  chan struct{} // has a value when this replica's own progress changed
}

type heardProgress struct {
	progress *controlpb.Progress
	at       time.Time
}

func newDistributor(name string, view *state.View) *distributor {
	return &distributor{
		name: name, core: distribution.NewPublisher(view), watches: map[uint64]chan *controlpb.Update{},
		progress: map[string]heardProgress{}, changed: make(chan struct{}, 1),
	}
}

func (d *distributor) setView(v *state.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v.Version == d.version {
		return
	}
	d.version = v.Version
	d.send(d.core.SetView(time.Now(), v))
}

// send queues updates; a watch whose queue is full gets the update again when it is overdue.
func (d *distributor) send(all []distribution.Send) {
	for _, s := range all {
		select {
		case d.watches[s.Watch] <- s.Update:
		default:
		}
	}
}

func (d *distributor) subscribe(q *controlpb.WatchRequest) (uint64, <-chan *controlpb.Update) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last++
	updates := make(chan *controlpb.Update, updateQueue)
	d.watches[d.last] = updates
	d.send(d.core.Subscribe(time.Now(), d.last, q))
	d.notify()
	return d.last, updates
}

func (d *distributor) unsubscribe(daemon string, watch uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.watches, watch)
	d.core.Unsubscribe(daemon, watch)
	d.notify()
}

// acknowledge takes a report; only a new version changes the progress.
func (d *distributor) acknowledge(daemon string, version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.core.Progress(d.name)
	d.send(d.core.Acknowledge(time.Now(), daemon, version))
	if !proto.Equal(before, d.core.Progress(d.name)) {
		d.notify()
	}
}

func (d *distributor) notify() {
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

func (d *distributor) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.send(d.core.Tick(time.Now()))
}

func (d *distributor) own() *controlpb.Progress {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Progress(d.name)
}

func (d *distributor) heard(p *controlpb.Progress) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.GetReplica() != "" && p.GetReplica() != d.name {
		d.progress[p.GetReplica()] = heardProgress{p, time.Now()}
	}
}

// lost forgets the progress of a replica that no process serves any more: its daemons watch other
// replicas, which count them.
func (d *distributor) lost(replica string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.progress, replica)
}

// inForce counts the daemons of all replicas that have a version or a later one in force.
func (d *distributor) inForce(version uint64) (inForce, daemons int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := []*controlpb.Progress{d.core.Progress(d.name)}
	for _, h := range d.progress {
		if time.Since(h.at) < progressLifetime {
			all = append(all, h.progress)
		}
	}
	return distribution.InForce(version, all)
}

// newest returns the latest version that any daemon has in force.
func (d *distributor) newest() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	newest := distribution.Newest(d.core.Progress(d.name))
	for _, h := range d.progress {
		if time.Since(h.at) < progressLifetime {
			newest = max(newest, distribution.Newest(h.progress))
		}
	}
	return newest
}

func (r *Replica) tickDistribution(ctx context.Context) error {
	return supervise.Every(ctx, distributionTick, r.publish.tick)
}

// distributionServer serves the daemons.
type distributionServer struct {
	controlpb.UnimplementedDistributionServer
	r *Replica
}

// Watch sends updates until the stream or the replica ends.
func (s *distributionServer) Watch(q *controlpb.WatchRequest, stream grpc.ServerStreamingServer[controlpb.Update]) error {
	if q.GetDaemon() == "" || len(q.GetDaemon()) > maxDaemonName {
		return status.Errorf(codes.InvalidArgument, "daemon name has to have 1 to %d bytes: correct the daemon's settings", maxDaemonName)
	}
	if !s.r.connected() {
		return s.r.unconnected()
	}
	if err := stream.SendHeader(nil); err != nil { // tells the daemon that the watch began
		return err
	}
	check := time.NewTicker(distributionTick)
	defer check.Stop()
	watch, updates := s.r.publish.subscribe(q)
	defer s.r.publish.unsubscribe(q.GetDaemon(), watch)
	for {
		select {
		case <-stream.Context().Done():
			return nil
		case <-s.r.ctx.Done():
			return transport.ErrStopping
		case <-check.C:
			if !s.r.connected() {
				return s.r.unconnected()
			}
		case u := <-updates:
			if err := stream.Send(u); err != nil {
				return err
			}
		}
	}
}

// Report takes the version in force and the counters of a daemon.
func (s *distributionServer) Report(_ context.Context, q *controlpb.ReportRequest) (*controlpb.ReportReply, error) {
	s.r.publish.acknowledge(q.GetDaemon(), q.GetVersionInForce())
	if err := s.r.book.report(q, time.Now()); err != nil {
		return nil, s.r.unreadable(err)
	}
	return &controlpb.ReportReply{Sequence: q.GetSequence()}, nil
}
