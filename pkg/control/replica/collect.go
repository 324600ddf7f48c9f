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
	// collectTimeout is how long a replica may take for one day of a query. It is below the time
	// that the operators' commands wait for an answer.
	collectTimeout = 2 * time.Second
	restoreTimeout = 10 * time.Minute // for all days of one replica
)

// source is the answer of one replica to a query, which arrives day by day.
type source struct {
	name string
	days chan *controlpb.DayTotals
	err  error                // set before days is closed
	next *controlpb.DayTotals // not used yet
}

// collect returns the totals of all replicas, and the replicas that did not answer. It holds one
// day of each in memory.
func (r *Replica) collect(ctx context.Context, q totals.Query) ([]*controlpb.DayCounters, []string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sources := []*source{r.source(ctx, r.cfg.Name, func(send func(*controlpb.DayTotals) error) error { return r.book.collect(q, send) })}
	for _, h := range r.peers() {
		sources = append(sources, r.source(ctx, h.GetName(), func(send func(*controlpb.DayTotals) error) error {
			return r.collectFrom(ctx, h, q, send)
		}))
	}
	var out []*controlpb.DayCounters
	for {
		day, answers := nextDay(sources)
		if len(answers) == 0 {
			break
		}
		if counters := totals.Combine(day, answers); len(counters.GetServices()) > 0 {
			out = append(out, counters)
		}
	}
	var missing []string
	for _, s := range sources {
		if s.err != nil {
			missing = append(missing, s.name)
		}
	}
	slices.Sort(missing)
	return out, missing
}

// source starts to collect from a replica.
func (r *Replica) source(ctx context.Context, name string, collect func(func(*controlpb.DayTotals) error) error) *source {
	s := &source{name: name, days: make(chan *controlpb.DayTotals)}
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

// nextDay returns the earliest day that was not used yet and what each replica holds of it.
func nextDay(sources []*source) (totals.Day, []*controlpb.DayTotals) {
	earliest := totals.Day(math.MaxInt32)
	for _, s := range sources {
		if s.next == nil {
			s.next = <-s.days // nil at the end
		}
		if s.next != nil {
			earliest = min(earliest, totals.Day(s.next.GetDay()))
		}
	}
	var answers []*controlpb.DayTotals
	for _, s := range sources {
		if s.next != nil && totals.Day(s.next.GetDay()) == earliest {
			answers = append(answers, s.next)
			s.next = nil
		}
	}
	return earliest, answers
}

// collectFrom calls send with the days of another replica. The replica has to send each in time,
// except while send waits.
func (r *Replica) collectFrom(ctx context.Context, h *controlpb.ReplicaHost, q totals.Query, send func(*controlpb.DayTotals) error) error {
	return r.call(ctx, h, restoreTimeout, func(ctx context.Context, c controlpb.ReplicationClient) error {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		limit := time.AfterFunc(collectTimeout, cancel)
		stream, err := c.Collect(ctx, &controlpb.CollectRequest{
			FromDay: int32(q.From), ToDay: int32(q.To), User: q.User, OwedTo: q.OwedTo, Copies: q.Copies,
		})
		for err == nil {
			var t *controlpb.DayTotals
			if t, err = stream.Recv(); err != nil {
				break
			}
			limit.Stop()
			if err := send(t); err != nil {
				return err
			}
			limit.Reset(collectTimeout)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		return err
	})
}

// keepRestored restores after the start, and when a replica that owes totals is back.
func (r *Replica) keepRestored(ctx context.Context) error {
	r.restore(ctx)
	return supervise.Every(ctx, sharePeriod, func() { r.restore(ctx) })
}

// restore asks the other replicas for totals that this one has to hold and may lack.
func (r *Replica) restore(ctx context.Context) {
	lines, copies := map[string]string{}, map[string]bool{}
	places := r.places()
	for _, p := range places {
		others := append(slices.DeleteFunc(slices.Clone(places), func(o totals.Place) bool { return o == p }), r.self())
		copies[p.Name] = slices.Contains(totals.Holders(p, others), r.cfg.Name)
		lines[p.Name] = restoreLine(p, copies[p.Name])
	}
	for _, h := range r.peers() {
		from, owed := r.book.owed(h.GetName(), lines)
		if !owed || lines[h.GetName()] == "" {
			continue
		}
		q := totals.Query{From: from, To: math.MaxInt32, OwedTo: r.cfg.Name, Copies: copies[h.GetName()]}
		if r.collectFrom(ctx, h, q, r.takeBack) != nil {
			continue // asked again in the next round
		}
		if err := r.book.returned(h.GetName(), from, lines, time.Now(), r.holders()); err != nil {
			events.TotalsNotSaved.Log(r.log, logrus.Fields{"error": err})
		}
	}
}

// takeBack merges a day that another replica returned.
func (r *Replica) takeBack(t *controlpb.DayTotals) error {
	if r.book.crowded() {
		r.saveBook()
	}
	return r.book.merge(&controlpb.TotalsExchange{Days: []*controlpb.DayTotals{t}}, time.Now())
}
