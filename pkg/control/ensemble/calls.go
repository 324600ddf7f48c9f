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
	// repeatRead is how long a read waits before it is asked again: its messages may be lost.
	repeatRead = 250 * time.Millisecond
	// retryPause is the wait before a document is submitted again, for instance during an election.
	retryPause = 50 * time.Millisecond
)

// do runs a function in the goroutine that owns the core and waits for it.
func (g *Group) do(ctx context.Context, f func(*core)) error {
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

// Submit stores a document and returns when a majority has synced it, or when a version that is not
// lower is in force. The error is ErrNoMajority if ctx ends first; the document may then be stored
// nevertheless.
func (g *Group) Submit(ctx context.Context, d Document) error {
	for {
		if g.Document().Version >= d.Version {
			return nil
		}
		err := g.submitOnce(ctx, d)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ErrNoMajority, err.Error())
		case <-time.After(retryPause):
		}
	}
}

func (g *Group) submitOnce(ctx context.Context, d Document) error {
	leader := g.Status().Leader
	switch leader.ID {
	case 0:
		return agreement.ErrNoLeader
	case g.self:
		return g.submitHere(ctx, d)
	}
	return g.forward(ctx, leader, d)
}

// submitHere stores a document if this host leads.
func (g *Group) submitHere(ctx context.Context, d Document) error {
	var done chan error
	var refused error
	if err := g.do(ctx, func(c *core) { done, refused = c.propose(d) }); err != nil {
		return err
	}
	if refused != nil {
		return refused
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// forward passes a document to the leader. A connection on which nothing was answered is made anew,
// since TCP may need minutes after a partition.
func (g *Group) forward(ctx context.Context, leader agreement.Replica, d Document) error {
	address := MemberAddress(leader.ID).String()
	conn, err := g.transport.Conn(address)
	if err != nil {
		return err
	}
	_, err = entrypb.NewCooperationClient(conn).Propose(ctx, &entrypb.ProposeRequest{Version: d.Version, Content: d.Content})
	if ctx.Err() != nil {
		g.transport.Drop(address)
	}
	return err
}

// Propose serves another control host that takes this one for the leader.
func (g *Group) Propose(ctx context.Context, q *entrypb.ProposeRequest) (*entrypb.ProposeReply, error) {
	err := g.submitHere(ctx, Document{q.GetVersion(), q.GetContent()})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &entrypb.ProposeReply{Version: g.Document().Version}, nil
}

// Read returns the document in force, confirmed by a majority after the call. The error is
// ErrNoMajority if ctx ends first.
func (g *Group) Read(ctx context.Context) (Document, error) {
	for {
		done := make(chan struct{})
		var id uint64
		if err := g.do(ctx, func(c *core) { id = c.startRead(done) }); err != nil {
			return Document{}, errors.Wrap(ErrNoMajority, err.Error())
		}
		select {
		case <-done:
			return g.Document(), nil
		case <-ctx.Done():
			g.forgetRead(id)
			return Document{}, errors.Wrap(ErrNoMajority, ctx.Err().Error())
		case <-time.After(repeatRead):
			g.forgetRead(id)
		}
	}
}

// forgetRead drops a read that nobody waits for. It does not wait: the core may be syncing.
func (g *Group) forgetRead(id uint64) {
	select {
	case g.calls <- func(c *core) { delete(c.reads, id) }:
	default: // the queue is full; the entry goes with the core
	}
}

// Transfer hands the leadership to another host before a planned stop. It returns when this host
// does not lead any more, or when ctx ends.
func (g *Group) Transfer(ctx context.Context) error {
	for g.Status().Role == agreement.Leader {
		if err := g.do(ctx, (*core).transfer); err != nil {
			return errors.Wrap(err, "leadership was not handed over: another host takes over after an election")
		}
		select {
		case <-ctx.Done():
		case <-time.After(tick):
		}
	}
	return nil
}
