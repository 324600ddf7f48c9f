package ensemble

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/agreement"
)

const (
	// readRetryInterval is how long a read waits before it is sent again, since its messages may be
	// lost.
	readRetryInterval = 250 * time.Millisecond
	// submitRetryPause is the wait before a document is submitted again, for instance during an
	// election.
	submitRetryPause = 50 * time.Millisecond
	// ownOrderTimeout limits the wait of a host until it has applied the order that it has just stored: its caller
	// waits for the acknowledgement.
	ownOrderTimeout = 100 * time.Millisecond
)

// runOnCore runs a function in the goroutine that owns the core, and waits for it.
func (g *Group) runOnCore(ctx context.Context, f func(*core)) error {
	done := make(chan struct{})
	call := func(c *core) {
		defer close(done)
		f(c)
	}
	select {
	case g.calls <- call:
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

// Submit stores a document. It returns when a majority has synced it, or when the same or a higher
// version is in force. The error is ErrNoMajority if ctx ends first; the document may still be stored
// in that case.
func (g *Group) Submit(ctx context.Context, d Document) error {
	return g.submit(ctx, &entrypb.ProposeRequest{Version: d.Version, Content: d.Content}, func() bool { return g.Document().Version >= d.Version })
}

// SubmitOrder binds an order to the latest one of its data centre and stores it. It returns when a majority
// has synced it and this host has applied it. sentAfter is a time after which the order was certainly sent: it may have
// been under way for long, and must not undo an order that was acknowledged meanwhile. The error is ErrOvertaken if
// another order was applied since then, and ErrNoMajority if ctx ends first; the order may still be stored in that case.
func (g *Group) SubmitOrder(ctx context.Context, o *entrypb.EvacuationOrder, sentAfter time.Time) error {
	if _, err := g.Read(ctx); err != nil {
		return err
	}
	applied := g.evacuations.Load()
	if applied.overtakes(o, sentAfter) {
		return ErrOvertaken
	}
	o.BaseRevision = latestOrder(applied.Evacuations, o.GetDataCentre()).GetRevision()
	// The host may have been frozen since the order arrived, and its caller gone. The timer of ctx may not have
	// run since.
	if deadline, ok := ctx.Deadline(); ctx.Err() != nil || ok && !time.Now().Before(deadline) {
		return errors.Wrap(ErrNoMajority, "the caller of the order has gone")
	}
	if err := g.submit(ctx, &entrypb.ProposeRequest{EvacuationOrder: o}, func() bool { return false }); err != nil {
		return err
	}
	// The leader may have applied the order before this host. Without it the caller's next order on the same connection
	// would be overtaken by this one. The order itself is stored, so a failed read is no failure of the order.
	readCtx, cancel := context.WithTimeout(ctx, ownOrderTimeout)
	defer cancel()
	_, _ = g.Read(readCtx)
	return nil
}

// submit proposes an entry until it is applied or obsolete.
func (g *Group) submit(ctx context.Context, p *entrypb.ProposeRequest, obsolete func() bool) error {
	for {
		if obsolete() {
			return nil
		}
		err := g.submitOnce(ctx, p)
		if err == nil || errors.Is(err, ErrOvertaken) || errors.Is(err, ErrOldRelease) {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ErrNoMajority, err.Error())
		case <-time.After(submitRetryPause):
		}
	}
}

func (g *Group) submitOnce(ctx context.Context, p *entrypb.ProposeRequest) error {
	leader := g.Status().Leader
	switch leader.ID {
	case 0:
		return agreement.ErrNoLeader
	case g.selfID:
		return g.submitAsLeader(ctx, p)
	}
	return g.forwardToLeader(ctx, leader, p)
}

// submitAsLeader stores an entry if this host is the leader.
func (g *Group) submitAsLeader(ctx context.Context, p *entrypb.ProposeRequest) error {
	var done chan error
	var proposeErr error
	if err := g.runOnCore(ctx, func(c *core) { done, proposeErr = c.propose(p) }); err != nil {
		return err
	}
	if proposeErr != nil {
		return proposeErr
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// forwardToLeader passes an entry to the leader. A connection on which a call timed out is
// replaced, since TCP may need minutes to recover after a partition.
func (g *Group) forwardToLeader(ctx context.Context, leader agreement.Replica, p *entrypb.ProposeRequest) error {
	address := MemberAddress(leader.ID).String()
	conn, err := g.transport.Conn(address)
	if err != nil {
		return err
	}
	reply, err := entrypb.NewCooperationClient(conn).Propose(ctx, p)
	if ctx.Err() != nil {
		g.transport.CloseConn(address)
	}
	switch {
	case status.Code(err) == codes.Aborted:
		return ErrOvertaken
	case err == nil && p.GetEvacuationOrder() != nil && reply.GetEvacuationRevision() == 0:
		return ErrOldRelease // it has stored an empty document
	}
	return err
}

// Propose handles an entry from another control host that takes this one for the leader.
func (g *Group) Propose(ctx context.Context, request *entrypb.ProposeRequest) (*entrypb.ProposeReply, error) {
	p := &entrypb.ProposeRequest{Version: request.GetVersion(), Content: request.GetContent(), EvacuationOrder: request.GetEvacuationOrder()}
	err := g.submitAsLeader(ctx, p)
	switch {
	case errors.Is(err, ErrOvertaken):
		return nil, status.Error(codes.Aborted, err.Error())
	case err != nil:
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	reply := &entrypb.ProposeReply{Version: g.Document().Version}
	if o := p.GetEvacuationOrder(); o != nil {
		reply.EvacuationRevision = max(latestOrder(g.Evacuations(), o.GetDataCentre()).GetRevision(), 1)
	}
	return reply, nil
}

// Read returns the document in force, as confirmed by a majority after the call began. The error is
// ErrNoMajority if ctx ends first.
func (g *Group) Read(ctx context.Context) (Document, error) {
	for {
		done := make(chan struct{})
		var id uint64
		if err := g.runOnCore(ctx, func(c *core) { id = c.startRead(done) }); err != nil {
			return Document{}, errors.Wrap(ErrNoMajority, err.Error())
		}
		select {
		case <-done:
			return g.Document(), nil
		case <-ctx.Done():
			g.cancelRead(id)
			return Document{}, errors.Wrap(ErrNoMajority, ctx.Err().Error())
		case <-time.After(readRetryInterval):
			g.cancelRead(id)
		}
	}
}

// cancelRead discards a read whose caller has stopped waiting. It does not block: the core may be
// syncing.
func (g *Group) cancelRead(id uint64) {
	select {
	case g.calls <- func(c *core) { delete(c.unconfirmedReads, id) }:
	default: // the queue is full; the entry stays until the core is discarded
	}
}

// Leave makes another host a voter in place of this one before a planned stop, or only removes this one
// if enough voters remain. Afterwards the host no longer takes part in the group. The error is
// ErrTooFewMembers, returned at once, if the group has too few other members, and ErrNotReplaced if ctx
// ends first; the host then stays a voter.
func (g *Group) Leave(ctx context.Context) error {
	g.leaving.Store(true)
	for {
		select {
		case <-g.left:
			return nil
		default:
		}
		if st := g.Status(); !canLeave(st.Membership, st.Self, g.cfg.ToleratedDisks) {
			return ErrTooFewMembers
		}
		select {
		case g.calls <- func(c *core) { _ = c.node.RequestLeave() }: // repeated if there is no leader yet
		default: // the core is busy
		}
		select {
		case <-g.left:
			return nil
		case <-ctx.Done():
			return errors.Wrap(ErrNotReplaced, ctx.Err().Error())
		case <-time.After(tickInterval):
		}
	}
}

// TransferLeadership transfers the leadership to another host before a planned stop. It returns when
// this host is no longer the leader, or when ctx ends.
func (g *Group) TransferLeadership(ctx context.Context) error {
	for g.Status().Role == agreement.Leader {
		if err := g.runOnCore(ctx, (*core).transferLeadership); err != nil {
			return errors.Wrap(err, "leadership was not transferred: another host takes over after an election")
		}
		select {
		case <-ctx.Done():
		case <-time.After(tickInterval):
		}
	}
	return nil
}
