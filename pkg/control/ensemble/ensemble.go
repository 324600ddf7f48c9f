// Package ensemble runs a group of control hosts that agree on one versioned document and on the
// evacuations of data centres. The group is
// founded by its seeds, adds new hosts and replaces lost ones without an operator. pkg/agreement
// implements the agreement protocol, and pkg/storage stores its log. Invariants:
//   - A document is accepted when a majority of the voters has synced it. The highest version is in force.
//   - The ID of a member encodes its peer address, so a membership contains the addresses of its members.
//   - Only the seeds of the very first start found a group, with incarnation 1. At any other time a host
//     with an empty disk has a later incarnation, and votes only after it was added as a learner and
//     promoted by the group.
package ensemble

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	controlpb "rosemarygate/api/control/v1"
	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/control/transport"
	"rosemarygate/pkg/events"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/storage"
	"rosemarygate/pkg/wallclock"
)

const (
	tickInterval = 100 * time.Millisecond
	// electionTicks make an election start 0.8 to 1.6 s after the last heartbeat: operators try
	// another host after a second, and a change has to be in force within 3 s.
	electionTicks  = 8
	heartbeatTicks = 2
	queueLength    = 1024
	maxBatch       = 64 // messages and calls that one sync covers
	// maxDocumentBytes is the size of the largest document, envelope included.
	maxDocumentBytes = 4 << 20
	// retainedEntries is the number of entries kept in memory for lagging followers; each may hold a
	// whole document.
	retainedEntries = 16
	snapshotEntries = 500     // entries
	snapshotBytes   = 4 << 20 // bytes of entries
	joinInterval    = 300 * time.Millisecond
	// reopenPause is the wait before a data folder is opened again after a disk error.
	reopenPause = 500 * time.Millisecond
	// stallLimit is how long a sync may block the host before the host counts as disconnected.
	stallLimit = time.Second
	walFolder  = "agreement"
)

// Errors of this package.
var (
	ErrNoMajority    = errors.New("no majority of the control hosts answers: retry at another host, or when the connections are back")
	ErrNotLeader     = errors.New("this control host is not the leader: retry at another host")
	ErrTooFewVoters  = errors.New("the group has fewer voters than the tolerated losses need: retry when more control hosts have joined")
	ErrTooFewMembers = errors.New("the group has too few other control hosts to replace this one: add one first if it is gone for good")
	ErrNotReplaced   = errors.New("no other control host took over the vote in time: the host counts as lost until it is back or replaced")
	ErrOvertaken     = errors.New("another order for the data centre was applied since this one was sent: send it again if it still holds")
	ErrOldRelease    = errors.New("a control host runs a release without evacuations: retry when all control hosts are updated")
	errRemoved       = errors.New("the group has removed this host: its log is discarded and it joins again")
	errSuperseded    = errors.New("the group has a later incarnation of this host: it joins again with a new one")
)

// Document is one version of the configuration. This package does not interpret its content. A
// document whose version is not higher than that in force changes nothing.
type Document struct {
	Version uint64
	Content []byte
}

// Config describes a control host.
type Config struct {
	// PeerAddress is the address at which the other control hosts reach this host.
	PeerAddress netip.AddrPort
	// MayFound allows the host to found the group if it is one of the seeds and its disk is empty.
	MayFound bool
	// Seeds returns the peer addresses of the hosts that found the group, or through which this host
	// joins. The result may change over time.
	Seeds func() []netip.AddrPort
	// DataDir is the data folder.
	DataDir string
	// ToleratedDisks is the number of disks that may be lost at once.
	ToleratedDisks int
	DialOptions    []grpc.DialOption
	Log            logrus.FieldLogger
	// FS stores the log and the snapshots; nil stands for the file system of the operating system.
	FS storage.FS
}

// Status is the state of the group as this host sees it.
type Status struct {
	agreement.Status
	Version uint64
}

// Group is the membership of one control host in the group.
type Group struct {
	cfg       Config
	selfID    ident.DaemonID
	log       logrus.FieldLogger
	calls     chan func(*core)
	incoming  chan agreement.Message
	transport *transport.Transport
	ctx       context.Context
	stop      context.CancelFunc

	document    atomic.Pointer[Document]
	evacuations atomic.Pointer[appliedEvacuations]
	fresh       atomic.Bool // see freshness
	status      atomic.Pointer[Status]
	begin       time.Time     // of the group in this process
	processedAt atomic.Int64  // nanoseconds after begin when the core last finished all pending work
	leaving     atomic.Bool   // the host stops and does not join again
	left        chan struct{} // closed when the group has removed the leaving host

	mu                sync.Mutex
	changed           chan struct{} // closed when the document or the membership changes
	lastIncarnation   ident.Incarnation
	incarnationOffset time.Duration // how far the next incarnation is ahead of the clock
	contacts          contacts
}

// New returns a control host that Run starts.
func New(cfg Config) *Group {
	g := &Group{
		cfg: cfg, selfID: MemberID(cfg.PeerAddress), log: cfg.Log,
		calls: make(chan func(*core), queueLength), incoming: make(chan agreement.Message, queueLength),
		changed: make(chan struct{}), left: make(chan struct{}), begin: time.Now(),
	}
	if g.cfg.FS == nil {
		g.cfg.FS = storage.OS{}
	}
	g.ctx, g.stop = context.WithCancel(context.Background())
	g.document.Store(&Document{})
	g.evacuations.Store(&appliedEvacuations{Evacuations: &entrypb.Evacuations{}})
	g.status.Store(&Status{})
	self := &controlpb.ReplicaHost{Name: cfg.PeerAddress.String(), Address: cfg.PeerAddress.String()}
	resolve := func(id ident.DaemonID) (string, bool) { return MemberAddress(id).String(), true }
	g.transport = transport.New(g.ctx, self, resolve, cfg.DialOptions)
	return g
}

// MemberID returns the member ID for a peer address, which has to be an IPv4 address.
func MemberID(a netip.AddrPort) ident.DaemonID {
	b := a.Addr().As4()
	return ident.DaemonID(binary.BigEndian.Uint32(b[:]))<<16 | ident.DaemonID(a.Port())
}

// MemberAddress is the inverse of MemberID.
func MemberAddress(id ident.DaemonID) netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], uint32(id>>16))
	return netip.AddrPortFrom(netip.AddrFrom4(b), uint16(id))
}

// Register adds the agreement service to a server.
func (g *Group) Register(s grpc.ServiceRegistrar) {
	controlpb.RegisterAgreementServer(s, &transport.Server{
		Context: g.ctx, RecordSender: func(string, string) {}, Receive: g.receive,
	})
}

func (g *Group) receive(m agreement.Message) {
	g.transport.RecordReceived(m.From.ID)
	select {
	case g.incoming <- m:
	default: // the protocol resends lost messages
	}
}

// Document returns the latest document in force that this host has received; version 0 stands for
// none.
func (g *Group) Document() Document { return *g.document.Load() }

// Status returns the state of the group.
func (g *Group) Status() Status { return *g.status.Load() }

// Evacuations returns the evacuations that this host has received. The result must not be modified.
func (g *Group) Evacuations() *entrypb.Evacuations { return g.evacuations.Load().Evacuations }

// Current reports whether the host is in contact with the leader of the group and has applied what was
// committed before, so that it holds every acknowledged document and order but the very latest.
func (g *Group) Current() bool {
	return !g.stalled() && g.fresh.Load() && g.Status().Leader != agreement.None
}

// stalled reports whether the core has not finished its pending work for a while.
func (g *Group) stalled() bool {
	// Both times are on the monotonic clock: a time of day that is set back would hide a stall.
	return time.Since(g.begin)-time.Duration(g.processedAt.Load()) > stallLimit
}

// Peers returns the peer addresses of the other control hosts: the members and the seeds, and while this host is
// outside the group also those from which it has heard.
func (g *Group) Peers() []netip.AddrPort {
	seen := map[netip.AddrPort]bool{g.cfg.PeerAddress: true}
	var addresses []netip.AddrPort
	add := func(a netip.AddrPort) {
		if !seen[a] {
			seen[a] = true
			addresses = append(addresses, a)
		}
	}
	st := g.Status()
	for _, m := range st.Membership {
		add(MemberAddress(m.Replica.ID))
	}
	if !st.Membership.Contains(st.Self) {
		for _, a := range g.contactAddresses() {
			add(a)
		}
	}
	for _, a := range g.cfg.Seeds() {
		add(a)
	}
	return addresses
}

// Changed returns a channel that is closed at the next change of the document or the members.
func (g *Group) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

func (g *Group) notify() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.changed)
	g.changed = make(chan struct{})
}

// Run runs the host until ctx ends. After a disk error it opens the data folder again.
func (g *Group) Run(ctx context.Context) error {
	defer g.stop()
	for ctx.Err() == nil {
		err := g.runOnce(ctx)
		if ctx.Err() != nil {
			break
		}
		if g.leaving.Load() && errors.Is(err, errRemoved) {
			close(g.left)
			<-ctx.Done()
			break
		}
		if errors.Is(err, errRemoved) || errors.Is(err, errSuperseded) {
			g.addMembersAsContacts(g.Status().Membership)
		}
		g.status.Store(&Status{})
		g.fresh.Store(false)
		events.ReplicaFailed.Log(g.log, logrus.Fields{"error": err})
		if errors.Is(err, errSuperseded) {
			g.raiseIncarnation()
		}
		if errors.Is(err, errRemoved) || errors.Is(err, errSuperseded) {
			if err := g.discard(); err != nil {
				events.ReplicaFailed.Log(g.log, logrus.Fields{"error": err})
			}
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(reopenPause):
		}
	}
	return nil
}

// discard removes the log of a host that is no longer a member, so that it joins with an empty one.
func (g *Group) discard() error {
	dir := filepath.Join(g.cfg.DataDir, walFolder)
	names, err := g.cfg.FS.ReadDir(dir)
	if err != nil {
		return errors.Wrap(err, "list the data folder")
	}
	for _, name := range names {
		if err := g.cfg.FS.Remove(filepath.Join(dir, name)); err != nil {
			return errors.Wrap(err, "empty the data folder")
		}
	}
	return errors.Wrap(g.cfg.FS.SyncDir(dir), "sync the data folder")
}

// raiseIncarnation makes the next incarnation later than the one that the group rejected. The
// incarnation that the group has stored stems from before the clock was set back by an unknown
// amount, so the steps double.
func (g *Group) raiseIncarnation() { g.incarnationOffset = max(incarnationStep, 2*g.incarnationOffset) }

// incarnationStep is the first amount by which an incarnation is set ahead of the clock: clocks on
// the target platform jump by seconds.
const incarnationStep = time.Second

// initialIdentity returns the identity, and for a founder the founding state, of a host whose data
// folder is empty.
func (g *Group) initialIdentity() (agreement.Replica, *agreement.State) {
	founder := g.founder(g.cfg.PeerAddress)
	if founding := g.foundingState(); founding != nil && g.lastIncarnation == 0 {
		return founder, founding
	}
	// After the clock was set back, the incarnation must still be larger than any used before.
	next := max(ident.Incarnation(wallclock.Now().UnixNano()), g.lastIncarnation+1) + ident.Incarnation(g.incarnationOffset)
	return agreement.Replica{ID: g.selfID, Incarnation: next}, nil
}

// foundingIncarnation is the incarnation of the founders. It is smaller than any incarnation derived
// from the clock.
const foundingIncarnation = 1

func (g *Group) founder(a netip.AddrPort) agreement.Replica {
	return agreement.Replica{ID: MemberID(a), Incarnation: foundingIncarnation}
}

// foundingState returns the state of a founder, or nil if the host is not a founder. All founders
// compute the same state from the seeds, so none has to wait for the others.
func (g *Group) foundingState() *agreement.State {
	if !g.cfg.MayFound {
		return nil
	}
	isSeed := false
	var founders []agreement.Member
	var idBytes []byte
	for _, a := range g.cfg.Seeds() {
		isSeed = isSeed || a == g.cfg.PeerAddress
		founders = append(founders, agreement.Member{Replica: g.founder(a), Voter: true})
	}
	if !isSeed {
		return nil
	}
	members := agreement.NewMembership(founders...)
	for _, m := range members {
		idBytes = binary.BigEndian.AppendUint64(idBytes, uint64(m.Replica.ID))
	}
	st := agreement.FoundingState(g.founder(g.cfg.PeerAddress), max(xxhash.Sum64(idBytes), 1), members)
	return &st
}

// runOnce opens the data folder and runs until ctx ends or the folder cannot be used.
func (g *Group) runOnce(ctx context.Context) error {
	self, founding := g.initialIdentity()
	store, st, err := storage.Open(g.cfg.FS, filepath.Join(g.cfg.DataDir, walFolder), storage.Options{Self: self, FoundingState: founding})
	if err != nil {
		return err
	}
	defer store.Close()
	g.lastIncarnation = st.Self.Incarnation
	c, err := g.newCore(store, st)
	if err != nil {
		return err
	}
	defer c.failPendingProposals()
	if err := c.processReady(); err != nil {
		return err
	}
	return c.loop(ctx)
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
