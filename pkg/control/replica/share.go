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
	sharePeriod  = 5 * time.Second       // if nothing changed
	shareDelay   = 50 * time.Millisecond // batches the reports of several daemons
	shareTimeout = time.Second
	minShareRate = 128 << 10 // bytes a second; extends the timeout of large calls
	// progressPeriod is how often unchanged progress is sent. It is two sharePeriods shorter than
	// progressLifetime, so that one call may fail.
	progressPeriod = 10 * time.Second
	savePeriod     = time.Minute
)

// runTotalsSaving saves the totals every savePeriod and at the end.
func (r *Replica) runTotalsSaving(ctx context.Context) error {
	defer r.saveTotals()
	return supervise.Every(ctx, savePeriod, r.saveTotals)
}

func (r *Replica) saveTotals() {
	if err := r.ledger.save(time.Now(), r.copyHolders()); err != nil {
		events.TotalsNotSaved.Log(r.log, logrus.Fields{"error": err})
	}
}

// otherMembers returns the other members of the group, or all other known replicas if the membership is
// not known yet.
func (r *Replica) otherMembers() []*controlpb.ReplicaHost {
	members := r.Status().Membership
	var out []*controlpb.ReplicaHost
	for _, h := range r.otherReplicas() {
		if _, member := members.Find(ident.Daemon(h.GetName())); member || len(members) == 0 {
			out = append(out, h)
		}
	}
	return out
}

// copyCandidates returns the replicas that may hold copies: the other members with their data centres.
func (r *Replica) copyCandidates() []totals.Replica {
	var out []totals.Replica
	for _, h := range r.otherMembers() {
		out = append(out, totals.Replica{Name: h.GetName(), DataCentre: r.dataCentre(h.GetName())})
	}
	return out
}

func (r *Replica) dataCentre(name string) string {
	if r.cfg.DataCentreOf != nil {
		if dc := r.cfg.DataCentreOf(name); dc != "" {
			return dc
		}
	}
	return r.ledger.dataCentre(name)
}

func (r *Replica) ownReplica() totals.Replica {
	return totals.Replica{Name: r.cfg.Name, DataCentre: r.cfg.DataCentre}
}

// copyHolders returns the replicas that hold copies of the counters that daemons reported to this one.
func (r *Replica) copyHolders() []string { return totals.Holders(r.ownReplica(), r.copyCandidates()) }

// runSharing sends the progress and the changed totals to the other replicas, shortly after the
// progress changes and every sharePeriod.
func (r *Replica) runSharing(ctx context.Context) error {
	ticker := time.NewTicker(sharePeriod)
	defer ticker.Stop()
	s := &sharer{r: r, progressDueAt: map[string]time.Time{}}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-r.distributor.progressChanged:
			clear(s.progressDueAt)
			time.Sleep(shareDelay)
		}
		s.sendToAll(ctx)
	}
}

// sharer is the state of runSharing.
type sharer struct {
	r             *Replica
	mu            sync.Mutex
	progressDueAt map[string]time.Time // by replica; when its next copy of the progress is due
}

func (s *sharer) sendToAll(ctx context.Context) {
	holders := map[string]bool{}
	for _, name := range s.r.copyHolders() {
		holders[name] = true
	}
	var wg sync.WaitGroup
	for _, h := range s.r.otherReplicas() {
		wg.Go(func() { s.sendTo(ctx, h, holders[h.GetName()]) })
	}
	wg.Wait()
}

// sendTo sends a replica the progress if it is due, and the totals that it should hold and does not
// have yet.
func (s *sharer) sendTo(ctx context.Context, h *controlpb.ReplicaHost, isHolder bool) {
	req := &controlpb.ShareRequest{Replica: s.r.cfg.Name}
	var change uint64
	if isHolder {
		req.Totals, change = s.r.ledger.undelivered(h.GetName())
	}
	if s.isProgressDue(h.GetName()) {
		req.Progress = s.r.distributor.ownProgress()
	}
	if req.GetProgress() == nil && len(req.GetTotals().GetDays()) == 0 {
		return
	}
	timeout := shareTimeout + time.Duration(proto.Size(req))*time.Second/minShareRate
	err := s.r.callReplica(ctx, h, timeout, func(ctx context.Context, c controlpb.ReplicationClient) error {
		_, err := c.Share(ctx, req)
		return err
	})
	if err == nil && isHolder {
		s.r.ledger.setDelivered(h.GetName(), change)
	}
	if status.Code(err) == codes.Unavailable {
		s.r.distributor.dropProgress(h.GetName()) // no process listens; one that does not respond causes DeadlineExceeded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		delete(s.progressDueAt, h.GetName())
	} else if req.GetProgress() != nil {
		s.progressDueAt[h.GetName()] = time.Now().Add(progressPeriod - sharePeriod/2)
	}
}

func (s *sharer) isProgressDue(replica string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().After(s.progressDueAt[replica])
}

// callReplica calls another replica. It drops the connection after a call that timed out or that f
// cancelled.
func (r *Replica) callReplica(ctx context.Context, h *controlpb.ReplicaHost, timeout time.Duration, f func(context.Context, controlpb.ReplicationClient) error) error {
	conn, err := r.transport.Conn(h.GetAddress())
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err = f(callCtx, controlpb.NewReplicationClient(conn))
	if code := status.Code(err); ctx.Err() == nil && (code == codes.Canceled || code == codes.DeadlineExceeded) {
		r.transport.CloseConn(h.GetAddress())
	}
	return err
}

// replicationServer implements the service for the other replicas.
type replicationServer struct {
	controlpb.UnimplementedReplicationServer
	r *Replica
}

// Identify returns the incarnation, the group and the members of this replica.
func (s *replicationServer) Identify(context.Context, *controlpb.IdentifyRequest) (*controlpb.IdentifyReply, error) {
	reply := s.r.identity.Load()
	if reply.GetId() == 0 {
		return nil, transport.ErrStopping
	}
	return reply, nil
}

// Share records the progress of another replica and merges its totals.
func (s *replicationServer) Share(_ context.Context, req *controlpb.ShareRequest) (*controlpb.ShareReply, error) {
	s.r.distributor.receiveProgress(req.GetProgress())
	if err := s.r.ledger.mergeExchange(req.GetTotals(), time.Now()); err != nil {
		return nil, s.r.logUnreadable(err)
	}
	return &controlpb.ShareReply{}, nil
}

// Collect sends the counters that this replica holds and that match the query, day by day.
func (s *replicationServer) Collect(req *controlpb.CollectRequest, stream grpc.ServerStreamingServer[controlpb.DayTotals]) error {
	query := totals.Query{
		From: totals.Day(req.GetFromDay()), To: totals.Day(req.GetToDay()),
		User: req.GetUser(), RestoringReplica: req.GetOwedTo(), IncludeCopies: req.GetCopies(),
	}
	var sendErr error
	err := s.r.ledger.collect(query, func(t *controlpb.DayTotals) error {
		sendErr = stream.Send(t)
		return sendErr
	})
	if err == nil || sendErr != nil {
		return err
	}
	return s.r.logUnreadable(err)
}

// logUnreadable logs that a file of totals cannot be read, and returns the error for the caller.
func (r *Replica) logUnreadable(err error) error {
	events.TotalsUnreadable.Log(r.log, logrus.Fields{"error": err})
	return status.Error(codes.DataLoss, err.Error())
}
