package replica

import (
	"context"
	"io"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/control/totals"
	"rosemarygate/pkg/events"
	"rosemarygate/pkg/supervise"
)

const (
	// collectTimeout is how long a replica may take to send one day of a query. It is shorter than the
	// timeout of the operators' commands.
	collectTimeout = 2 * time.Second
	restoreTimeout = 10 * time.Minute // for all days of one replica
)

// totalsStream is the answer of one replica to a query. The days arrive one at a time, in order.
type totalsStream struct {
	name    string
	days    chan *controlpb.DayTotals
	err     error                // set before days is closed
	pending *controlpb.DayTotals // received, but not returned by nextDay yet
}

// collectTotals returns the totals of all replicas and the names of the replicas that failed to answer.
// It holds only one day of each replica in memory.
func (r *Replica) collectTotals(ctx context.Context, query totals.Query) ([]*controlpb.DayCounters, []string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	streams := []*totalsStream{r.startCollecting(ctx, r.cfg.Name, func(send func(*controlpb.DayTotals) error) error { return r.ledger.collect(query, send) })}
	for _, h := range r.otherMembers() {
		streams = append(streams, r.startCollecting(ctx, h.GetName(), func(send func(*controlpb.DayTotals) error) error {
			return r.collectFrom(ctx, h, query, send)
		}))
	}
	var out []*controlpb.DayCounters
	for {
		day, answers := nextDay(streams)
		if len(answers) == 0 {
			break
		}
		if counters := totals.Combine(day, answers); len(counters.GetServices()) > 0 {
			out = append(out, counters)
		}
	}
	var missing []string
	for _, s := range streams {
		if s.err != nil {
			missing = append(missing, s.name)
		}
	}
	slices.Sort(missing)
	return out, missing
}

// startCollecting runs collect for a replica in a goroutine and returns the stream of its days.
func (r *Replica) startCollecting(ctx context.Context, name string, collect func(func(*controlpb.DayTotals) error) error) *totalsStream {
	s := &totalsStream{name: name, days: make(chan *controlpb.DayTotals)}
	go func() {
		defer close(s.days)
		s.err = collect(func(t *controlpb.DayTotals) error {
			select {
			case s.days <- t:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
	}()
	return s
}

// nextDay returns the earliest pending day and the totals that the replicas hold of it. There are none
// when all streams have ended.
func nextDay(streams []*totalsStream) (totals.Day, []*controlpb.DayTotals) {
	earliest := totals.Day(math.MaxInt32)
	for _, s := range streams {
		if s.pending == nil {
			s.pending = <-s.days // nil after the last day
		}
		if s.pending != nil {
			earliest = min(earliest, totals.Day(s.pending.GetDay()))
		}
	}
	var answers []*controlpb.DayTotals
	for _, s := range streams {
		if s.pending != nil && totals.Day(s.pending.GetDay()) == earliest {
			answers = append(answers, s.pending)
			s.pending = nil
		}
	}
	return earliest, answers
}

// collectFrom calls send with each day from another replica. The replica has to send each day within
// collectTimeout; the time that send takes does not count.
func (r *Replica) collectFrom(ctx context.Context, h *controlpb.ReplicaHost, query totals.Query, send func(*controlpb.DayTotals) error) error {
	return r.callReplica(ctx, h, restoreTimeout, func(ctx context.Context, c controlpb.ReplicationClient) error {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		timeout := time.AfterFunc(collectTimeout, cancel)
		stream, err := c.Collect(ctx, &controlpb.CollectRequest{
			FromDay: int32(query.From), ToDay: int32(query.To), User: query.User, OwedTo: query.RestoringReplica, Copies: query.IncludeCopies,
		})
		for err == nil {
			var t *controlpb.DayTotals
			if t, err = stream.Recv(); err != nil {
				break
			}
			timeout.Stop()
			if err := send(t); err != nil {
				return err
			}
			timeout.Reset(collectTimeout)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		return err
	})
}

// runRestoring restores totals after the start, and when a replica that still has to return totals is
// reachable again.
func (r *Replica) runRestoring(ctx context.Context) error {
	r.restoreTotals(ctx)
	return supervise.Every(ctx, sharePeriod, func() { r.restoreTotals(ctx) })
}

// restoreTotals requests from the other replicas the totals that this one should hold but may lack.
func (r *Replica) restoreTotals(ctx context.Context) {
	expectedLines, holdsCopies := map[string]string{}, map[string]bool{}
	otherReplicas := r.copyCandidates()
	for _, replica := range otherReplicas {
		others := append(slices.DeleteFunc(slices.Clone(otherReplicas), func(o totals.Replica) bool { return o == replica }), r.ownReplica())
		holdsCopies[replica.Name] = slices.Contains(totals.Holders(replica, others), r.cfg.Name)
		expectedLines[replica.Name] = restoreLine(replica, holdsCopies[replica.Name])
	}
	for _, h := range r.otherMembers() {
		from, incomplete := r.ledger.firstDayToReturn(h.GetName(), expectedLines)
		if !incomplete || expectedLines[h.GetName()] == "" {
			continue
		}
		query := totals.Query{From: from, To: math.MaxInt32, RestoringReplica: r.cfg.Name, IncludeCopies: holdsCopies[h.GetName()]}
		if r.collectFrom(ctx, h, query, r.mergeRestoredDay) != nil {
			continue // retried in the next round
		}
		if err := r.ledger.setReturned(h.GetName(), from, expectedLines, time.Now(), r.copyHolders()); err != nil {
			events.TotalsNotSaved.Log(r.log, logrus.Fields{"error": err})
		}
	}
}

// mergeRestoredDay merges a day that another replica returned.
func (r *Replica) mergeRestoredDay(t *controlpb.DayTotals) error {
	if r.ledger.tooManyDaysInMemory() {
		r.saveTotals()
	}
	return r.ledger.mergeExchange(&controlpb.TotalsExchange{Days: []*controlpb.DayTotals{t}}, time.Now())
}
