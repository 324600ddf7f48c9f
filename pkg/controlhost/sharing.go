package controlhost

import (
	"context"
	"net/netip"
	"slices"
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
	// announcementBatchDelay is how long announcements that change nothing are delayed to be sent
	// together.
	announcementBatchDelay = 100 * time.Millisecond
	// shareIdleInterval is the time after which an empty batch is sent on an idle stream to check the
	// connection.
	shareIdleInterval = 500 * time.Millisecond
	// shareSilenceTimeout is the time without a confirmation after which a connection is replaced.
	shareSilenceTimeout = 1500 * time.Millisecond
	// shareRedialPause is the wait before a failed stream to a control host is opened again.
	shareRedialPause = 300 * time.Millisecond
	// peerRefreshInterval is the time between two reads of the list of the other control hosts.
	peerRefreshInterval = 500 * time.Millisecond
	// maxQueuedAnnouncements limits the announcements queued for one host. Beyond it the stream is
	// restarted with all registrations.
	maxQueuedAnnouncements = 10_000
)

var errQueueFull = errors.New("control host receives announcements too slowly: the stream restarts with all registrations")

// sharing forwards the announcements received by this host to the other control hosts.
type sharing struct {
	host        *Host
	dialOptions []grpc.DialOption
	mu          sync.Mutex
	peers       map[netip.AddrPort]*sharePeer
}

// sharePeer is the stream to one other control host.
type sharePeer struct {
	sharing *sharing
	address netip.AddrPort
	stop    context.CancelFunc

	mu              sync.Mutex
	connected       bool
	queue           []*entrypb.Registration
	notifyAddresses []string        // queued
	queueWaiters    []chan struct{} // closed when the present queue is confirmed
	wake            chan struct{}
	lastBatchNumber uint64                     // number of the latest batch sent
	batchWaiters    map[uint64][]chan struct{} // by batch number
	lastConfirmed   time.Time                  // time of the latest confirmation
	sharedWatchers  []string                   // as of the latest batch, sorted
}

func newSharing(host *Host, dialOptions []grpc.DialOption) *sharing {
	return &sharing{host: host, dialOptions: dialOptions, peers: map[netip.AddrPort]*sharePeer{}}
}

// run maintains one stream to each other control host.
func (s *sharing) run(ctx context.Context) error {
	ticker := time.NewTicker(peerRefreshInterval)
	defer ticker.Stop()
	for {
		s.setPeers(ctx, s.host.group.Peers())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (s *sharing) setPeers(ctx context.Context, addresses []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := map[netip.AddrPort]bool{}
	for _, a := range addresses {
		current[a] = true
		if s.peers[a] == nil {
			peerCtx, stop := context.WithCancel(ctx)
			p := &sharePeer{sharing: s, address: a, stop: stop, wake: make(chan struct{}, 1)}
			s.peers[a] = p
			go p.run(peerCtx)
		}
	}
	for a, p := range s.peers {
		if !current[a] {
			p.stop()
			delete(s.peers, a)
		}
	}
}

// shareRefresh forwards a repeated announcement of a registered process.
func (s *sharing) shareRefresh(r directory.Registration) {
	refresh := &entrypb.Registration{Key: uint64(r.Key), BornUnixMs: r.StartUnixMs, Sequence: r.Sequence}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		p.enqueue(refresh, nil)
	}
}

// shareChange forwards a changed registration. It returns a channel that is closed when every
// connected host has confirmed it, or when one of them does not confirm in time.
func (s *sharing) shareChange(r directory.Registration) <-chan struct{} {
	allConfirmed := make(chan struct{})
	encoded := s.host.encodeRegistrations([]directory.Registration{r}, s.host.clock())
	if len(encoded) == 0 {
		close(allConfirmed)
		return allConfirmed
	}
	var confirmations []chan struct{}
	s.mu.Lock()
	for _, p := range s.peers {
		confirmed := make(chan struct{})
		if p.enqueue(encoded[0], confirmed) {
			confirmations = append(confirmations, confirmed)
		}
	}
	s.mu.Unlock()
	go func() {
		defer close(allConfirmed)
		for _, w := range confirmations {
			select {
			case <-w:
			case <-time.After(shareConfirmTimeout):
				return
			}
		}
	}()
	return allConfirmed
}

// shareNotifyAddresses forwards new addresses of entry daemons. A host that is not connected gets all of
// them when its stream starts.
func (s *sharing) shareNotifyAddresses(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		p.mu.Lock()
		if p.connected {
			p.notifyAddresses = append(p.notifyAddresses, addresses...)
		}
		p.mu.Unlock()
	}
}

// enqueue queues an announcement and reports whether the stream is connected. A host that is not
// connected gets all registrations when its stream starts.
func (p *sharePeer) enqueue(r *entrypb.Registration, confirmed chan struct{}) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connected && len(p.queue) >= maxQueuedAnnouncements {
		p.connected, p.queue = false, nil // the stream ends and restarts with all registrations
	}
	if !p.connected {
		return false
	}
	p.queue = append(p.queue, r)
	if confirmed != nil {
		p.queueWaiters = append(p.queueWaiters, confirmed)
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
		wasConnected := p.connected
		p.connected, p.queue, p.queueWaiters, p.batchWaiters = false, nil, nil, nil
		p.mu.Unlock()
		if wasConnected {
			events.SharingEnded.Log(p.sharing.host.log, logrus.Fields{"host": p.address, "error": err})
			p.sharing.host.count("sharing_ended", "code", errorCode(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(shareRedialPause):
		}
	}
}

// stream sends all registrations and then the queued changes, until the connection fails or goes
// silent.
func (p *sharePeer) stream(ctx context.Context) error {
	conn, err := grpc.NewClient(p.address.String(), p.sharing.dialOptions...)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silenceTimer := time.AfterFunc(shareSilenceTimeout, cancel)
	stream, err := entrypb.NewCooperationClient(conn).Share(ctx, grpc.WaitForReady(true))
	if err != nil {
		silenceTimer.Stop()
		return err
	}
	p.startStream()
	if err := stream.Send(p.nextBatch()); err != nil {
		silenceTimer.Stop()
		return err
	}
	silenceTimer.Stop()
	events.SharingStarted.Log(p.sharing.host.log, logrus.Fields{"host": p.address})
	failed := make(chan error, 1)
	go func() { failed <- p.receiveConfirmations(stream) }()
	ticker := time.NewTicker(announcementBatchDelay)
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
			if p.isSilent() {
				return context.DeadlineExceeded
			}
			if !p.isConnected() {
				return errQueueFull
			}
			if !p.hasQueued() && time.Since(sent) < shareIdleInterval {
				continue
			}
		}
		sent = time.Now()
		if err := stream.Send(p.nextBatch()); err != nil {
			return err
		}
	}
}

// startStream queues all registrations for a new stream.
func (p *sharePeer) startStream() {
	h := p.sharing.host
	now := h.clock()
	h.mu.Lock()
	registrations := h.directory.Changes(0)
	h.mu.Unlock()
	encoded := h.encodeRegistrations(registrations, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connected, p.queue, p.lastConfirmed, p.lastBatchNumber = true, encoded, time.Now(), 0
	p.batchWaiters, p.sharedWatchers = map[uint64][]chan struct{}{}, nil
	p.notifyAddresses = h.notifyAddresses.texts()
}

func (p *sharePeer) hasQueued() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue)+len(p.notifyAddresses) > 0 || !slices.Equal(p.sharedWatchers, p.sharing.host.watchersToShare())
}

func (p *sharePeer) isConnected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connected
}

func (p *sharePeer) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.lastConfirmed) > shareSilenceTimeout
}

func (p *sharePeer) nextBatch() *entrypb.Batch {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastBatchNumber++
	b := &entrypb.Batch{
		Number: p.lastBatchNumber, Registrations: p.queue, NotifyAddresses: p.notifyAddresses, Settled: p.sharing.host.settled.Load(),
	}
	p.notifyAddresses = nil
	p.addWatcherChanges(b)
	if p.lastBatchNumber == 1 {
		b.Sender, b.KeepsEvacuations = p.sharing.host.cfg.PeerAddress.String(), true
	}
	if len(p.queueWaiters) > 0 {
		p.batchWaiters[p.lastBatchNumber] = p.queueWaiters
	}
	p.queue, p.queueWaiters = nil, nil
	return b
}

func (p *sharePeer) receiveConfirmations(stream grpc.BidiStreamingClient[entrypb.Batch, entrypb.Confirmation]) error {
	for {
		c, err := stream.Recv()
		if err != nil {
			return err
		}
		p.mu.Lock()
		p.lastConfirmed = time.Now()
		for _, w := range p.batchWaiters[c.GetNumber()] {
			close(w)
		}
		delete(p.batchWaiters, c.GetNumber())
		p.mu.Unlock()
	}
}

type cooperationServer struct {
	entrypb.UnimplementedCooperationServer
	host *Host
}

// Propose passes a document from another control host to the group.
func (s *cooperationServer) Propose(ctx context.Context, request *entrypb.ProposeRequest) (*entrypb.ProposeReply, error) {
	return s.host.group.Propose(ctx, request)
}

// Share merges the announcements forwarded by another control host.
func (s *cooperationServer) Share(stream grpc.BidiStreamingServer[entrypb.Batch, entrypb.Confirmation]) error {
	w := s.host.newPeerWatchers()
	defer w.forget()
	for {
		b, err := stream.Recv()
		if err != nil {
			return err
		}
		if b.GetNumber() == 1 && !b.GetKeepsEvacuations() {
			s.host.oldReleases.Add(1)
			defer s.host.oldReleases.Add(-1) // runs once: a stream has one first batch
		}
		if b.GetNumber() == 1 {
			s.host.learnSender(b.GetSender())
		}
		w.merge(b)
		s.host.mergeBatch(b)
		if err := stream.Send(&entrypb.Confirmation{Number: b.GetNumber()}); err != nil {
			return err
		}
	}
}

// learnSender makes the sender of a stream known to the group: it may be a member, and this host outside the group.
func (h *Host) learnSender(sender string) {
	if a, err := netip.ParseAddrPort(sender); err == nil && a.Addr().Is4() {
		h.group.AddContact(a)
	}
}

// mergeBatch merges a batch from another control host. The first batch from a settled host contains
// every live upstream.
func (h *Host) mergeBatch(b *entrypb.Batch) {
	h.learnNotifyAddresses(b.GetNotifyAddresses())
	now := h.clock()
	h.mu.Lock()
	before := h.directory.Revision()
	for _, p := range b.GetRegistrations() {
		if p.GetService() == "" && p.GetState() != entrypb.State_STATE_GONE {
			h.directory.Refresh(directory.Incarnation{Key: directory.Key(p.GetKey()), StartUnixMs: p.GetBornUnixMs()}, p.GetSequence(), now)
			continue
		}
		r, err := directory.FromProto(p, now)
		if err != nil {
			h.RefuseAnnouncement(p.GetName(), err)
			continue
		}
		if h.isUnverified(&r) {
			h.keepUnverified(unverifiedRegistration{r, true})
			continue
		}
		h.directory.Announce(r)
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
