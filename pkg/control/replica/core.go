package replica

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/control/state"
	"rosemarygate/pkg/events"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/storage"
)

// A snapshot is taken after so many entries, or after entries of so many bytes. The first bounds what
// a restart applies: it takes about 0.1 ms an entry with 24,000 files. The second bounds the log on
// the disk and in memory when pushes are large.
const (
	snapshotEvery = 5000
	snapshotBytes = 4 << 20
)

// maxBatch bounds the messages and calls that one sync serves.
const maxBatch = 64

// maxEntryBytes holds the largest push (state.MaxPushBytes) with its envelope.
const maxEntryBytes = 4 << 20

// result is the outcome of a proposal.
type result struct {
	reply *controlpb.Reply
	err   error
}

// waiter waits for the entry that it proposed.
type waiter struct {
	term uint64
	done chan result
}

// core is what one goroutine owns.
type core struct {
	r           *Replica
	store       *storage.Store
	node        *agreement.Node
	machine     *state.Machine
	snapshotted uint64
	logged      int    // bytes of the entries applied since the snapshot
	group       uint64 // identifies the group of the replica, 0 before it joined
	waiters     map[uint64]waiter
	reads       map[uint64]chan struct{} // by context, not yet confirmed
	confirmed   []confirmedRead
	role        agreement.Role
	superseded  bool
	removed     bool
	refused     logLimiter
}

type confirmedRead struct {
	index uint64
	done  chan struct{}
}

// runOnce opens the data folder and runs until ctx ends or the folder cannot be used.
func (r *Replica) runOnce(ctx context.Context) error {
	dir := filepath.Join(r.cfg.Dir, walFolder)
	self := agreement.Replica{ID: r.id, Incarnation: ident.Incarnation(time.Now().UnixNano())}
	store, st, err := storage.Open(r.cfg.FS, dir, storage.Options{Self: self})
	if err != nil {
		return err
	}
	defer store.Close()
	if st, err = r.found(ctx, store, st); err != nil {
		return err
	}
	c, err := r.newCore(store, st)
	if err != nil {
		return err
	}
	defer c.failWaiters()
	if err := c.process(); err != nil {
		return err
	}
	return c.loop(ctx)
}

func (r *Replica) newCore(store *storage.Store, st agreement.State) (*core, error) {
	cfg := agreement.Config{
		ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Peers: idsOf(r.cfg.Replicas),
		MaxMessageBytes: maxEntryBytes, MaxInflightBytes: 2 * maxEntryBytes, MaxUncommittedBytes: 4 * maxEntryBytes,
	}
	node, err := agreement.New(cfg, st, newRand())
	if err != nil {
		return nil, err
	}
	c := &core{
		r: r, store: store, node: node, machine: state.New(r.validator.rules()), group: st.HardState.Group,
		waiters: map[uint64]waiter{}, reads: map[uint64]chan struct{}{},
	}
	if st.Snapshot.Index > 0 {
		if c.machine, err = state.Restore(r.validator.rules(), st.Snapshot.Data); err != nil {
			return nil, err
		}
		c.snapshotted = st.Snapshot.Index
		r.validator.preload(c.machine.View().Folder.Files())
	}
	r.led.Store(time.Now().UnixNano()) // daemons get what the disk holds before an election ends
	r.identity.Store(&controlpb.IdentifyReply{
		Id: uint64(st.Self.ID), Incarnation: uint64(st.Self.Incarnation), Group: st.HardState.Group, Replicas: r.cfg.Replicas,
	})
	return c, nil
}

func idsOf(hosts []*controlpb.ReplicaHost) []ident.DaemonID {
	ids := make([]ident.DaemonID, len(hosts))
	for i, h := range hosts {
		ids[i] = ident.Daemon(h.GetName())
	}
	return ids
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
			c.lead()
		case m := <-c.r.incoming:
			c.step(m)
		case f := <-c.r.calls:
			f(c)
		}
		c.drain()
		if err := c.process(); err != nil {
			return err
		}
	}
}

// drain takes what waits already, so that one sync serves all of it.
func (c *core) drain() {
	for range maxBatch {
		select {
		case m := <-c.r.incoming:
			c.step(m)
		case f := <-c.r.calls:
			f(c)
		default:
			return
		}
	}
}

// step passes a message to the node. Other errors say only why a message was ignored.
func (c *core) step(m agreement.Message) {
	err := c.node.Step(m)
	if (errors.Is(err, agreement.ErrOtherGroup) || errors.Is(err, agreement.ErrDiverged)) && c.refused.due() {
		events.MessageRefused.Log(c.r.log, logrus.Fields{"from": m.From, "error": err})
	}
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
		c.r.validator.prepareEntries(rd.Entries)
		if err := c.store.Save(rd.HardState, rd.Entries); err != nil {
			return err
		}
		if rd.HardState != nil {
			c.group = rd.HardState.Group
		}
		for i := range rd.Messages {
			c.r.transport.Send(&rd.Messages[i])
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
		m, err := state.Restore(c.r.validator.rules(), rd.Snapshot.Data)
		if err != nil {
			return err
		}
		c.machine, c.snapshotted, c.logged = m, rd.Snapshot.Index, 0
		c.r.validator.preload(m.View().Folder.Files())
	}
	for _, e := range rd.Committed {
		c.logged += len(e.Data)
		reply, err := c.machine.Apply(e.Index, e.Data)
		if err != nil {
			return err
		}
		if w, ok := c.waiters[e.Index]; ok {
			delete(c.waiters, e.Index)
			if w.term == e.Term {
				w.done <- result{reply: reply}
			} else {
				w.done <- result{err: errOutcomeUnknown}
			}
		}
	}
	for _, read := range rd.Reads {
		if done, ok := c.reads[read.Context]; ok {
			delete(c.reads, read.Context)
			c.confirmed = append(c.confirmed, confirmedRead{read.Index, done})
		}
	}
	c.releaseReads()
	return nil
}

func (c *core) releaseReads() {
	rest := c.confirmed[:0]
	for _, read := range c.confirmed {
		if read.index <= c.machine.Applied() {
			close(read.done)
			continue
		}
		rest = append(rest, read)
	}
	c.confirmed = rest
}

// compact takes a snapshot when enough entries were applied since the last one.
func (c *core) compact() error {
	applied := c.machine.Applied()
	if applied < c.snapshotted+snapshotEvery && c.logged < snapshotBytes {
		return nil
	}
	data, err := c.machine.Snapshot()
	if err != nil {
		return err
	}
	snap, err := c.node.Compact(applied, data)
	if err != nil {
		return err
	}
	c.snapshotted, c.logged = applied, 0
	return c.store.SaveSnapshot(snap, c.node.EntriesAfter(snap.Index))
}

// report publishes what other goroutines need.
func (c *core) report() {
	st := c.node.Status()
	c.r.passed.Store(time.Now().UnixNano())
	if st.Leader != agreement.None {
		c.r.led.Store(time.Now().UnixNano())
	}
	c.r.status.Store(&Status{Status: st, Version: c.machine.View().Version, Loaded: true})
	if st.Role != c.role && (st.Role == agreement.Leader || c.role == agreement.Leader) {
		events.LeaderChanged.Log(c.r.log, logrus.Fields{"leader": st.Role == agreement.Leader, "term": st.Term})
	}
	if st.Role != agreement.Leader && c.role == agreement.Leader {
		c.failWaiters()
	}
	c.role = st.Role
	if st.Superseded && !c.superseded {
		events.ReplicaSuperseded.Log(c.r.log, nil)
	}
	c.superseded = st.Superseded
	if st.Removed && !c.removed {
		events.ReplicaRemoved.Log(c.r.log, nil)
	}
	c.removed = st.Removed
	if len(st.Membership) > 0 {
		c.reportMembers(st)
	}
	c.r.know(c.machine.Replicas())
	if hosts := c.machine.Replicas(); len(hosts) > 0 {
		c.node.SetJoinable(idsOf(hosts))
	}
	if x := c.machine.Replacement(); x != nil {
		c.r.know([]*controlpb.ReplicaHost{x.GetJoining()})
	}
	c.r.publish.setView(c.machine.View())
}

func (c *core) reportMembers(st agreement.Status) {
	old := c.r.identity.Load()
	next := &controlpb.IdentifyReply{
		Id: old.GetId(), Incarnation: old.GetIncarnation(), Group: c.group,
		Replicas: c.r.cfg.Replicas, Members: agreement.MembershipProto(st.Membership),
	}
	if !proto.Equal(old, next) {
		c.r.identity.Store(next)
	}
}

// failWaiters ends the waiting of proposals whose fate this replica cannot tell any more.
func (c *core) failWaiters() {
	for index, w := range c.waiters {
		delete(c.waiters, index)
		w.done <- result{err: errOutcomeUnknown}
	}
}

// startRead asks for a confirmation that the applied state will be current; done is closed then.
func (c *core) startRead(done chan struct{}) (id uint64) {
	id = rand.Uint64()
	c.reads[id] = done
	if c.node.ReadIndex(id) != nil {
		delete(c.reads, id)
	}
	return id
}

// propose checks an entry and proposes it. A reply is final; otherwise the channel tells.
func (c *core) propose(e *controlpb.Entry) (*controlpb.Reply, chan result, error) {
	if reply := c.machine.Check(e); reply != nil {
		return reply, nil, nil
	}
	data, err := proto.Marshal(e)
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	index, err := c.node.Propose(data)
	if err != nil {
		return nil, nil, err
	}
	done := make(chan result, 1)
	c.waiters[index] = waiter{term: c.node.Status().Term, done: done}
	return nil, done, nil
}

// transfer asks the first other voter that is reachable to lead. The node gives a target up after
// an election timeout, so the choice is random.
func (c *core) transfer() {
	members := c.node.Status().Membership
	for _, i := range rand.Perm(len(members)) {
		if c.node.TransferLeadership(members[i].Replica) == nil {
			return
		}
	}
}
