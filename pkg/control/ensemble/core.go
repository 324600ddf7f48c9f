package ensemble

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/events"
	"rosemarygate/pkg/storage"
)

// waiter waits for the entry that it proposed.
type waiter struct {
	term uint64
	done chan error
}

type confirmedRead struct {
	index uint64
	done  chan struct{}
}

// core is what the goroutine of a group owns.
type core struct {
	g           *Group
	store       *storage.Store
	node        *agreement.Node
	document    Document
	applied     uint64
	snapshotted uint64
	logged      int // bytes of the entries applied since the snapshot
	waiters     map[uint64]waiter
	reads       map[uint64]chan struct{} // by context, not yet confirmed
	confirmed   []confirmedRead
	role        agreement.Role
	leader      agreement.Replica
	answered    answered
	ledSince    time.Time
	joinDue     time.Time
}

func (g *Group) newCore(store *storage.Store, st agreement.State) (*core, error) {
	cfg := agreement.Config{
		ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, ManualRepair: true, RetainEntries: retainEntries,
		MaxMessageBytes: maxDocument, MaxInflightBytes: 2 * maxDocument, MaxUncommittedBytes: 4 * maxDocument,
	}
	node, err := agreement.New(cfg, st, newRand())
	if err != nil {
		return nil, err
	}
	c := &core{
		g: g, store: store, node: node, applied: st.Snapshot.Index, snapshotted: st.Snapshot.Index,
		waiters: map[uint64]waiter{}, reads: map[uint64]chan struct{}{}, answered: answered{},
	}
	if st.Snapshot.Index > 0 {
		if c.document, err = unmarshal(st.Snapshot.Data); err != nil {
			return nil, err
		}
	}
	events.ReplicaOpened.Log(g.log, logrus.Fields{
		"self": memberName(st.Self), "term": st.HardState.Term, "commit": st.HardState.Commit,
		"entries": len(st.Entries), "snapshot": st.Snapshot.Index,
	})
	return c, nil
}

// memberName returns a member as logs show it.
func memberName(r agreement.Replica) string {
	if r == agreement.None {
		return "none"
	}
	return MemberAddress(r.ID).String()
}

func unmarshal(data []byte) (Document, error) {
	var p entrypb.ProposeRequest
	if err := proto.Unmarshal(data, &p); err != nil {
		return Document{}, errors.Wrap(err, "entry of the log cannot be read: empty the data folder; the host joins again")
	}
	return Document{p.GetVersion(), p.GetContent()}, nil
}

func marshal(d Document) ([]byte, error) {
	return proto.Marshal(&entrypb.ProposeRequest{Version: d.Version, Content: d.Content})
}

func (c *core) loop(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.node.Tick()
			c.repair()
			c.join()
		case m := <-c.g.incoming:
			c.step(m)
		case f := <-c.g.calls:
			f(c)
		}
		c.drain()
		if err := c.process(); err != nil {
			return err
		}
		if err := c.membershipLost(); err != nil {
			return err
		}
	}
}

// drain takes what waits already, so that one sync serves all of it.
func (c *core) drain() {
	for range maxBatch {
		select {
		case m := <-c.g.incoming:
			c.step(m)
		case f := <-c.g.calls:
			f(c)
		default:
			return
		}
	}
}

// step passes a message to the node. Its errors say only why a message was ignored.
func (c *core) step(m agreement.Message) {
	if m.Kind == agreement.MsgJoin {
		c.admit(m)
		return
	}
	err := c.node.Step(m)
	if errors.Is(err, agreement.ErrOtherGroup) || errors.Is(err, agreement.ErrDiverged) {
		events.MessageRefused.Log(c.g.log, logrus.Fields{"from": memberName(m.From), "error": err})
	}
}

// admit takes a newcomer in as a learner, or passes its request to the leader.
func (c *core) admit(m agreement.Message) {
	st := c.node.Status()
	passOn, add := decideJoin(&st, m)
	if passOn != nil {
		c.g.transport.Send(passOn)
	}
	if !add {
		return
	}
	_, err := c.node.ProposeChange(agreement.Change{Kind: agreement.AddLearner, Replica: m.From})
	if errors.Is(err, agreement.ErrStaleReplica) {
		c.g.transport.Send(&agreement.Message{
			Kind: agreement.MsgJoinRefused, From: st.Self, To: m.From, Term: st.Term, Group: c.node.Group(),
		})
	}
	events.ReplicaAdmitted.Log(c.g.log, logrus.Fields{"member": memberName(m.From), "error": err})
}

// join asks for membership while the host is no member.
func (c *core) join() {
	st := c.node.Status()
	now := time.Now()
	if st.Membership.Contains(st.Self) || now.Before(c.joinDue) {
		return
	}
	c.joinDue = now.Add(joinPeriod)
	for _, a := range c.g.Peers() {
		c.g.transport.Send(&agreement.Message{
			Kind: agreement.MsgJoin, From: st.Self, To: agreement.Replica{ID: MemberID(a)},
		})
	}
}

// repair proposes the next membership change if this host leads.
func (c *core) repair() {
	members := c.node.Members()
	if members == nil {
		clear(c.answered)
		return
	}
	change, ok := nextChange(c.answered.views(time.Now(), members), c.g.cfg.ToleratedDisks)
	if !ok {
		return
	}
	if _, err := c.node.ProposeChange(change); err == nil {
		events.MembersChange.Log(c.g.log, logrus.Fields{
			"change": changeNames[change.Kind], "member": memberName(change.Replica), "members": len(members),
		})
	} // a refusal means that another change is in progress; the next tick tries again
}

var changeNames = map[agreement.ChangeKind]string{
	agreement.AddLearner: "add", agreement.Promote: "promote", agreement.Remove: "remove",
}

// membershipLost returns an error if the host has to join again.
func (c *core) membershipLost() error {
	st := c.node.Status()
	switch {
	case st.Superseded:
		return errSuperseded
	case st.Removed:
		return errRemoved
	}
	return nil
}

// process performs what the node asks for, in the order that its durability needs.
func (c *core) process() error {
	for c.node.HasReady() {
		rd := c.node.Ready()
		if rd.Snapshot != nil {
			if err := c.store.SaveSnapshot(*rd.Snapshot, nil); err != nil {
				return err
			}
		}
		if err := c.store.Save(rd.HardState, rd.Entries); err != nil {
			return err
		}
		for i := range rd.Messages {
			c.g.transport.Send(&rd.Messages[i])
		}
		if err := c.apply(&rd); err != nil {
			return err
		}
		c.node.Advance(rd)
	}
	if err := c.compact(); err != nil {
		return err
	}
	c.report()
	return nil
}

func (c *core) apply(rd *agreement.Ready) error {
	if rd.Snapshot != nil {
		d, err := unmarshal(rd.Snapshot.Data)
		if err != nil {
			return err
		}
		c.document, c.applied, c.snapshotted, c.logged = d, rd.Snapshot.Index, rd.Snapshot.Index, 0
	}
	for _, e := range rd.Committed {
		c.logged += len(e.Data)
		c.applied = e.Index
		if e.Kind == agreement.EntryData {
			d, err := unmarshal(e.Data)
			if err != nil {
				return err
			}
			if d.Version > c.document.Version {
				c.document = d
			}
		}
		c.tellWaiter(e)
	}
	for _, read := range rd.Reads {
		if done, ok := c.reads[read.Context]; ok {
			delete(c.reads, read.Context)
			c.confirmed = append(c.confirmed, confirmedRead{read.Index, done})
		}
	}
	return nil
}

func (c *core) tellWaiter(e agreement.Entry) {
	w, ok := c.waiters[e.Index]
	if !ok {
		return
	}
	delete(c.waiters, e.Index)
	if w.term == e.Term {
		w.done <- nil
	} else {
		w.done <- ErrNoMajority
	}
}

// compact takes a snapshot when enough entries were applied since the last one.
func (c *core) compact() error {
	if c.applied < c.snapshotted+snapshotEvery && c.logged < snapshotBytes {
		return nil
	}
	data, err := marshal(c.document)
	if err != nil {
		return errors.WithStack(err)
	}
	snap, err := c.node.Compact(c.applied, data)
	if err != nil {
		return err
	}
	c.snapshotted, c.logged = c.applied, 0
	return c.store.SaveSnapshot(snap, c.node.EntriesAfter(snap.Index))
}

// report publishes what other goroutines need.
func (c *core) report() {
	st := c.node.Status()
	c.g.passed.Store(time.Now().UnixNano())
	old := c.g.Status()
	c.g.status.Store(&Status{Status: st, Version: c.document.Version})
	newDocument := c.g.Document().Version != c.document.Version
	if newDocument {
		d := c.document
		c.g.document.Store(&d)
		events.DocumentInForce.Log(c.g.log, logrus.Fields{"version": d.Version, "index": c.applied, "term": st.Term})
	}
	c.releaseReads() // after the document is published: a released read returns it
	if newDocument || !slices.Equal(old.Membership, st.Membership) || old.Leader != st.Leader {
		c.g.notify()
	}
	c.logLeader(st)
}

func (c *core) releaseReads() {
	rest := c.confirmed[:0]
	for _, read := range c.confirmed {
		if read.index <= c.applied {
			close(read.done)
			continue
		}
		rest = append(rest, read)
	}
	c.confirmed = rest
}

func (c *core) logLeader(st agreement.Status) {
	if st.Leader != c.leader {
		events.GroupLeader.Log(c.g.log, logrus.Fields{
			"leader": memberName(st.Leader), "term": st.Term, "commit": st.Commit, "members": len(st.Membership),
		})
	}
	if st.Role == agreement.Leader && c.role != agreement.Leader {
		c.ledSince = time.Now()
	}
	if st.Role != agreement.Leader && c.role == agreement.Leader {
		c.failWaiters()
	}
	c.leader, c.role = st.Leader, st.Role
}

// failWaiters ends the waiting of proposals whose fate this host cannot tell any more.
func (c *core) failWaiters() {
	for index, w := range c.waiters {
		delete(c.waiters, index)
		w.done <- ErrNoMajority
	}
}

// startRead asks for a confirmation that the document will be current; done is closed then.
func (c *core) startRead(done chan struct{}) (id uint64) {
	id = rand.Uint64()
	c.reads[id] = done
	if c.node.ReadIndex(id) != nil {
		delete(c.reads, id)
	}
	return id
}

// foundingTime is how long a new leader waits for the voters that the tolerated losses need. A
// deployment that has fewer control hosts is served without that tolerance afterwards.
const foundingTime = 4 * time.Second

// propose appends a document to the leader's log.
func (c *core) propose(d Document) (chan error, error) {
	st := c.node.Status()
	if st.Role != agreement.Leader {
		return nil, ErrNotLeader
	}
	if st.Membership.Voters() < votersFor(c.g.cfg.ToleratedDisks) && time.Since(c.ledSince) < foundingTime {
		return nil, ErrTooFewDisks
	}
	data, err := marshal(d)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	index, err := c.node.Propose(data)
	if err != nil {
		return nil, err
	}
	done := make(chan error, 1)
	c.waiters[index] = waiter{st.Term, done}
	return done, nil
}

// transfer asks another voter that has caught up to lead.
func (c *core) transfer() {
	for _, m := range c.node.Members() {
		if m.Voter && m.CaughtUp && c.node.TransferLeadership(m.Replica) == nil {
			return
		}
	}
}
