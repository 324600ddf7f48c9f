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

// pendingProposal is a proposed entry whose caller waits for the result.
type pendingProposal struct {
	term uint64
	done chan error
}

type pendingRead struct {
	done       chan struct{} // nil if only the freshness depends on it
	generation uint64        // see freshness
}

type confirmedRead struct {
	pendingRead
	index uint64
}

// core is the state that only the goroutine of a group accesses.
type core struct {
	group              *Group
	store              *storage.Store
	node               *agreement.Node
	state              state
	appliedIndex       uint64
	snapshotIndex      uint64
	bytesSinceSnapshot int // bytes of the entries applied since the snapshot
	pendingProposals   map[uint64]pendingProposal
	unconfirmedReads   map[uint64]pendingRead // by read context
	confirmedReads     []confirmedRead
	previousRole       agreement.Role
	previousLeader     agreement.Replica
	answerTimes        answerTimes
	leaderSince        time.Time
	membershipApplied  bool // a membership change was committed since the last proposal of one
	nextJoin           time.Time
	freshness          freshness
	notices            notices
}

func (g *Group) newCore(store *storage.Store, st agreement.State) (*core, error) {
	cfg := agreement.Config{
		ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, ManualMembership: true, RetainEntries: retainedEntries,
		MaxMessageBytes: maxDocumentBytes, MaxInflightBytes: 2 * maxDocumentBytes, MaxUncommittedBytes: 4 * maxDocumentBytes,
	}
	node, err := agreement.New(cfg, st, newRand())
	if err != nil {
		return nil, err
	}
	c := &core{
		group: g, store: store, node: node, state: newState(), appliedIndex: st.Snapshot.Index, snapshotIndex: st.Snapshot.Index,
		pendingProposals: map[uint64]pendingProposal{}, unconfirmedReads: map[uint64]pendingRead{}, answerTimes: answerTimes{},
		notices: notices{},
	}
	if st.Snapshot.Index > 0 {
		if c.state, err = restoreState(&st.Snapshot); err != nil {
			return nil, err
		}
	}
	events.LogOpened.Log(g.log, logrus.Fields{
		"self": memberName(st.Self), "term": st.HardState.Term, "commit": st.HardState.Commit,
		"entries": len(st.Entries), "snapshot": st.Snapshot.Index,
	})
	return c, nil
}

// memberName returns the name of a member in logs.
func memberName(r agreement.Replica) string {
	if r == agreement.None {
		return "none"
	}
	return MemberAddress(r.ID).String()
}

func (c *core) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.node.Tick()
			c.proposeMembershipChange()
			st := c.node.Status()
			c.join(&st)
			c.notifyOutsiders(&st, time.Now())
		case m := <-c.group.incoming:
			c.step(m)
		case f := <-c.group.calls:
			f(c)
		}
		c.drain()
		if err := c.processReady(); err != nil {
			return err
		}
		if c.requestFreshness(time.Now()) {
			if err := c.processReady(); err != nil {
				return err
			}
		}
		// The replacement of a voter takes two changes. Between them a lost voter still counts.
		for c.membershipApplied {
			c.membershipApplied = false
			c.proposeMembershipChange()
			if err := c.processReady(); err != nil {
				return err
			}
		}
		if err := c.checkMembership(); err != nil {
			return err
		}
	}
}

// drain handles the messages and calls that are already queued, so that one sync covers all of them.
func (c *core) drain() {
	for range maxBatch {
		select {
		case m := <-c.group.incoming:
			c.step(m)
		case f := <-c.group.calls:
			f(c)
		default:
			return
		}
	}
}

// step passes a message to the node. An error of the node only gives the reason why it ignored the
// message.
func (c *core) step(m agreement.Message) {
	if m.Kind == agreement.MsgJoin {
		c.admit(m)
		return
	}
	if st := c.node.Status(); isFromContact(&st, &m) {
		c.group.AddContact(MemberAddress(m.From.ID))
	}
	err := c.node.Step(m)
	if errors.Is(err, agreement.ErrOtherGroup) || errors.Is(err, agreement.ErrDiverged) {
		events.MessageRefused.Log(c.group.log, logrus.Fields{"from": memberName(m.From), "error": err})
	}
}

// admit adds the sender of a join request as a learner, or forwards the request to the leader.
func (c *core) admit(m agreement.Message) {
	// The node learns that the copy of an earlier incarnation is lost. It adds no members itself.
	_ = c.node.Step(m)
	st := c.node.Status()
	forwarded, add := decideJoin(&st, m)
	if forwarded != nil {
		c.group.transport.Send(forwarded)
	}
	if !add {
		return
	}
	_, err := c.node.ProposeChange(agreement.Change{Kind: agreement.AddLearner, Replica: m.From})
	if errors.Is(err, agreement.ErrStaleReplica) {
		c.group.transport.Send(&agreement.Message{
			Kind: agreement.MsgJoinRefused, From: st.Self, To: m.From, Term: st.Term, Group: c.node.Group(),
		})
	}
	events.JoinRequested.Log(c.group.log, logrus.Fields{"member": memberName(m.From), "error": err})
}

// join sends join requests while the host is not a member, as far as it knows.
func (c *core) join(st *agreement.Status) {
	now := time.Now()
	if !asksToJoin(st) || now.Before(c.nextJoin) {
		return
	}
	c.nextJoin = now.Add(joinInterval)
	for _, a := range c.group.Peers() {
		c.group.transport.Send(&agreement.Message{
			Kind: agreement.MsgJoin, From: st.Self, To: agreement.Replica{ID: MemberID(a)},
		})
	}
}

// proposeMembershipChange proposes the next membership change if this host is the leader.
func (c *core) proposeMembershipChange() {
	members := c.node.Members()
	if members == nil {
		clear(c.answerTimes)
		return
	}
	change, ok := nextChange(c.answerTimes.views(time.Now(), members), c.group.cfg.ToleratedDisks)
	if !ok {
		return
	}
	if _, err := c.node.ProposeChange(change); err == nil {
		events.MembershipChangeProposed.Log(c.group.log, logrus.Fields{
			"change": changeNames[change.Kind], "member": memberName(change.Replica), "members": len(members),
		})
	} // an error means that another change is in progress; the next tick tries again
}

var changeNames = map[agreement.ChangeKind]string{
	agreement.AddLearner: "add", agreement.Promote: "promote", agreement.Remove: "remove",
}

// checkMembership returns an error if the host has to join the group again.
func (c *core) checkMembership() error {
	st := c.node.Status()
	switch {
	case st.Superseded:
		return errSuperseded
	case st.Removed:
		return errRemoved
	}
	return nil
}

// processReady performs what the node requests, in the order that durability requires: a message is
// sent only after the state that it depends on is synced.
func (c *core) processReady() error {
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
			c.group.transport.Send(&rd.Messages[i])
		}
		if err := c.apply(&rd); err != nil {
			return err
		}
		c.node.Advance(rd)
	}
	if err := c.compact(); err != nil {
		return err
	}
	c.publish()
	return nil
}

func (c *core) apply(rd *agreement.Ready) error {
	if rd.Snapshot != nil {
		st, err := restoreState(rd.Snapshot)
		if err != nil {
			return err
		}
		c.state, c.appliedIndex, c.snapshotIndex, c.bytesSinceSnapshot = st, rd.Snapshot.Index, rd.Snapshot.Index, 0
	}
	for _, e := range rd.Committed {
		c.bytesSinceSnapshot += len(e.Data)
		c.appliedIndex = e.Index
		rejected, err := c.state.applyEntry(&e)
		if err != nil {
			return err
		}
		c.membershipApplied = c.membershipApplied || e.Kind == agreement.EntryMembership
		c.completeProposal(e, rejected)
	}
	for _, read := range rd.Reads {
		if r, ok := c.unconfirmedReads[read.Context]; ok {
			delete(c.unconfirmedReads, read.Context)
			c.confirmedReads = append(c.confirmedReads, confirmedRead{r, read.Index})
		}
	}
	return nil
}

// completeProposal ends the proposal of an entry that has been applied.
func (c *core) completeProposal(e agreement.Entry, rejected error) {
	proposal, ok := c.pendingProposals[e.Index]
	if !ok {
		return
	}
	delete(c.pendingProposals, e.Index)
	if proposal.term == e.Term {
		proposal.done <- rejected
	} else {
		proposal.done <- ErrNoMajority
	}
}

// compact takes a snapshot when enough entries have been applied since the last one.
func (c *core) compact() error {
	if c.appliedIndex < c.snapshotIndex+snapshotEntries && c.bytesSinceSnapshot < snapshotBytes {
		return nil
	}
	data, err := c.state.marshal()
	if err != nil {
		return errors.WithStack(err)
	}
	snap, err := c.node.Compact(c.appliedIndex, data)
	if err != nil {
		return err
	}
	c.snapshotIndex, c.bytesSinceSnapshot = c.appliedIndex, 0
	return c.store.SaveSnapshot(snap, c.node.EntriesAfter(snap.Index))
}

// publish makes the state of the core available to other goroutines.
func (c *core) publish() {
	st := c.node.Status()
	c.expireFreshness(st)
	c.group.processedAt.Store(int64(time.Since(c.group.begin)))
	previous := c.group.Status()
	c.group.status.Store(&Status{Status: st, Version: c.state.document.Version})
	newDocument := c.group.Document().Version != c.state.document.Version
	if newDocument {
		d := c.state.document
		c.group.document.Store(&d)
		events.DocumentAccepted.Log(c.group.log, logrus.Fields{"version": d.Version, "index": c.appliedIndex, "term": st.Term})
	}
	newEvacuations := c.group.Evacuations().GetRevision() != c.state.evacuations.GetRevision()
	if applied := c.group.evacuations.Load(); applied.Evacuations != c.state.evacuations {
		c.group.evacuations.Store(applied.next(c.state.evacuations, time.Now()))
	}
	c.releaseReads() // after the state is published: a released read returns it
	if newDocument || newEvacuations || !slices.Equal(previous.Membership, st.Membership) || previous.Leader != st.Leader {
		c.group.notify()
	}
	c.trackLeadership(st)
}

func (c *core) releaseReads() {
	pending := c.confirmedReads[:0]
	for _, read := range c.confirmedReads {
		if read.index <= c.appliedIndex {
			c.recordConfirmedRead(read.pendingRead)
			if read.done != nil {
				close(read.done)
			}
			continue
		}
		pending = append(pending, read)
	}
	c.confirmedReads = pending
}

// trackLeadership logs a change of the leader, and ends the pending proposals when this host loses the
// leadership.
func (c *core) trackLeadership(st agreement.Status) {
	if st.Leader != c.previousLeader {
		events.GroupLeaderChanged.Log(c.group.log, logrus.Fields{
			"leader": memberName(st.Leader), "term": st.Term, "commit": st.Commit, "members": len(st.Membership), "voters": st.Membership.Voters(),
		})
	}
	if st.Role == agreement.Leader && c.previousRole != agreement.Leader {
		c.leaderSince = time.Now()
	}
	if st.Role != agreement.Leader && c.previousRole == agreement.Leader {
		c.failPendingProposals()
	}
	c.previousLeader, c.previousRole = st.Leader, st.Role
}

// failPendingProposals ends the proposals whose outcome this host can no longer determine.
func (c *core) failPendingProposals() {
	for index, proposal := range c.pendingProposals {
		delete(c.pendingProposals, index)
		proposal.done <- ErrNoMajority
	}
}

// startRead requests confirmation that the document is current; done is closed once it is confirmed.
func (c *core) startRead(done chan struct{}) (id uint64) {
	id = rand.Uint64()
	c.unconfirmedReads[id] = pendingRead{done, c.freshness.generation}
	if c.node.ReadIndex(id) != nil {
		delete(c.unconfirmedReads, id)
	}
	return id
}

// voterWaitTimeout is how long a new leader rejects documents while the group has fewer voters than
// the tolerated losses require. A deployment with fewer control hosts is served without that
// tolerance afterwards.
const voterWaitTimeout = 4 * time.Second

// propose appends a document or an order to the leader's log.
func (c *core) propose(p *entrypb.ProposeRequest) (chan error, error) {
	st := c.node.Status()
	if st.Role != agreement.Leader {
		return nil, ErrNotLeader
	}
	if st.Membership.Voters() < minVotersFor(c.group.cfg.ToleratedDisks) && time.Since(c.leaderSince) < voterWaitTimeout {
		return nil, ErrTooFewVoters
	}
	data, err := proto.Marshal(p)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	index, err := c.node.Propose(data)
	if err != nil {
		return nil, err
	}
	done := make(chan error, 1)
	c.pendingProposals[index] = pendingProposal{st.Term, done}
	return done, nil
}

// transferLeadership starts a transfer to another voter that has caught up.
func (c *core) transferLeadership() {
	for _, m := range c.node.Members() {
		if m.Voter && m.CaughtUp && c.node.TransferLeadership(m.Replica) == nil {
			return
		}
	}
}
