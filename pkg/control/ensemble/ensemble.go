// Package ensemble runs a group of control hosts that agree on one versioned document without an
// operator: it founds itself from seeds, takes in newcomers, and replaces hosts that are lost. The
// agreement protocol is that of pkg/agreement, and its log is kept by pkg/storage.
//
// Invariants:
//   - A document is accepted when a majority of the voters has synced it. The highest version is in
//     force; a document whose version is not higher changes nothing.
//   - The ID of a member is its peer address, so a membership says where its members are.
//   - Only seeds of the very first start found a group, under incarnation 1. A host with an empty
//     disk at any other time has a later incarnation, and votes only after the group has added it as a
//     learner and promoted it.
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
	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/control/transport"
	"rosemarygate/pkg/events"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/storage"
)

const (
	tick = 100 * time.Millisecond
	// electionTicks make an election begin 0.8 to 1.6 s after the last heartbeat: operators try
	// another host after a second, and a change has 3 s to be in force.
	electionTicks  = 8
	heartbeatTicks = 2
	queueLength    = 1024
	maxBatch       = 64 // messages and calls that one sync serves
	// maxDocument is the largest document with its envelope in bytes.
	maxDocument = 4 << 20
	// retainEntries are kept in memory for followers that lag; each may be a whole document.
	retainEntries = 16
	snapshotEvery = 500     // entries
	snapshotBytes = 4 << 20 // bytes of entries
	joinPeriod    = 300 * time.Millisecond
	// reopenPause is the wait before a data folder is opened again after a fault of the disk.
	reopenPause = 500 * time.Millisecond
	// stallLimit is how long a sync may keep the host from its work before it counts as cut off.
	stallLimit = time.Second
	walFolder  = "agreement"
)

// Errors of this package.
var (
	ErrNoMajority  = errors.New("no majority of the control hosts answers: retry at another host, or when the connections are back")
	ErrNotLeader   = errors.New("this control host is not the leader: retry at another host")
	ErrTooFewDisks = errors.New("the group has fewer voters than the tolerated losses need: retry when more control hosts have joined")
	errRemoved     = errors.New("the group has removed this host: its log is discarded and it joins again")
	errSuperseded  = errors.New("the group knows a later incarnation of this host: it joins again under a new one")
)

// Document is one version of the configuration. The package does not look into its content.
type Document struct {
	Version uint64
	Content []byte
}

// Config describes a control host.
type Config struct {
	// Self is the peer address of this host.
	Self netip.AddrPort
	// Found allows the host to found the group if it is one of the seeds and its disk is empty.
	Found bool
	// Seeds returns the peer addresses of the hosts to found the group with or to join through. The
	// result may change.
	Seeds func() []netip.AddrPort
	// Dir is the data folder.
	Dir string
	// ToleratedDisks is the number of disks that may be lost at once.
	ToleratedDisks int
	Dial           []grpc.DialOption
	Log            logrus.FieldLogger
	// FS keeps the log and the snapshots; nil stands for the operating system's file system.
	FS storage.FS
}

// Status is the state of the group as this host sees it.
type Status struct {
	agreement.Status
	Version uint64
}

// Group is one control host's part in the group.
type Group struct {
	cfg       Config
	self      ident.DaemonID
	log       logrus.FieldLogger
	calls     chan func(*core)
	incoming  chan agreement.Message
	transport *transport.Transport
	ctx       context.Context
	stop      context.CancelFunc

	document atomic.Pointer[Document]
	status   atomic.Pointer[Status]
	passed   atomic.Int64 // Unix nanoseconds when the core last had nothing left to sync

	mu       sync.Mutex
	changed  chan struct{} // closed when the document or the membership changes
	lastSelf ident.Incarnation
	ahead    time.Duration // of the clock, by which the next incarnation is chosen
}

// New prepares a control host.
func New(cfg Config) *Group {
	g := &Group{
		cfg: cfg, self: MemberID(cfg.Self), log: cfg.Log,
		calls: make(chan func(*core), queueLength), incoming: make(chan agreement.Message, queueLength),
		changed: make(chan struct{}),
	}
	if g.cfg.FS == nil {
		g.cfg.FS = storage.OS{}
	}
	g.ctx, g.stop = context.WithCancel(context.Background())
	g.document.Store(&Document{})
	g.status.Store(&Status{})
	self := &controlpb.ReplicaHost{Name: cfg.Self.String(), Address: cfg.Self.String()}
	resolve := func(id ident.DaemonID) (string, bool) { return MemberAddress(id).String(), true }
	g.transport = transport.New(g.ctx, self, resolve, cfg.Dial)
	return g
}

// MemberID returns the ID of the member with a peer address, which must be an IPv4 address.
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
		Context: g.ctx, Introduce: func(string, string) {}, Receive: g.receive,
	})
}

func (g *Group) receive(m agreement.Message) {
	g.transport.Received(m.From.ID)
	select {
	case g.incoming <- m:
	default: // the protocol repeats what is lost
	}
}

// Document returns the document in force as far as this host knows; version 0 stands for none.
func (g *Group) Document() Document { return *g.document.Load() }

// Status returns the state of the group.
func (g *Group) Status() Status { return *g.status.Load() }

// Current reports whether the host is in contact with the group's leader, so that it learns of
// every new document.
func (g *Group) Current() bool {
	stalled := time.Since(time.Unix(0, g.passed.Load())) > stallLimit
	return !stalled && g.Status().Leader != agreement.None
}

// Peers returns the peer addresses of the other control hosts: the members and the seeds.
func (g *Group) Peers() []netip.AddrPort {
	seen := map[netip.AddrPort]bool{g.cfg.Self: true}
	var out []netip.AddrPort
	add := func(a netip.AddrPort) {
		if !seen[a] {
			seen[a] = true
			out = append(out, a)
		}
	}
	for _, m := range g.Status().Membership {
		add(MemberAddress(m.Replica.ID))
	}
	for _, a := range g.cfg.Seeds() {
		add(a)
	}
	return out
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

// Run runs the host until ctx ends. After a fault of the disk it opens the data folder again.
func (g *Group) Run(ctx context.Context) error {
	defer g.stop()
	for ctx.Err() == nil {
		err := g.runOnce(ctx)
		if ctx.Err() != nil {
			break
		}
		g.status.Store(&Status{})
		events.ReplicaFailed.Log(g.log, logrus.Fields{"error": err})
		if errors.Is(err, errSuperseded) {
			g.chooseLater()
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

// discard removes the log of a host that is no member any more, so that it joins with an empty one.
func (g *Group) discard() error {
	dir := filepath.Join(g.cfg.Dir, walFolder)
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

// chooseLater makes the next incarnation later than the one that the group refused. The group knows one
// from before the clock was set back, by an unknown time, so the steps double.
func (g *Group) chooseLater() { g.ahead = max(incarnationStep, 2*g.ahead) }

// incarnationStep is the first step by which an incarnation is chosen ahead of the clock: clocks of the
// users' platform jump by seconds.
const incarnationStep = time.Second

// identity returns how the host starts if its data folder is empty.
func (g *Group) identity() (agreement.Replica, *agreement.State) {
	founder := g.founder(g.cfg.Self)
	if founding := g.founding(); founding != nil && g.lastSelf == 0 {
		return founder, founding
	}
	// A clock that was set back must not make the incarnation smaller than one used before.
	next := max(ident.Incarnation(time.Now().UnixNano()), g.lastSelf+1) + ident.Incarnation(g.ahead)
	return agreement.Replica{ID: g.self, Incarnation: next}, nil
}

// foundingIncarnation is the incarnation of the founders, smaller than any that the clock yields.
const foundingIncarnation = 1

func (g *Group) founder(a netip.AddrPort) agreement.Replica {
	return agreement.Replica{ID: MemberID(a), Incarnation: foundingIncarnation}
}

// founding returns the state of a founder, nil if the host is none. Every founder computes the same
// state from the seeds, so none has to wait for the others.
func (g *Group) founding() *agreement.State {
	if !g.cfg.Found {
		return nil
	}
	member := false
	var founders []agreement.Member
	var names []byte
	for _, a := range g.cfg.Seeds() {
		member = member || a == g.cfg.Self
		founders = append(founders, agreement.Member{Replica: g.founder(a), Voter: true})
	}
	if !member {
		return nil
	}
	members := agreement.NewMembership(founders...)
	for _, m := range members {
		names = binary.BigEndian.AppendUint64(names, uint64(m.Replica.ID))
	}
	st := agreement.FoundingState(g.founder(g.cfg.Self), max(xxhash.Sum64(names), 1), members)
	return &st
}

// runOnce opens the data folder and runs until ctx ends or the folder cannot be used.
func (g *Group) runOnce(ctx context.Context) error {
	self, founding := g.identity()
	store, st, err := storage.Open(g.cfg.FS, filepath.Join(g.cfg.Dir, walFolder), storage.Options{Self: self, Founding: founding})
	if err != nil {
		return err
	}
	defer store.Close()
	g.lastSelf = st.Self.Incarnation
	c, err := g.newCore(store, st)
	if err != nil {
		return err
	}
	defer c.failWaiters()
	if err := c.process(); err != nil {
		return err
	}
	return c.loop(ctx)
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
