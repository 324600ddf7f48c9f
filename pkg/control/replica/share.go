package replica

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/google/renameio/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/control/totals"
	"rosemarygate/pkg/events"
)

const (
	sharePeriod    = 5 * time.Second       // when nothing changed
	shareDelay     = 50 * time.Millisecond // joins the reports of several daemons
	shareTimeout   = time.Second
	bookPeriod     = time.Minute
	filePermission = 0o600
)

// ledger is the book of totals with its file.
type ledger struct {
	path string

	mu   sync.Mutex
	book *totals.Book
	sent map[string]uint64    // change number that each replica has
	at   map[string]time.Time // last answer of each replica
}

func newLedger(path string, book *totals.Book) (*ledger, error) {
	l := &ledger{path: path, book: book, sent: map[string]uint64{}, at: map[string]time.Time{}}
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return l, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "totals cannot be read: check the data folder")
	}
	x := new(controlpb.TotalsExchange)
	if err := proto.Unmarshal(data, x); err != nil {
		return nil, errors.Wrapf(err, "totals %s are damaged: delete the file, the other replicas send them again", path)
	}
	book.Merge(time.Now(), x)
	return l, nil
}

func (l *ledger) report(q *controlpb.ReportRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book.Report(time.Now(), q)
}

func (l *ledger) merge(x *controlpb.TotalsExchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book.Merge(time.Now(), x)
}

// changes returns what a replica does not have yet.
func (l *ledger) changes(replica string) (*controlpb.TotalsExchange, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.ChangesSince(l.sent[replica])
}

func (l *ledger) delivered(replica string, change uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[replica] = change
	l.at[replica] = time.Now()
}

func (l *ledger) failed(replica string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[replica] = 0 // it may come back with an empty book
}

// silent reports whether a replica has not answered lately.
func (l *ledger) silent(replica string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.at[replica]) > progressLifetime
}

func (l *ledger) totals(from, to totals.Day, user string) []*controlpb.DayCounters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.Totals(from, to, user)
}

// save compacts the book and writes it to the disk.
func (l *ledger) save() error {
	l.mu.Lock()
	l.book.Compact(time.Now())
	x, _ := l.book.ChangesSince(0)
	l.mu.Unlock()
	data, err := proto.Marshal(x)
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(renameio.WriteFile(l.path, data, filePermission))
}

// keepBook writes the book every minute and at the end.
func (r *Replica) keepBook(ctx context.Context) error {
	ticker := time.NewTicker(bookPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			r.saveBook()
			return nil
		case <-ticker.C:
			r.saveBook()
		}
	}
}

func (r *Replica) saveBook() {
	if err := r.book.save(); err != nil {
		events.TotalsNotSaved.Log(r.log, logrus.Fields{"error": err})
	}
}

// share sends the progress and the changed totals to the other replicas, soon after a change and
// every few seconds.
func (r *Replica) share(ctx context.Context) error {
	ticker := time.NewTicker(sharePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-r.publish.changed:
			time.Sleep(shareDelay)
		}
		var all sync.WaitGroup
		for _, h := range r.others() {
			all.Go(func() { r.shareWith(ctx, h) })
		}
		all.Wait()
	}
}

func (r *Replica) shareWith(ctx context.Context, h *controlpb.ReplicaHost) {
	conn, err := r.transport.conn(h.GetAddress())
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	x, change := r.book.changes(h.GetName())
	q := &controlpb.ShareRequest{Replica: r.cfg.Name, Progress: r.publish.own(), Totals: x}
	if _, err := controlpb.NewReplicationClient(conn).Share(ctx, q); err != nil {
		r.book.failed(h.GetName())
		if ctx.Err() != nil {
			r.transport.drop(h.GetAddress())
		}
		return
	}
	r.book.delivered(h.GetName(), change)
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
		return nil, errStopping
	}
	return id, nil
}

// Share merges the progress and totals of another replica.
func (s *replicationServer) Share(_ context.Context, q *controlpb.ShareRequest) (*controlpb.ShareReply, error) {
	s.r.publish.heard(q.GetProgress())
	s.r.book.merge(q.GetTotals())
	return &controlpb.ShareReply{}, nil
}
