package controlhost

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/control/directory"
	"rosemarygate/pkg/events"
)

const (
	// joinAnnouncements is how long announcements that change nothing wait for others.
	joinAnnouncements = 100 * time.Millisecond
	// shareIdle is how often an empty batch shows that the connection works.
	shareIdle = 500 * time.Millisecond
	// shareSilence is the time without a confirmation after which a connection is made anew.
	shareSilence = 1500 * time.Millisecond
	// shareRedial is the wait before a control host that did not answer is called again.
	shareRedial = 300 * time.Millisecond
	// sharePeers is how often the list of the other control hosts is read.
	sharePeers = 500 * time.Millisecond
	// maxQueued bounds the announcements that wait for one host; beyond it the stream begins anew
	// with everything.
	maxQueued = 10_000
)

var errBehind = errors.New("control host does not take announcements in time: the stream begins anew with everything")

// sharing passes the announcements that this host hears on to the other control hosts.
type sharing struct {
	h     *Host
	dial  []grpc.DialOption
	mu    sync.Mutex
	peers map[netip.AddrPort]*sharePeer
}

// sharePeer is the stream to one other control host.
type sharePeer struct {
	s       *sharing
	address netip.AddrPort
	stop    context.CancelFunc

	mu          sync.Mutex
	connected   bool
	queue       []*entrypb.Registration
	waiting     []chan struct{} // closed when the queue as it stands is confirmed
	wake        chan struct{}
	number      uint64                     // of the latest batch sent
	unconfirmed map[uint64][]chan struct{} // by batch
	heard       time.Time                  // latest confirmation
}

func newSharing(h *Host, dial []grpc.DialOption) *sharing {
	return &sharing{h: h, dial: dial, peers: map[netip.AddrPort]*sharePeer{}}
}

// run keeps one stream to each other control host.
func (s *sharing) run(ctx context.Context) error {
	ticker := time.NewTicker(sharePeers)
	defer ticker.Stop()
	for {
		s.setPeers(ctx, s.h.group.Peers())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (s *sharing) setPeers(ctx context.Context, want []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := map[netip.AddrPort]bool{}
	for _, a := range want {
		wanted[a] = true
		if s.peers[a] == nil {
			inner, stop := context.WithCancel(ctx)
			p := &sharePeer{s: s, address: a, stop: stop, wake: make(chan struct{}, 1)}
			s.peers[a] = p
			go p.run(inner)
		}
	}
	for a, p := range s.peers {
		if !wanted[a] {
			p.stop()
			delete(s.peers, a)
		}
	}
}

// refreshed passes on that an incarnation was heard again.
func (s *sharing) refreshed(r directory.Registration) {
	short := &entrypb.Registration{Key: uint64(r.Key), BornUnixMs: r.Born, Sequence: r.Sequence}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		p.add(short, nil)
	}
}

// changed passes a registration on, and returns a channel that is closed when every connected host
// has confirmed it.
func (s *sharing) changed(r directory.Registration) <-chan struct{} {
	full := r.Proto(s.h.clock())
	var waits []chan struct{}
	s.mu.Lock()
	for _, p := range s.peers {
		confirmed := make(chan struct{})
		if p.add(full, confirmed) {
			waits = append(waits, confirmed)
		}
	}
	s.mu.Unlock()
	all := make(chan struct{})
	go func() {
		defer close(all)
		for _, w := range waits {
			select {
			case <-w:
			case <-time.After(spreadTimeout):
				return
			}
		}
	}()
	return all
}

// add queues an announcement and reports whether the stream is connected. A host that is not
// connected gets everything when it is.
func (p *sharePeer) add(r *entrypb.Registration, confirmed chan struct{}) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connected && len(p.queue) >= maxQueued {
		p.connected, p.queue = false, nil // the stream ends and begins anew with everything
	}
	if !p.connected {
		return false
	}
	p.queue = append(p.queue, r)
	if confirmed != nil {
		p.waiting = append(p.waiting, confirmed)
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
	return true
}

func (p *sharePeer) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := p.stream(ctx)
		p.mu.Lock()
		was := p.connected
		p.connected, p.queue, p.waiting, p.unconfirmed = false, nil, nil, nil
		p.mu.Unlock()
		if was {
			events.ShareEnded.Log(p.s.h.log, logrus.Fields{"host": p.address, "error": err})
		}
		select {
		case <-ctx.Done():
		case <-time.After(shareRedial):
		}
	}
}

// stream sends everything and then what is new until the connection fails or goes silent.
func (p *sharePeer) stream(ctx context.Context) error {
	conn, err := grpc.NewClient(p.address.String(), p.s.dial...)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	limit := time.AfterFunc(shareSilence, cancel)
	stream, err := entrypb.NewCooperationClient(conn).Share(ctx, grpc.WaitForReady(true))
	if err != nil {
		limit.Stop()
		return err
	}
	p.begin()
	if err := stream.Send(p.batch()); err != nil {
		limit.Stop()
		return err
	}
	limit.Stop()
	events.ShareStarted.Log(p.s.h.log, logrus.Fields{"host": p.address})
	failed := make(chan error, 1)
	go func() { failed <- p.confirmations(stream) }()
	ticker := time.NewTicker(joinAnnouncements)
	defer ticker.Stop()
	sent := time.Now()
	for {
		select {
		case err := <-failed:
			return err
		case <-ctx.Done():
			return ctx.Err()
		case <-p.wake:
		case <-ticker.C:
			if p.silent() {
				return context.DeadlineExceeded
			}
			if !p.isConnected() {
				return errBehind
			}
			if !p.pending() && time.Since(sent) < shareIdle {
				continue
			}
		}
		sent = time.Now()
		if err := stream.Send(p.batch()); err != nil {
			return err
		}
	}
}

// begin queues every registration for a new stream.
func (p *sharePeer) begin() {
	h := p.s.h
	now := h.clock()
	h.mu.Lock()
	all := h.directory.Changes(0)
	h.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connected, p.queue, p.heard, p.number = true, nil, time.Now(), 0
	p.unconfirmed = map[uint64][]chan struct{}{}
	for i := range all {
		p.queue = append(p.queue, all[i].Proto(now))
	}
}

func (p *sharePeer) pending() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue) > 0
}

func (p *sharePeer) isConnected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connected
}

func (p *sharePeer) silent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.heard) > shareSilence
}

func (p *sharePeer) batch() *entrypb.Batch {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.number++
	b := &entrypb.Batch{Number: p.number, Registrations: p.queue, Settled: p.s.h.settled.Load()}
	if p.number == 1 {
		b.Sender = p.s.h.cfg.Peer.String()
	}
	if len(p.waiting) > 0 {
		p.unconfirmed[p.number] = p.waiting
	}
	p.queue, p.waiting = nil, nil
	return b
}

func (p *sharePeer) confirmations(stream grpc.BidiStreamingClient[entrypb.Batch, entrypb.Confirmation]) error {
	for {
		c, err := stream.Recv()
		if err != nil {
			return err
		}
		p.mu.Lock()
		p.heard = time.Now()
		for _, w := range p.unconfirmed[c.GetNumber()] {
			close(w)
		}
		delete(p.unconfirmed, c.GetNumber())
		p.mu.Unlock()
	}
}

type cooperationServer struct {
	entrypb.UnimplementedCooperationServer
	h *Host
}

// Propose passes a document of another control host to the group.
func (s *cooperationServer) Propose(ctx context.Context, q *entrypb.ProposeRequest) (*entrypb.ProposeReply, error) {
	return s.h.group.Propose(ctx, q)
}

// Share merges the announcements that another control host has heard.
func (s *cooperationServer) Share(stream grpc.BidiStreamingServer[entrypb.Batch, entrypb.Confirmation]) error {
	for {
		b, err := stream.Recv()
		if err != nil {
			return err
		}
		s.h.merge(b)
		if err := stream.Send(&entrypb.Confirmation{Number: b.GetNumber()}); err != nil {
			return err
		}
	}
}

// merge takes a batch of another control host. The first batch of a settled host holds every live
// upstream.
func (h *Host) merge(b *entrypb.Batch) {
	now := h.clock()
	h.mu.Lock()
	before := h.directory.Revision()
	for _, p := range b.GetRegistrations() {
		if p.GetService() == "" && p.GetState() != entrypb.State_STATE_GONE {
			h.directory.Hear(directory.Incarnation{Key: directory.Key(p.GetKey()), Born: p.GetBornUnixMs()}, p.GetSequence(), now)
			continue
		}
		h.directory.Announce(directory.FromProto(p, now))
	}
	changed := h.directory.Revision() != before
	h.mu.Unlock()
	if b.GetNumber() == 1 && b.GetSettled() && h.settled.CompareAndSwap(false, true) {
		events.DirectorySettled.Log(h.log, logrus.Fields{"by": b.GetSender()})
		changed = true
	}
	if changed {
		h.notify()
	}
}
