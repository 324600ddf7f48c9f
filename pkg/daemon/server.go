package daemon

import (
	"context"
	"crypto/subtle"
	"io"
	"net/netip"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerpb "rosemarygate/api/peer/v1"
	upstreampb "rosemarygate/api/upstream/v1"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/membership"
	"rosemarygate/pkg/owner"
	"rosemarygate/pkg/registration"
)

// registry serves upstreams' announcements, and those that other daemons pass on.
type registry struct {
	upstreampb.UnimplementedRegistryServer
	d *Daemon
}

// Announce makes or renews a lease at the upstream's owner.
func (r *registry) Announce(ctx context.Context, q *upstreampb.AnnounceRequest) (*upstreampb.AnnounceReply, error) {
	return r.d.announce(ctx, q, true)
}

// Withdraw ends a lease at the upstream's owner.
func (r *registry) Withdraw(ctx context.Context, q *upstreampb.WithdrawRequest) (*upstreampb.WithdrawReply, error) {
	return r.d.withdraw(ctx, q, true)
}

// announce registers an upstream here, or passes the announcement to its owner once.
func (d *Daemon) announce(ctx context.Context, q *upstreampb.AnnounceRequest, mayPass bool) (*upstreampb.AnnounceReply, error) {
	reg, err := d.registrationOf(q)
	if err != nil {
		return nil, err
	}
	var answer registration.Answer
	if !d.cluster.call(ctx, func(now time.Time) {
		reg.Since = now
		answer = d.cluster.stepRegistrations(now, registration.Announced{Registration: reg})
	}) {
		return nil, status.Error(codes.Unavailable, "daemon is stopping: announce to another daemon")
	}
	switch {
	case answer.Refused == registration.NotOwner && mayPass:
		return d.peers.announce(ctx, answer.Owner, q)
	case answer.Refused != 0:
		return nil, status.Errorf(codes.FailedPrecondition,
			"announcement refused (%s): announce again, or start the upstream with a new incarnation", answer.Refused)
	}
	return &upstreampb.AnnounceReply{
		LeaseMs: uint32(answer.Lease.Milliseconds()), RenewMs: uint32(answer.Renew.Milliseconds()), Owner: answer.Owner.Name,
	}, nil
}

// registrationOf checks an announcement against the configuration.
func (d *Daemon) registrationOf(q *upstreampb.AnnounceRequest) (registration.Registration, error) {
	none := registration.Registration{}
	svc := d.services.Load().byName(q.Service)
	if svc == nil {
		return none, status.Errorf(codes.NotFound, "service %q is not configured: correct the name or add the service", q.Service)
	}
	if subtle.ConstantTimeCompare([]byte(q.Credential), []byte(svc.Settings.Credential)) != 1 {
		return none, status.Errorf(codes.PermissionDenied, "credential does not match service %q: use the one of the configuration", q.Service)
	}
	addr, err := netip.ParseAddrPort(q.Address)
	if err != nil {
		return none, status.Errorf(codes.InvalidArgument, "address %q is not IP:port: announce the address that the upstream listens on", q.Address)
	}
	slots, limit := int(q.Slots), int(q.FlowLimit)
	if slots == 0 {
		slots = svc.Settings.Slots
	}
	if limit == 0 {
		limit = svc.Settings.FlowLimit
	}
	return registration.Registration{
		Service: svc.ID, Upstream: ident.Upstream(q.Service, q.DataCentre, q.Upstream),
		Name: q.Upstream, DataCentre: q.DataCentre, Incarnation: ident.Incarnation(q.Incarnation),
		Addr: addr, Slots: slots, FlowLimit: limit, Draining: q.Draining,
	}, nil
}

func (d *Daemon) withdraw(ctx context.Context, q *upstreampb.WithdrawRequest, mayPass bool) (*upstreampb.WithdrawReply, error) {
	svc := d.services.Load().byName(q.Service)
	if svc == nil || subtle.ConstantTimeCompare([]byte(q.Credential), []byte(svc.Settings.Credential)) != 1 {
		return nil, status.Errorf(codes.PermissionDenied, "credential does not match service %q: use the one of the configuration", q.Service)
	}
	var answer registration.Answer
	if !d.cluster.call(ctx, func(now time.Time) {
		answer = d.cluster.stepRegistrations(now, registration.Withdraw{
			Upstream:   ident.Upstream(q.Service, q.DataCentre, q.Upstream),
			DataCentre: q.DataCentre, Incarnation: ident.Incarnation(q.Incarnation),
		})
	}) {
		return nil, status.Error(codes.Unavailable, "daemon is stopping: withdraw at another daemon")
	}
	switch {
	case answer.Refused == registration.NotOwner && mayPass:
		return d.peers.withdraw(ctx, answer.Owner, q)
	case answer.Refused != 0:
		return nil, status.Errorf(codes.FailedPrecondition, "withdrawal refused (%s): withdraw the running incarnation", answer.Refused)
	}
	return &upstreampb.WithdrawReply{}, nil
}

// peerServer serves other daemons.
type peerServer struct {
	peerpb.UnimplementedPeerServer
	d *Daemon
}

// Announce takes an announcement that another daemon passed on.
func (p *peerServer) Announce(ctx context.Context, q *upstreampb.AnnounceRequest) (*upstreampb.AnnounceReply, error) {
	return p.d.announce(ctx, q, false)
}

// Withdraw takes a withdrawal that another daemon passed on.
func (p *peerServer) Withdraw(ctx context.Context, q *upstreampb.WithdrawRequest) (*upstreampb.WithdrawReply, error) {
	return p.d.withdraw(ctx, q, false)
}

const maxHandoverChunks = 4096

// Handover installs a predecessor's flows; the reply says that they are installed.
func (p *peerServer) Handover(stream grpc.ClientStreamingServer[peerpb.HandoverChunk, peerpb.HandoverReply]) error {
	var chunks []*peerpb.HandoverChunk
	for {
		ch, err := stream.Recv()
		if err == io.EOF {
			return status.Error(codes.InvalidArgument, "handover ended before its last chunk: send it again")
		}
		if err != nil {
			return err
		}
		chunks = append(chunks, ch)
		if ch.Last {
			break
		}
		if len(chunks) > maxHandoverChunks {
			return status.Errorf(codes.ResourceExhausted, "handover has more than %d chunks: raise the flows of a chunk", maxHandoverChunks)
		}
	}
	if err := p.d.install(stream.Context(), chunks); err != nil {
		return err
	}
	return stream.SendAndClose(&peerpb.HandoverReply{})
}

// Completed takes the end of a request that ran at the predecessor.
func (p *peerServer) Completed(_ context.Context, q *peerpb.CompletedRequest) (*peerpb.CompletedReply, error) {
	if q.Record == nil {
		return nil, status.Error(codes.InvalidArgument, "completed request has no record: run the same release on every daemon")
	}
	p.d.shards.Load().postWait(ident.UpstreamID(q.Upstream), owner.CompletedReceived{Request: q})
	return &peerpb.CompletedReply{}, nil
}

// install gives a handover to the owner core and takes the upstream over.
func (d *Daemon) install(ctx context.Context, chunks []*peerpb.HandoverChunk) error {
	sh := d.shards.Load()
	if sh == nil {
		return status.Error(codes.Unavailable, "daemon has not joined yet: hand over again later")
	}
	first := chunks[0]
	if first.Registration == nil {
		return status.Error(codes.InvalidArgument, "handover has no registration: run the same release on every daemon")
	}
	reg, err := d.registrationOf(first.Registration)
	if err != nil {
		return err
	}
	if !d.awaitOwnership(ctx, reg) {
		return status.Error(codes.FailedPrecondition, "daemon does not own the upstream: hand over again when the member lists agree")
	}
	sh.postWait(reg.Upstream, owner.HandoverReceived{Chunks: chunks})
	if !d.cluster.call(ctx, func(time.Time) { d.cluster.assign.received(reg) }) {
		return status.Error(codes.Unavailable, "daemon is stopping: hand over to the next owner")
	}
	return nil
}

const (
	// ownershipWait is how long a handover waits for this daemon's member list to agree
	// with that of the predecessor, which learns of its own change first.
	ownershipWait = time.Second
	ownershipPoll = 10 * time.Millisecond
)

// awaitOwnership waits until the member list makes this daemon the upstream's owner. The
// predecessor's upstream is frozen meanwhile, so an immediate refusal would add the time
// until its next try.
func (d *Daemon) awaitOwnership(ctx context.Context, reg registration.Registration) bool {
	deadline := time.Now().Add(ownershipWait)
	for {
		owned := false
		if !d.cluster.call(ctx, func(time.Time) { owned = d.cluster.ownsUpstream(reg) }) {
			return false
		}
		if owned || time.Now().After(deadline) {
			return owned
		}
		select {
		case <-time.After(ownershipPoll):
		case <-ctx.Done():
			return false
		}
	}
}

// ownsUpstream reports whether the present view makes this daemon the upstream's owner.
func (c *cluster) ownsUpstream(reg registration.Registration) bool {
	if c.assign.current == nil {
		return false
	}
	m, ok := c.assign.current.Owner(reg.DataCentre, reg.Upstream)
	return ok && m.ID == c.assign.self.ID
}

// member returns a member that has not been found dead.
func (c *cluster) member(id ident.DaemonID) (membership.Member, bool) {
	if c.view == nil {
		return membership.Member{}, false
	}
	m, ok := c.view.Find(id)
	return m, ok && m.State != membership.Dead
}
