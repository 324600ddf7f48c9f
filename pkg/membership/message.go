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
	// MaxAttachmentSize is the largest attachment of a Carry event in bytes.
	MaxAttachmentSize = MaxMessageSize - headerSize - fieldOverhead

	// headerSize bounds the fields other than updates, reachability, digests and attachment.
	headerSize = 64
	// fieldOverhead bounds the tag and length of one nested message.
	fieldOverhead = 4
	// retransmitFactor times the binary logarithm of the members is how often a daemon sends
	// a change.
	retransmitFactor = 2
	// maxQueue bounds the changes waiting for dissemination; digests repair what is dropped.
	maxQueue = 512
	// maxReceivedUpdates bounds the work for one message.
	maxReceivedUpdates = 200
)

// queue holds changes that ride on messages, least often sent first.
type queue struct {
	items   []queued
	centres []queuedCentre
}

type queued struct {
	record *record
	sent   int
}

type queuedCentre struct {
	centre *centre
	sent   int
}

func (q *queue) add(r *record) {
	q.items = slices.DeleteFunc(q.items, func(i queued) bool { return i.record == r })
	q.items = slices.Insert(q.items, 0, queued{record: r})
	if len(q.items) > maxQueue {
		q.items = q.items[:maxQueue]
	}
}

func (q *queue) addCentre(c *centre) {
	q.centres = slices.DeleteFunc(q.centres, func(i queuedCentre) bool { return i.centre == c })
	q.centres = append(q.centres, queuedCentre{centre: c})
}

// retransmits is how often one change is sent by each member that hears of it.
func (c *Core) retransmits() int {
	return retransmitFactor * bits.Len(uint(len(c.table.scope)))
}

// send completes a message with pending changes and the attachment and emits it.
func (c *Core) send(now time.Time, to *record, m *peerpb.Membership) {
	c.complete(now, to, m, nil)
	c.emit(to.PeerAddr, m)
}

// reply answers a message; correct lists members about which the sender is outdated.
func (c *Core) reply(now time.Time, address netip.AddrPort, to *record, m *peerpb.Membership, correct []*record) {
	c.complete(now, to, m, correct)
	c.emit(address, m)
}

func (c *Core) complete(now time.Time, to *record, m *peerpb.Membership, correct []*record) {
	room := MaxMessageSize - headerSize - digestSize(m)
	if to != nil && (to.suspect || !to.alive()) {
		room -= c.put(now, m, to, room, false)
	}
	for _, r := range correct {
		room -= c.put(now, m, r, room, true)
	}
	if to == nil {
		return
	}
	room -= c.putCentres(to, m)
	reserved := 0
	if c.cfg.Attachment != nil {
		reserved = min(room, c.cfg.AttachmentBudget)
	}
	c.putQueued(now, m, room-reserved)
	if reserved > fieldOverhead && m.Kind != peerpb.Membership_KIND_PROBE_REQUEST {
		m.Attachment = c.cfg.Attachment(now, to.Member, reserved-fieldOverhead)
	}
}

// put adds a member to a message unless it is in it or does not fit; it returns the bytes used.
func (c *Core) put(now time.Time, m *peerpb.Membership, r *record, room int, full bool) int {
	for _, u := range m.Updates {
		if u.Id == uint64(r.ID) {
			return 0
		}
	}
	u := encodeMember(now, r, full)
	size := proto.Size(u) + fieldOverhead
	if size > room {
		return 0
	}
	m.Updates = append(m.Updates, u)
	return size
}

func (c *Core) putQueued(now time.Time, m *peerpb.Membership, room int) {
	if len(c.queue.items) == 0 {
		return
	}
	limit := c.retransmits()
	for i := range c.queue.items {
		item := &c.queue.items[i]
		used := c.put(now, m, item.record, room, false)
		if used == 0 {
			continue
		}
		room -= used
		item.sent++
	}
	c.queue.items = slices.DeleteFunc(c.queue.items, func(i queued) bool { return i.sent >= limit })
	slices.SortStableFunc(c.queue.items, func(a, b queued) int { return a.sent - b.sent })
}

// putCentres adds changes of reachability; they concern only the own data centre.
func (c *Core) putCentres(to *record, m *peerpb.Membership) int {
	if len(c.queue.centres) == 0 || to.centre != c.table.own {
		return 0
	}
	before := len(m.Reachability)
	limit := c.retransmits()
	for i := range c.queue.centres {
		c.queue.centres[i].sent++
		m.Reachability = append(m.Reachability, encodeReachability(c.queue.centres[i].centre))
	}
	c.queue.centres = slices.DeleteFunc(c.queue.centres, func(i queuedCentre) bool { return i.sent >= limit })
	return (len(m.Reachability) - before) * reachabilitySize
}

// reachabilitySize bounds one encoded Reachability with tag and length.
const reachabilitySize = 16

func encodeReachability(c *centre) *peerpb.Reachability {
	return &peerpb.Reachability{DataCentre: uint32(c.id), Epoch: c.epoch, Unreachable: c.unreachable}
}

// encodeMember encodes a member. Suspicions and deaths need no address unless full is set.
func encodeMember(now time.Time, r *record, full bool) *peerpb.Member {
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
	if !full && (r.suspect || !r.alive()) {
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
	c.followPeriod(now, m.Period)
	correct := c.applyAll(now, m)
	r := c.table.records[ident.DaemonID(m.From)]
	if r == nil {
		c.introduce(now, from)
	} else {
		c.hear(now, r, m)
	}
	switch m.Kind {
	case peerpb.Membership_KIND_PROBE:
		c.onProbe(now, from, r, m, correct)
	case peerpb.Membership_KIND_PROBE_REQUEST:
		c.onProbeRequest(now, from, m)
	case peerpb.Membership_KIND_ACK:
		c.onAck(m)
	case peerpb.Membership_KIND_DIGEST:
		c.onDigest(now, from, r, m, correct)
	case peerpb.Membership_KIND_SYNC:
		c.onSync(now, from, r, m, correct)
	}
}

// introduceEvery is the least time between two messages to senders that are not known. Without it
// each of the up to three messages that such a sender answers with caused the next ones.
const introduceEvery = 100 * time.Millisecond

// introduce sends the daemon's own entry to a sender that is not known, which answers with its own.
func (c *Core) introduce(now time.Time, to netip.AddrPort) {
	if now.Before(c.nextIntro) {
		return
	}
	c.nextIntro = now.Add(introduceEvery)
	c.sendOwnEntry(to)
}

func (c *Core) applyAll(now time.Time, m *peerpb.Membership) []*record {
	var correct []*record
	for _, u := range m.Updates {
		if !validUpdate(u) {
			continue
		}
		if r := c.apply(now, u); r != nil {
			correct = append(correct, r)
		}
	}
	return correct
}

// hear notes a sign of life of a member and takes in what only known members may say.
func (c *Core) hear(now time.Time, r *record, m *peerpb.Membership) {
	r.heard = now
	r.centre.heard = now
	c.heard = now
	if c.probe.target == r {
		c.probe.acked = true
	}
	if r.centre == c.table.own {
		c.applyReachability(now, m.Reachability)
	}
	if len(m.Attachment) > 0 {
		c.out = append(c.out, Attached{From: r.ID, Data: m.Attachment})
	}
}
