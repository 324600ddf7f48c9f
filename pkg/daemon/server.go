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

// registry is the gRPC service through which upstreams register.
type registry struct {
	upstreampb.UnimplementedRegistryServer
	daemon *Daemon
}

// Announce creates or renews a lease at the upstream's owner.
func (r *registry) Announce(ctx context.Context, q *upstreampb.AnnounceRequest) (*upstreampb.AnnounceReply, error) {
	return r.daemon.announce(ctx, q, true)
}

// Withdraw ends a lease at the upstream's owner.
func (r *registry) Withdraw(ctx context.Context, q *upstreampb.WithdrawRequest) (*upstreampb.WithdrawReply, error) {
	return r.daemon.withdraw(ctx, q, true)
}

// announce registers an upstream here or, when mayForward is set, forwards the announcement to the
// upstream's owner.
func (d *Daemon) announce(ctx context.Context, q *upstreampb.AnnounceRequest, mayForward bool) (*upstreampb.AnnounceReply, error) {
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
	case answer.Refusal == registration.NotOwner && mayForward:
		return d.peers.announce(ctx, answer.Owner, q)
	case answer.Refusal != 0:
		return nil, status.Errorf(codes.FailedPrecondition,
			"announcement refused (%s): announce again, or start the upstream with a new incarnation", answer.Refusal)
	}
	return &upstreampb.AnnounceReply{
		LeaseMs: uint32(answer.LeaseDuration.Milliseconds()), RenewMs: uint32(answer.RenewInterval.Milliseconds()), Owner: answer.Owner.Name,
	}, nil
}

// registrationOf checks an announcement against the configuration and returns its registration.
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

func (d *Daemon) withdraw(ctx context.Context, q *upstreampb.WithdrawRequest, mayForward bool) (*upstreampb.WithdrawReply, error) {
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
	case answer.Refusal == registration.NotOwner && mayForward:
		return d.peers.withdraw(ctx, answer.Owner, q)
	case answer.Refusal != 0:
		return nil, status.Errorf(codes.FailedPrecondition, "withdrawal refused (%s): withdraw the running incarnation", answer.Refusal)
	}
	return &upstreampb.WithdrawReply{}, nil
}

// peerServer is the gRPC service for other daemons.
type peerServer struct {
	peerpb.UnimplementedPeerServer
	daemon *Daemon
}

// Announce handles an announcement that another daemon forwarded.
func (p *peerServer) Announce(ctx context.Context, q *upstreampb.AnnounceRequest) (*upstreampb.AnnounceReply, error) {
	return p.daemon.announce(ctx, q, false)
}

// Withdraw handles a withdrawal that another daemon forwarded.
func (p *peerServer) Withdraw(ctx context.Context, q *upstreampb.WithdrawRequest) (*upstreampb.WithdrawReply, error) {
	return p.daemon.withdraw(ctx, q, false)
}

const maxHandoverChunks = 4096

// Handover installs a predecessor's flows. It replies when they are installed.
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
			return status.Errorf(codes.ResourceExhausted, "handover has more than %d chunks: raise the number of flows in a chunk", maxHandoverChunks)
		}
	}
	if err := p.daemon.installHandover(stream.Context(), chunks); err != nil {
		return err
	}
	return stream.SendAndClose(&peerpb.HandoverReply{})
}

// Completed handles the result of a request that was running at the predecessor.
func (p *peerServer) Completed(_ context.Context, q *peerpb.CompletedRequest) (*peerpb.CompletedReply, error) {
	if q.Record == nil {
		return nil, status.Error(codes.InvalidArgument, "completed request has no record: run the same release on every daemon")
	}
	p.daemon.shards.Load().postWait(ident.UpstreamID(q.Upstream), owner.CompletedReceived{Request: q})
	return &peerpb.CompletedReply{}, nil
}

// installHandover passes a handover to the owner core and takes over its upstream.
func (d *Daemon) installHandover(ctx context.Context, chunks []*peerpb.HandoverChunk) error {
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
	if !d.cluster.call(ctx, func(time.Time) { d.cluster.assignment.handoverReceived(reg) }) {
		return status.Error(codes.Unavailable, "daemon is stopping: hand over to the next owner")
	}
	return nil
}

const (
	// ownershipTimeout is how long a handover waits until this daemon's member list agrees with that
	// of the predecessor, whose own change of state reaches this daemon later.
	ownershipTimeout    = time.Second
	ownershipPollPeriod = 10 * time.Millisecond
)

// awaitOwnership waits until the member list makes this daemon the upstream's owner. The upstream
// is frozen during a handover, and an immediate refusal would prolong that by the time until the
// predecessor's next attempt.
func (d *Daemon) awaitOwnership(ctx context.Context, reg registration.Registration) bool {
	deadline := time.Now().Add(ownershipTimeout)
	for {
		owned := false
		if !d.cluster.call(ctx, func(time.Time) { owned = d.cluster.ownsUpstream(reg) }) {
			return false
		}
		if owned || time.Now().After(deadline) {
			return owned
		}
		select {
		case <-time.After(ownershipPollPeriod):
		case <-ctx.Done():
			return false
		}
	}
}

// ownsUpstream reports whether the present view makes this daemon the upstream's owner.
func (c *cluster) ownsUpstream(reg registration.Registration) bool {
	if c.assignment.currentTable == nil {
		return false
	}
	m, ok := c.assignment.currentTable.Owner(reg.DataCentre, reg.Upstream)
	return ok && m.ID == c.assignment.self.ID
}

// liveMember returns a member; it reports false when the member is unknown or dead.
func (c *cluster) liveMember(id ident.DaemonID) (membership.Member, bool) {
	if c.view == nil {
		return membership.Member{}, false
	}
	m, ok := c.view.Find(id)
	return m, ok && m.State != membership.Dead
}
