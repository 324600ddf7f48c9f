package daemon

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	peerpb "rosemarygate/api/peer/v1"
	upstreampb "rosemarygate/api/upstream/v1"
	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/pkg/config"
	"rosemarygate/pkg/events"
	"rosemarygate/pkg/frame"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/membership"
	"rosemarygate/pkg/owner"
	"rosemarygate/pkg/ownership"
	"rosemarygate/pkg/registration"
	"rosemarygate/pkg/relay"
	"rosemarygate/pkg/selection"
)

// perform performs one action of an owner core. It runs in the shard's goroutine and does not block.
func (d *Daemon) perform(r *receiver, a owner.Action) {
	switch a := a.(type) {
	case owner.SendFrame:
		d.datapath.sendFrame(r, a.Service, a.Caller, a.Frame)
	case owner.Execute:
		d.sessions.execute(a)
	case owner.CancelExecute:
		if s := d.sessions.find(a.Upstream); s != nil {
			s.cancel(a.Call)
		}
	case owner.SubscribeFeed:
		if s := d.sessions.find(a.Upstream); s != nil {
			s.subscribe(a)
		}
	case owner.PassOpen:
		d.datapath.opener.open(r, a.Caller, a.Service, a.Flow, a.Tried, a.Reason)
	case owner.ForwardFrame:
		d.forwardFrame(r, a)
	case owner.SendHandover:
		go d.sendHandover(a)
	case owner.SendCompleted:
		go d.sendCompleted(a)
	case owner.ReleaseUpstream:
		go d.releaseUpstream(a.Upstream)
	case owner.Count:
		d.counters.add(a)
	case owner.ObserveCall:
		d.datapath.opener.withTable(func(now time.Time, t *selection.Table) {
			t.Observe(now, a.Service, a.Upstream, a.OK, a.Duration)
		})
	}
}

// forwardFrame forwards a frame to the upstream's new owner.
func (d *Daemon) forwardFrame(r *receiver, a owner.ForwardFrame) {
	ev := a.Event
	b, err := frame.Encode(nil, ev.Frame)
	if err != nil {
		return
	}
	to, ok := d.datapath.table.Load().PeerAddress(a.To)
	if !ok {
		decision := d.datapath.table.Load().RouteToOwner(ev.Claims.DataCentre, ev.Claims.Upstream)
		if decision.Verdict != relay.Forward {
			d.datapath.replyNoRoute(r, ev.Claims.Service, b, ev.Caller)
			return
		}
		to = decision.Peer
	}
	d.datapath.forward(r, to, &relay.Packet{
		Caller: ev.Caller, Service: ev.Claims.Service, Frame: b, Hops: ev.Hops + 1, Upstream: ev.Claims.Upstream,
	})
}

// startHandover starts the handover of an upstream to its new owner.
func (d *Daemon) startHandover(u ident.UpstreamID, to membership.Member) {
	events.HandoverStarted.Log(d.log, logrus.Fields{"upstream": u, "to": to.Name})
	go d.shards.Load().post(u, owner.HandoverRequested{Upstream: u, To: to.ID, Incarnation: to.Incarnation})
}

func (d *Daemon) sendHandover(a owner.SendHandover) {
	var to membership.Member
	var reg registration.Registration
	var ok bool
	d.cluster.call(d.ctx, func(time.Time) {
		to, ok = d.cluster.liveMember(a.To)
		reg = d.cluster.assignment.knownUpstreams[a.Upstream]
	})
	ended := owner.HandoverEnded{Upstream: a.Upstream, To: a.To}
	var err error
	if ok {
		a.Chunks[0].Registration = d.announcementOf(reg)
		err = d.peers.handover(d.ctx, to, a.Chunks)
		ended.OK = err == nil
	}
	logHandover(d.log, ended, countFlows(a.Chunks), err)
	d.shards.Load().post(a.Upstream, ended)
}

func countFlows(chunks []*peerpb.HandoverChunk) int {
	n := 0
	for _, ch := range chunks {
		n += len(ch.Flows)
	}
	return n
}

// announcementOf returns the announcement that corresponds to a registration.
func (d *Daemon) announcementOf(r registration.Registration) *upstreampb.AnnounceRequest {
	x := d.services.Load()
	name := x.nameOf(r.Service)
	q := &upstreampb.AnnounceRequest{
		Service: name, Upstream: r.Name, DataCentre: r.DataCentre, Incarnation: uint64(r.Incarnation),
		Address: r.Addr.String(), Slots: uint32(r.Slots), FlowLimit: uint32(r.FlowLimit), Draining: r.Draining,
	}
	if svc := x.byName(name); svc != nil {
		q.Credential = svc.Settings.Credential
	}
	return q
}

// sendCompleted reports a completed request to the new owner of its upstream.
func (d *Daemon) sendCompleted(a owner.SendCompleted) {
	d.pendingCompleted.Add(1)
	defer d.pendingCompleted.Add(-1)
	var to membership.Member
	var ok bool
	d.cluster.call(d.ctx, func(time.Time) { to, ok = d.cluster.liveMember(a.To) })
	if ok {
		_ = d.peers.reportCompleted(d.ctx, to, a.Request)
	}
}

// releaseUpstream closes the session after a handover, unless this daemon owns the upstream again.
func (d *Daemon) releaseUpstream(u ident.UpstreamID) {
	d.cluster.call(d.ctx, func(time.Time) {
		if reg, ok := d.cluster.assignment.knownUpstreams[u]; ok && d.cluster.ownsUpstream(reg) {
			return
		}
		d.cluster.assignment.upstreamReleased(u)
		go d.sessions.close(u)
	})
}

// connectUpstream opens or updates the session to an upstream that this daemon owns.
func (d *Daemon) connectUpstream(reg registration.Registration) {
	name := d.services.Load().nameOf(reg.Service)
	if name == "" {
		return
	}
	if err := d.sessions.open(reg, name); err != nil {
		events.UpstreamDisconnected.Log(d.log, logrus.Fields{"upstream": reg.Name, "error": err})
	}
}

// dropUpstream ends the flows of an upstream whose lease has ended and closes its session.
func (d *Daemon) dropUpstream(reg registration.Registration) {
	go func() {
		d.shards.Load().postWait(reg.Upstream, owner.UpstreamGone{Upstream: reg.Upstream, Incarnation: reg.Incarnation})
		d.sessions.close(reg.Upstream)
	}()
}

// applyView passes a new view to the data path. The first view in which this daemon serves opens the
// service sockets.
func (d *Daemon) applyView(self membership.Member, v *membership.View, t *ownership.Table) {
	d.datapath.table.Store(relay.NewTable(self, v, t))
	serving := 0
	for _, m := range v.Members {
		if m.State == membership.Serving && d.isLocalOrNear(m.DataCentre) {
			serving++
		}
	}
	d.datapath.opener.withTable(func(_ time.Time, t *selection.Table) { t.SetDaemonCount(serving) })
	select {
	case <-d.ready:
	default:
		if self.State == membership.Serving {
			d.openSockets()
			close(d.ready)
		}
	}
}

// isLocalOrNear reports whether a data centre is this daemon's own or a near one, whose upstreams are
// selected like local ones.
func (d *Daemon) isLocalOrNear(dataCentre string) bool {
	return dataCentre == d.settings.DataCentre || slices.Contains(d.settings.NearDataCentres, dataCentre)
}

func (d *Daemon) openSockets() {
	d.logSocketError(d.datapath.sockets.setPorts(d.services.Load().ports()))
}

func (d *Daemon) logSocketError(err error) {
	if err != nil {
		events.SocketFailed.Log(d.log, logrus.Fields{"error": err})
	}
}

// updateCandidates passes the upstreams of the changed services to the opener. Building the candidates
// of all of 24,000 services takes 0.3 s.
func (d *Daemon) updateCandidates(now time.Time, services map[ident.ServiceID][]registration.Registration) {
	d.datapath.opener.withTable(func(_ time.Time, t *selection.Table) {
		for s, list := range services {
			t.Set(now, s, candidates(list))
		}
	})
	for s := range services {
		d.datapath.opener.resumeHeldOpens(s)
	}
}

func candidates(list []registration.Registration) []selection.Candidate {
	var out []selection.Candidate
	for _, r := range list {
		out = append(out, selection.Candidate{
			Upstream: r.Upstream, Incarnation: r.Incarnation, DataCentre: ident.DataCentre(r.DataCentre),
			FlowLimit: r.FlowLimit, Slots: r.Slots, Since: r.Since, Draining: r.Draining,
		})
	}
	return out
}

// recordLoads passes load reports to the opener. ownUpstreams is true for reports about the upstreams
// that this daemon owns.
func (d *Daemon) recordLoads(now time.Time, loads []registration.Load, ownUpstreams bool) {
	registrations := d.cluster.assignment.knownUpstreams
	d.datapath.opener.withTable(func(_ time.Time, t *selection.Table) {
		for _, l := range loads {
			reg, ok := registrations[l.Upstream]
			if !ok {
				continue
			}
			t.Report(now, reg.Service, selection.Report{
				Upstream: l.Upstream, Flows: l.Flows, Running: l.Running, Queued: l.Queued, Healthy: l.Healthy, OwnedHere: ownUpstreams, At: l.At,
			})
		}
	})
}

// ownLoads returns the loads of the upstreams that this daemon owns. Other daemons do not see the
// upstreams' answers, so an upstream that this daemon's selection has ejected is reported as
// unhealthy.
func (d *Daemon) ownLoads(now time.Time) []registration.Load {
	var out []registration.Load
	loads := d.shards.Load().loads()
	d.datapath.opener.withTable(func(_ time.Time, t *selection.Table) {
		for _, l := range loads {
			s := d.sessions.find(l.Upstream)
			healthy := s != nil && s.healthy.Load() && s.connected.Load()
			out = append(out, registration.Load{
				Upstream: l.Upstream, Flows: l.Flows, Running: l.Running, Queued: l.Queued,
				Healthy: healthy && t.Serves(l.Service, l.Upstream), At: now,
			})
		}
	})
	return out
}

func (d *Daemon) countRefusedOpen(service ident.ServiceID, reason wirepb.Reason) {
	d.counters.add(owner.Count{Counter: owner.OpensRefused, Service: service, Reason: reason})
}

// Configure puts a configuration in force.
func (d *Daemon) Configure(cfg *config.Config) error {
	index, err := indexServices(cfg, d.datapath.clusterKey)
	if err != nil {
		return err
	}
	d.putInForce(index, owner.ServicesChanged{Services: index}, d.openSockets)
	return nil
}

// putInForce passes an index to the parts of the daemon. openSockets opens the sockets of its
// services.
func (d *Daemon) putInForce(index *serviceIndex, changed owner.ServicesChanged, openSockets func()) {
	d.services.Store(index)
	d.counters.setIndex(index)
	d.datapath.keys.Store(&keyRing{index.keys})
	if sh := d.shards.Load(); sh != nil {
		sh.broadcast(changed)
		sh.broadcast(owner.KeysChanged{Keys: index.keys})
	}
	select {
	case <-d.ready:
		openSockets()
	default:
	}
	// Registrations may have arrived before the configuration of their service.
	go d.cluster.call(d.ctx, func(time.Time) { d.cluster.assignment.connectHeld() })
	events.ConfigInForce.Log(d.log, logrus.Fields{"version": index.version, "digest": index.digest})
}

// configureChanges puts a configuration in force that differs from the present one only in the given
// services and in the token keys.
func (d *Daemon) configureChanges(index *serviceIndex, services []config.ServiceEntry) {
	ports := make(map[ident.ServiceID]uint16, len(services))
	changed := owner.ServicesChanged{Services: index, Changed: []ident.ServiceID{}}
	for _, e := range services {
		changed.Changed = append(changed.Changed, e.ID)
		ports[e.ID] = 0
		if e.Settings != nil {
			ports[e.ID] = e.Settings.Port
		}
	}
	d.putInForce(index, changed, func() { d.logSocketError(d.datapath.sockets.changePorts(ports)) })
}

const (
	drainPollPeriod   = 20 * time.Millisecond
	drainTimeout      = 2 * time.Minute
	drainLingerPeriod = 500 * time.Millisecond // late packets are still forwarded
)

// drain announces that the daemon leaves, then waits until every upstream is handed over and no
// request is running, for drainTimeout at most.
func (d *Daemon) drain() {
	events.DaemonStopping.Log(d.log, nil)
	d.cluster.call(d.ctx, func(now time.Time) { d.cluster.stepMembers(now, membership.Leave{}) })
	deadline := time.Now().Add(drainTimeout)
	for time.Now().Before(deadline) && d.ctx.Err() == nil && !d.isIdle() {
		time.Sleep(drainPollPeriod)
	}
	time.Sleep(drainLingerPeriod)
}

// isIdle reports whether no request is running and every upstream has been handed over. Without
// another serving daemon there is no handover to wait for.
func (d *Daemon) isIdle() bool {
	held, successor := 0, false
	d.cluster.call(d.ctx, func(time.Time) {
		held = len(d.cluster.assignment.heldUpstreams)
		for _, m := range d.cluster.view.Members {
			successor = successor || m.State == membership.Serving
		}
	})
	if held > 0 && successor {
		return false
	}
	running := 0
	d.shards.Load().inspect(func(c *owner.Core) { running += c.RunningCalls() })
	return running == 0 && d.pendingCompleted.Load() == 0
}

func newOpener(path *datapath, self membership.Member, near []string, refused func(ident.ServiceID, wirepb.Reason)) *opener {
	rng := rand.New(rand.NewPCG(uint64(self.ID), uint64(self.Incarnation)))
	table := selection.NewTable(ident.DataCentre(self.DataCentre), rng)
	nearIDs := make([]ident.DataCentreID, 0, len(near))
	for _, name := range near {
		nearIDs = append(nearIDs, ident.DataCentre(name))
	}
	table.SetNear(nearIDs)
	return &opener{datapath: path, countRefused: refused, table: table, search: newSearch()}
}

// Done returns a channel that is closed when the daemon stops.
func (d *Daemon) Done() <-chan struct{} { return d.ctx.Done() }
