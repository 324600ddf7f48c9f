package replica

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/control/totals"
	"rosemarygate/pkg/control/transport"
	"rosemarygate/pkg/events"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/supervise"
)

const (
	sharePeriod  = 5 * time.Second       // when nothing changed
	shareDelay   = 50 * time.Millisecond // joins the reports of several daemons
	shareTimeout = time.Second
	minShareRate = 128 << 10 // bytes a second, for calls with many totals
	// progressPeriod is how often progress is sent that did not change. Less than
	// progressLifetime by two sharePeriods, so that one call may fail.
	progressPeriod = 10 * time.Second
	bookPeriod     = time.Minute
)

// keepBook writes the book every minute and at the end.
func (r *Replica) keepBook(ctx context.Context) error {
	defer r.saveBook()
	return supervise.Every(ctx, bookPeriod, r.saveBook)
}

func (r *Replica) saveBook() {
	if err := r.book.save(time.Now(), r.holders()); err != nil {
		events.TotalsNotSaved.Log(r.log, logrus.Fields{"error": err})
	}
}

// peers returns the other members of the group, or all other known replicas while this one does
// not know the members.
func (r *Replica) peers() []*controlpb.ReplicaHost {
	members := r.Status().Membership
	var out []*controlpb.ReplicaHost
	for _, h := range r.others() {
		if _, member := members.Find(ident.Daemon(h.GetName())); member || len(members) == 0 {
			out = append(out, h)
		}
	}
	return out
}

// places returns the data centres of the other members.
func (r *Replica) places() []totals.Place {
	var out []totals.Place
	for _, h := range r.peers() {
		out = append(out, totals.Place{Name: h.GetName(), DataCentre: r.dataCentre(h.GetName())})
	}
	return out
}

func (r *Replica) dataCentre(name string) string {
	if r.cfg.DataCentreOf != nil {
		if dc := r.cfg.DataCentreOf(name); dc != "" {
			return dc
		}
	}
	return r.book.dataCentre(name)
}

func (r *Replica) self() totals.Place {
	return totals.Place{Name: r.cfg.Name, DataCentre: r.cfg.DataCentre}
}

// holders returns the replicas that hold copies of the counters which this one took.
func (r *Replica) holders() []string { return totals.Holders(r.self(), r.places()) }

// share sends the progress and the changed totals to other replicas, soon after a change and
// every few seconds.
func (r *Replica) share(ctx context.Context) error {
	ticker := time.NewTicker(sharePeriod)
	defer ticker.Stop()
	s := &sharer{r: r, due: map[string]time.Time{}}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-r.publish.changed:
			clear(s.due)
			time.Sleep(shareDelay)
		}
		s.round(ctx)
	}
}

// sharer is the state of the goroutine that shares.
type sharer struct {
	r   *Replica
	mu  sync.Mutex
	due map[string]time.Time // when the progress has to be sent to a replica again
}

func (s *sharer) round(ctx context.Context) {
	holders := map[string]bool{}
	for _, name := range s.r.holders() {
		holders[name] = true
	}
	var all sync.WaitGroup
	for _, h := range s.r.others() {
		all.Go(func() { s.shareWith(ctx, h, holders[h.GetName()]) })
	}
	all.Wait()
}

// shareWith sends what a replica does not have yet, if there is anything.
func (s *sharer) shareWith(ctx context.Context, h *controlpb.ReplicaHost, holder bool) {
	q := &controlpb.ShareRequest{Replica: s.r.cfg.Name}
	var change uint64
	if holder {
		q.Totals, change = s.r.book.changes(h.GetName())
	}
	if s.progressDue(h.GetName()) {
		q.Progress = s.r.publish.own()
	}
	if q.GetProgress() == nil && len(q.GetTotals().GetDays()) == 0 {
		return
	}
	limit := shareTimeout + time.Duration(proto.Size(q))*time.Second/minShareRate
	err := s.r.call(ctx, h, limit, func(ctx context.Context, c controlpb.ReplicationClient) error {
		_, err := c.Share(ctx, q)
		return err
	})
	if err == nil && holder {
		s.r.book.delivered(h.GetName(), change)
	}
	if status.Code(err) == codes.Unavailable {
		s.r.publish.lost(h.GetName()) // a replica that is only silent ends in DeadlineExceeded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		delete(s.due, h.GetName())
	} else if q.GetProgress() != nil {
		s.due[h.GetName()] = time.Now().Add(progressPeriod - sharePeriod/2)
	}
}

func (s *sharer) progressDue(replica string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().After(s.due[replica])
}

// call calls another replica. A connection on which a call timed out, or was given up by f, is
// made anew.
func (r *Replica) call(ctx context.Context, h *controlpb.ReplicaHost, limit time.Duration, f func(context.Context, controlpb.ReplicationClient) error) error {
	conn, err := r.transport.Conn(h.GetAddress())
	if err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err = f(limited, controlpb.NewReplicationClient(conn))
	if code := status.Code(err); ctx.Err() == nil && (code == codes.Canceled || code == codes.DeadlineExceeded) {
		r.transport.Drop(h.GetAddress())
	}
	return err
}

// replicationServer serves the other replicas.
type replicationServer struct {
	controlpb.UnimplementedReplicationServer
	r *Replica
}

// Identify tells which durable copy of the log this replica has.
func (s *replicationServer) Identify(context.Context, *controlpb.IdentifyRequest) (*controlpb.IdentifyReply, error) {
	id := s.r.identity.Load()
	if id.GetId() == 0 {
		return nil, transport.ErrStopping
	}
	return id, nil
}

// Share merges the progress and totals of another replica.
func (s *replicationServer) Share(_ context.Context, q *controlpb.ShareRequest) (*controlpb.ShareReply, error) {
	s.r.publish.heard(q.GetProgress())
	if err := s.r.book.merge(q.GetTotals(), time.Now()); err != nil {
		return nil, s.r.unreadable(err)
	}
	return &controlpb.ShareReply{}, nil
}

// Collect returns the counters that this replica holds.
func (s *replicationServer) Collect(q *controlpb.CollectRequest, stream grpc.ServerStreamingServer[controlpb.DayTotals]) error {
	chosen := totals.Query{
		From: totals.Day(q.GetFromDay()), To: totals.Day(q.GetToDay()),
		User: q.GetUser(), OwedTo: q.GetOwedTo(), Copies: q.GetCopies(),
	}
	var sending error
	err := s.r.book.collect(chosen, func(t *controlpb.DayTotals) error {
		sending = stream.Send(t)
		return sending
	})
	if err == nil || sending != nil {
		return err
	}
	return s.r.unreadable(err)
}

// unreadable logs that a file of totals cannot be read.
func (r *Replica) unreadable(err error) error {
	events.TotalsUnreadable.Log(r.log, logrus.Fields{"error": err})
	return status.Error(codes.DataLoss, err.Error())
}
