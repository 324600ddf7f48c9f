package membership

import (
	"math"
	"math/bits"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"rosemarygate/api/peer/v1"
	"rosemarygate/pkg/ident"
)

// MaxMessageSize is the largest encoded message in bytes.
const MaxMessageSize = 1400

const (
	// MaxAttachmentSize is the largest attachment that is sent in a message of its own, in bytes.
	MaxAttachmentSize = MaxMessageSize - headerSize - fieldOverhead

	// headerSize bounds the size of the fields other than updates, reachability, digests and
	// attachment.
	headerSize = 64
	// fieldOverhead bounds the size of the tag and length of one nested message.
	fieldOverhead = 4
	// retransmitFactor times the binary logarithm of the number of members is how often a daemon
	// sends a change.
	retransmitFactor = 2
	// maxQueue bounds the changes waiting for dissemination; the exchange of digests repairs what
	// is dropped.
	maxQueue = 512
	// maxReceivedUpdates bounds the work caused by one message.
	maxReceivedUpdates = 200
)

// changeQueue holds changes to be piggybacked on messages. Members are ordered by how often they
// were sent, the least often sent first.
type changeQueue struct {
	members []queuedMember
	centres []queuedCentre
}

type queuedMember struct {
	record    *record
	sentCount int
}

type queuedCentre struct {
	centre    *centre
	sentCount int
}

func (q *changeQueue) add(r *record) {
	q.members = slices.DeleteFunc(q.members, func(i queuedMember) bool { return i.record == r })
	q.members = slices.Insert(q.members, 0, queuedMember{record: r})
	if len(q.members) > maxQueue {
		q.members = q.members[:maxQueue]
	}
}

func (q *changeQueue) addCentre(c *centre) {
	q.centres = slices.DeleteFunc(q.centres, func(i queuedCentre) bool { return i.centre == c })
	q.centres = append(q.centres, queuedCentre{centre: c})
}

// retransmits returns how often each member sends a change that it received.
func (c *Core) retransmits() int {
	return retransmitFactor * bits.Len(uint(len(c.table.probeScope)))
}

// send adds pending changes and the attachment to a message and emits it.
func (c *Core) send(now time.Time, to *record, m *peerpb.Membership) {
	c.fillMessage(now, to, m, nil)
	c.emit(to.PeerAddr, m)
}

// reply answers a message; corrections are the records of which the sender has an outdated entry.
func (c *Core) reply(now time.Time, address netip.AddrPort, to *record, m *peerpb.Membership, corrections []*record) {
	c.fillMessage(now, to, m, corrections)
	c.emit(address, m)
}

func (c *Core) fillMessage(now time.Time, to *record, m *peerpb.Membership, corrections []*record) {
	remaining := MaxMessageSize - headerSize - digestSize(m)
	if to != nil && (to.suspect || !to.alive()) {
		remaining -= c.putMember(now, m, to, remaining, false)
	}
	for _, r := range corrections {
		remaining -= c.putMember(now, m, r, remaining, true)
	}
	if to == nil {
		return
	}
	remaining -= c.putReachability(to, m)
	reserved := 0
	if c.cfg.Attachment != nil {
		reserved = min(remaining, c.cfg.AttachmentBudget)
	}
	c.putQueuedChanges(now, m, remaining-reserved)
	if reserved > fieldOverhead && m.Kind != peerpb.Membership_KIND_PROBE_REQUEST {
		m.Attachment = c.cfg.Attachment(now, to.Member, reserved-fieldOverhead)
	}
}

// putMember adds a member to a message unless it is already contained or does not fit. It returns
// the number of bytes used.
func (c *Core) putMember(now time.Time, m *peerpb.Membership, r *record, remaining int, withDescription bool) int {
	for _, u := range m.Updates {
		if u.Id == uint64(r.ID) {
			return 0
		}
	}
	u := encodeMember(now, r, withDescription)
	size := proto.Size(u) + fieldOverhead
	if size > remaining {
		return 0
	}
	m.Updates = append(m.Updates, u)
	return size
}

func (c *Core) putQueuedChanges(now time.Time, m *peerpb.Membership, remaining int) {
	if len(c.queue.members) == 0 {
		return
	}
	limit := c.retransmits()
	for i := range c.queue.members {
		item := &c.queue.members[i]
		used := c.putMember(now, m, item.record, remaining, false)
		if used == 0 {
			continue
		}
		remaining -= used
		item.sentCount++
	}
	c.queue.members = slices.DeleteFunc(c.queue.members, func(i queuedMember) bool { return i.sentCount >= limit })
	slices.SortStableFunc(c.queue.members, func(a, b queuedMember) int { return a.sentCount - b.sentCount })
}

// putReachability adds changes of reachability; they are sent only within this data centre.
func (c *Core) putReachability(to *record, m *peerpb.Membership) int {
	if len(c.queue.centres) == 0 || to.centre != c.table.ownCentre {
		return 0
	}
	before := len(m.Reachability)
	limit := c.retransmits()
	for i := range c.queue.centres {
		c.queue.centres[i].sentCount++
		m.Reachability = append(m.Reachability, encodeReachability(c.queue.centres[i].centre))
	}
	c.queue.centres = slices.DeleteFunc(c.queue.centres, func(i queuedCentre) bool { return i.sentCount >= limit })
	return (len(m.Reachability) - before) * reachabilitySize
}

// reachabilitySize bounds the size of one encoded Reachability with tag and length.
const reachabilitySize = 16

func encodeReachability(c *centre) *peerpb.Reachability {
	return &peerpb.Reachability{DataCentre: uint32(c.id), Epoch: c.epoch, Unreachable: c.unreachable}
}

// encodeMember encodes a member. Suspicions and deaths are sent without names and addresses
// unless withDescription is set.
func encodeMember(now time.Time, r *record, withDescription bool) *peerpb.Member {
	u := &peerpb.Member{
		Id:          uint64(r.ID),
		Incarnation: uint64(r.Incarnation),
		Revision:    r.Revision,
		State:       peerpb.MemberState(r.State),
	}
	if r.suspect {
		u.State = peerpb.MemberState_MEMBER_STATE_SUSPECT
		u.SuspicionMs = uint32(min(now.Sub(r.suspectSince).Milliseconds(), math.MaxUint32))
	}
	if !withDescription && (r.suspect || !r.alive()) {
		return u
	}
	u.Name = r.Name
	u.DataCentre = r.DataCentre
	u.PeerAddress = encodeAddress(r.PeerAddr)
	u.GrpcAddress = encodeAddress(r.GRPCAddr)
	return u
}

func encodeAddress(a netip.AddrPort) []byte {
	b, err := a.MarshalBinary()
	if err != nil {
		return nil
	}
	return b
}

func (c *Core) receive(now time.Time, from netip.AddrPort, m *peerpb.Membership) {
	if m == nil || ident.DaemonID(m.From) == c.self.ID || len(m.Updates) > maxReceivedUpdates {
		return
	}
	c.advancePeriod(now, m.Period)
	corrections := c.applyAll(now, m)
	r := c.table.records[ident.DaemonID(m.From)]
	if r == nil {
		c.introduce(now, from)
	} else {
		c.recordReceived(now, r, m)
	}
	switch m.Kind {
	case peerpb.Membership_KIND_PROBE:
		c.onProbe(now, from, r, m, corrections)
	case peerpb.Membership_KIND_PROBE_REQUEST:
		c.onProbeRequest(now, from, m)
	case peerpb.Membership_KIND_ACK:
		c.onAck(m)
	case peerpb.Membership_KIND_DIGEST:
		c.onDigest(now, from, r, m, corrections)
	case peerpb.Membership_KIND_SYNC:
		c.onSync(now, from, r, m, corrections)
	}
}

// introduceEvery is the least time between two messages to unknown senders. Without it each of
// the up to three messages with which such a sender answers would cause further ones.
const introduceEvery = 100 * time.Millisecond

// introduce sends this daemon's entry to an unknown sender, which answers with its own.
func (c *Core) introduce(now time.Time, to netip.AddrPort) {
	if now.Before(c.nextIntroduction) {
		return
	}
	c.nextIntroduction = now.Add(introduceEvery)
	c.sendOwnEntry(to)
}

func (c *Core) applyAll(now time.Time, m *peerpb.Membership) []*record {
	var corrections []*record
	for _, u := range m.Updates {
		if !validUpdate(u) {
			continue
		}
		if r := c.apply(now, u); r != nil {
			corrections = append(corrections, r)
		}
	}
	return corrections
}

// recordReceived records that a message arrived from a member, and processes the fields that are
// accepted only from members in the table.
func (c *Core) recordReceived(now time.Time, r *record, m *peerpb.Membership) {
	r.lastReceived = now
	r.centre.lastReceived = now
	c.lastReceived = now
	if c.probe.target == r {
		c.probe.acked = true
	}
	if r.centre == c.table.ownCentre {
		c.applyReachability(now, m.Reachability)
	}
	if len(m.Attachment) > 0 {
		c.actions = append(c.actions, AttachmentReceived{From: r.ID, Data: m.Attachment})
	}
}
