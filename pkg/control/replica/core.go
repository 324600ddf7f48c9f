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

// A snapshot is taken after snapshotEntries entries or after entries of snapshotBytes bytes. The first
// limits the replay at a restart, which takes about 0.1 ms an entry with 24,000 files. The second
// limits the size of the log on disk and in memory when pushes are large.
const (
	snapshotEntries = 5000
	snapshotBytes   = 4 << 20
)

// maxBatch is the largest number of queued messages and calls that are handled before one sync.
const maxBatch = 64

// maxEntryBytes is the size of the largest push (state.MaxPushBytes) with its envelope, rounded up.
const maxEntryBytes = 4 << 20

// proposalResult is the outcome of a proposal.
type proposalResult struct {
	reply *controlpb.Reply
	err   error
}

// pendingProposal is a proposed entry whose caller waits for the result.
type pendingProposal struct {
	term uint64 // in which the entry was proposed
	done chan proposalResult
}

// core is the state that only the goroutine of Replica.runCore uses.
type core struct {
	r                  *Replica
	store              *storage.Store
	node               *agreement.Node
	machine            *state.Machine
	snapshotIndex      uint64                     // of the last snapshot
	bytesSinceSnapshot int                        // size of the entries applied since then
	group              uint64                     // identifier of the replica's group, 0 before it joined one
	pendingProposals   map[uint64]pendingProposal // by log index
	unconfirmedReads   map[uint64]chan struct{}   // by read context
	confirmedReads     []confirmedRead            // waiting for their index to be applied
	lastRole           agreement.Role             // as last published, like the next two
	wasSuperseded      bool
	wasRemoved         bool
	refusedLimiter     logLimiter
}

// confirmedRead is a read that may be answered once the entry at index is applied.
type confirmedRead struct {
	index uint64
	done  chan struct{}
}

// runOnce opens the data folder and runs until ctx ends or the folder cannot be used.
func (r *Replica) runOnce(ctx context.Context) error {
	dir := filepath.Join(r.cfg.DataDir, walFolder)
	self := agreement.Replica{ID: r.id, Incarnation: ident.Incarnation(time.Now().UnixNano())}
	store, st, err := storage.Open(r.cfg.FS, dir, storage.Options{Self: self})
	if err != nil {
		return err
	}
	defer store.Close()
	if st, err = r.foundOrJoin(ctx, store, st); err != nil {
		return err
	}
	c, err := r.newCore(store, st)
	if err != nil {
		return err
	}
	defer c.failPendingProposals()
	if err := c.processReady(); err != nil {
		return err
	}
	return c.loop(ctx)
}

func (r *Replica) newCore(store *storage.Store, st agreement.State) (*core, error) {
	cfg := agreement.Config{
		ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Peers: replicaIDs(r.cfg.Replicas),
		MaxMessageBytes: maxEntryBytes, MaxInflightBytes: 2 * maxEntryBytes, MaxUncommittedBytes: 4 * maxEntryBytes,
	}
	node, err := agreement.New(cfg, st, newRand())
	if err != nil {
		return nil, err
	}
	c := &core{
		r: r, store: store, node: node, machine: state.New(r.validator.rules()), group: st.HardState.Group,
		pendingProposals: map[uint64]pendingProposal{}, unconfirmedReads: map[uint64]chan struct{}{},
	}
	if st.Snapshot.Index > 0 {
		if c.machine, err = state.Restore(r.validator.rules(), st.Snapshot.Data); err != nil {
			return nil, err
		}
		c.snapshotIndex = st.Snapshot.Index
		r.validator.preload(c.machine.View().Folder.Files())
	}
	r.lastLeaderAt.Store(time.Now().UnixNano()) // daemons are served from the state on disk during the first election
	r.identity.Store(&controlpb.IdentifyReply{
		Id: uint64(st.Self.ID), Incarnation: uint64(st.Self.Incarnation), Group: st.HardState.Group, Replicas: r.cfg.Replicas,
	})
	return c, nil
}

func replicaIDs(hosts []*controlpb.ReplicaHost) []ident.DaemonID {
	ids := make([]ident.DaemonID, len(hosts))
	for i, h := range hosts {
		ids[i] = ident.Daemon(h.GetName())
	}
	return ids
}

func (c *core) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.node.Tick()
			c.startLeaderStep()
		case m := <-c.r.incoming:
			c.step(m)
		case f := <-c.r.calls:
			f(c)
		}
		c.drain()
		if err := c.processReady(); err != nil {
			return err
		}
	}
}

// drain handles the messages and calls that are already queued, so that one sync covers them all.
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

// step passes a message to the node. Errors that are not logged only give the reason why a message
// was ignored.
func (c *core) step(m agreement.Message) {
	err := c.node.Step(m)
	if (errors.Is(err, agreement.ErrOtherGroup) || errors.Is(err, agreement.ErrDiverged)) && c.refusedLimiter.allow() {
		events.MessageRefused.Log(c.r.log, logrus.Fields{"from": m.From, "error": err})
	}
}

// processReady performs the work that the node returns: it saves state and entries to disk before it
// sends messages and applies committed entries.
func (c *core) processReady() error {
	for c.node.HasReady() {
		ready := c.node.Ready()
		if ready.Snapshot != nil {
			if err := c.store.SaveSnapshot(*ready.Snapshot, nil); err != nil {
				return err
			}
		}
		c.r.validator.prepareEntries(ready.Entries)
		if err := c.store.Save(ready.HardState, ready.Entries); err != nil {
			return err
		}
		if ready.HardState != nil {
			c.group = ready.HardState.Group
		}
		for i := range ready.Messages {
			c.r.transport.Send(&ready.Messages[i])
		}
		if err := c.apply(&ready); err != nil {
			return err
		}
		c.node.Advance(ready)
	}
	if err := c.compact(); err != nil {
		return err
	}
	c.publishStatus()
	return nil
}

func (c *core) apply(ready *agreement.Ready) error {
	if ready.Snapshot != nil {
		m, err := state.Restore(c.r.validator.rules(), ready.Snapshot.Data)
		if err != nil {
			return err
		}
		c.machine, c.snapshotIndex, c.bytesSinceSnapshot = m, ready.Snapshot.Index, 0
		c.r.validator.preload(m.View().Folder.Files())
	}
	for _, e := range ready.Committed {
		c.bytesSinceSnapshot += len(e.Data)
		reply, err := c.machine.Apply(e.Index, e.Data)
		if err != nil {
			return err
		}
		if proposal, ok := c.pendingProposals[e.Index]; ok {
			delete(c.pendingProposals, e.Index)
			if proposal.term == e.Term {
				proposal.done <- proposalResult{reply: reply}
			} else {
				proposal.done <- proposalResult{err: errLeadershipEnded}
			}
		}
	}
	for _, read := range ready.Reads {
		if done, ok := c.unconfirmedReads[read.Context]; ok {
			delete(c.unconfirmedReads, read.Context)
			c.confirmedReads = append(c.confirmedReads, confirmedRead{read.Index, done})
		}
	}
	c.releaseReads()
	return nil
}

// releaseReads ends the reads whose index is applied.
func (c *core) releaseReads() {
	unreleased := c.confirmedReads[:0]
	for _, read := range c.confirmedReads {
		if read.index <= c.machine.Applied() {
			close(read.done)
			continue
		}
		unreleased = append(unreleased, read)
	}
	c.confirmedReads = unreleased
}

// compact takes a snapshot if enough entries were applied since the last one.
func (c *core) compact() error {
	applied := c.machine.Applied()
	if applied < c.snapshotIndex+snapshotEntries && c.bytesSinceSnapshot < snapshotBytes {
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
	c.snapshotIndex, c.bytesSinceSnapshot = applied, 0
	return c.store.SaveSnapshot(snap, c.node.EntriesAfter(snap.Index))
}

// publishStatus publishes the status, the replicas' addresses and the content to other goroutines.
func (c *core) publishStatus() {
	st := c.node.Status()
	c.r.lastSyncedAt.Store(time.Now().UnixNano())
	if st.Leader != agreement.None {
		c.r.lastLeaderAt.Store(time.Now().UnixNano())
	}
	c.r.status.Store(&Status{Status: st, Version: c.machine.View().Version, Loaded: true})
	if st.Role != c.lastRole && (st.Role == agreement.Leader || c.lastRole == agreement.Leader) {
		events.LeaderChanged.Log(c.r.log, logrus.Fields{"leader": st.Role == agreement.Leader, "term": st.Term})
	}
	if st.Role != agreement.Leader && c.lastRole == agreement.Leader {
		c.failPendingProposals()
	}
	c.lastRole = st.Role
	if st.Superseded && !c.wasSuperseded {
		events.ReplicaSuperseded.Log(c.r.log, nil)
	}
	c.wasSuperseded = st.Superseded
	if st.Removed && !c.wasRemoved {
		events.ReplicaRemoved.Log(c.r.log, nil)
	}
	c.wasRemoved = st.Removed
	if len(st.Membership) > 0 {
		c.updateIdentity(st)
	}
	c.r.setAddresses(c.machine.Replicas())
	if hosts := c.machine.Replicas(); len(hosts) > 0 {
		c.node.SetJoinable(replicaIDs(hosts))
	}
	if replacement := c.machine.Replacement(); replacement != nil {
		c.r.setAddresses([]*controlpb.ReplicaHost{replacement.GetJoining()})
	}
	c.r.distributor.setView(c.machine.View())
}

// updateIdentity updates the reply to Identify with the group and its members.
func (c *core) updateIdentity(st agreement.Status) {
	old := c.r.identity.Load()
	next := &controlpb.IdentifyReply{
		Id: old.GetId(), Incarnation: old.GetIncarnation(), Group: c.group,
		Replicas: c.r.cfg.Replicas, Members: agreement.MembershipProto(st.Membership),
	}
	if !proto.Equal(old, next) {
		c.r.identity.Store(next)
	}
}

// failPendingProposals ends the proposals whose outcome this replica can no longer determine.
func (c *core) failPendingProposals() {
	for index, proposal := range c.pendingProposals {
		delete(c.pendingProposals, index)
		proposal.done <- proposalResult{err: errLeadershipEnded}
	}
}

// startRead requests the index up to which entries have to be applied for a linearizable read. The
// channel is closed when they are applied, and never if the request fails; the caller then repeats it.
func (c *core) startRead(done chan struct{}) (id uint64) {
	id = rand.Uint64()
	c.unconfirmedReads[id] = done
	if c.node.ReadIndex(id) != nil {
		delete(c.unconfirmedReads, id)
	}
	return id
}

// propose checks an entry and proposes it. It returns the final reply if there is no need to propose
// the entry, otherwise a channel that receives the result.
func (c *core) propose(e *controlpb.Entry) (*controlpb.Reply, chan proposalResult, error) {
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
	result := make(chan proposalResult, 1)
	c.pendingProposals[index] = pendingProposal{term: c.node.Status().Term, done: result}
	return nil, result, nil
}

// transferLeadership starts a transfer to a random other voter that is reachable. If it fails, the
// node gives up after an election timeout and the next call may select another voter.
func (c *core) transferLeadership() {
	members := c.node.Status().Membership
	for _, i := range rand.Perm(len(members)) {
		if c.node.TransferLeadership(members[i].Replica) == nil {
			return
		}
	}
}
