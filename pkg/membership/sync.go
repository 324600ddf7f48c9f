package membership

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"rosemarygate/api/peer/v1"
	"rosemarygate/pkg/ident"
)

const (
	// joinEvery is how often a joining daemon asks a peer for its list.
	joinEvery = 200 * time.Millisecond
	// seedEvery times SyncEvery a digest goes to a seed, which reconnects parts of a fleet
	// that have forgotten each other.
	seedEvery = 3
	// maxBucketDigests of 256 bytes fit into one message.
	maxBucketDigests = 3
	// maxDigests and maxReachability bound the data centres in one message.
	maxDigests      = 36
	maxReachability = 16
	// maxSyncPages bounds the messages of one answer; further digests fetch the rest.
	maxSyncPages = 8
	digestEntry  = 32 // bytes of one encoded Digest without buckets, at most
)

func digestSize(m *peerpb.Membership) int {
	size := 0
	for _, d := range m.Digests {
		size += digestEntry + len(d.Buckets)
	}
	return size + len(m.Reachability)*reachabilitySize
}

// stepSync compares lists with a random peer, often while joining and rarely afterwards.
func (c *Core) stepSync(now time.Time) {
	c.checkJoin(now)
	if now.Before(c.nextSync) {
		return
	}
	if !c.joined {
		c.nextSync = now.Add(joinEvery)
		c.askToJoin(now)
		return
	}
	c.nextSync = now.Add(c.cfg.SyncEvery/2 + c.jitter(c.cfg.SyncEvery))
	if len(c.cfg.Seeds) > 0 && c.rng.IntN(seedEvery) == 0 {
		c.sendOwnEntry(c.cfg.Seeds[c.rng.IntN(len(c.cfg.Seeds))])
		return
	}
	for _, r := range c.pick(1) {
		c.reply(now, r.PeerAddr, r, c.fullDigest(), nil)
	}
}

func (c *Core) askToJoin(now time.Time) {
	for _, r := range c.pick(1) {
		c.reply(now, r.PeerAddr, r, c.fullDigest(), []*record{c.self})
	}
	if len(c.cfg.Seeds) > 0 {
		c.sendOwnEntry(c.cfg.Seeds[c.rng.IntN(len(c.cfg.Seeds))])
	}
}

// sendOwnEntry sends the daemon's own entry and digests to an address.
func (c *Core) sendOwnEntry(to netip.AddrPort) {
	if to == c.self.PeerAddr {
		return
	}
	m := c.fullDigest()
	m.Updates = append(m.Updates, encodeMember(c.lastTick, c.self, true))
	c.emit(to, m)
}

// checkJoin ends joining after JoinTimeout when no joined peer answered.
func (c *Core) checkJoin(now time.Time) {
	if c.joined {
		return
	}
	wait := c.cfg.JoinTimeout
	if c.knowsJoined() {
		wait *= joinPatience
	}
	if now.Sub(c.started) >= wait {
		c.join(len(c.table.scope) < 2)
	}
}

// knowsJoined tells whether a member past joining is listed.
func (c *Core) knowsJoined() bool {
	for _, r := range c.table.scope {
		if r != c.self && r.State != Joining {
			return true
		}
	}
	return false
}

func (c *Core) join(alone bool) {
	c.joined = true
	c.nextSync = c.lastTick.Add(c.jitter(c.cfg.SyncEvery))
	c.queue.add(c.self)
	c.out = append(c.out, Joined{Alone: alone})
}

func (c *Core) fullDigest() *peerpb.Membership {
	m := &peerpb.Membership{Kind: peerpb.Membership_KIND_DIGEST, Answer: true}
	list := c.table.list
	start := c.rng.IntN(len(list))
	for i := range min(len(list), maxDigests) {
		centre := list[(start+i)%len(list)]
		m.Digests = append(m.Digests, &peerpb.Digest{DataCentre: uint32(centre.id), Sum: centre.sum})
		if centre.epoch > 0 && len(m.Reachability) < maxReachability {
			m.Reachability = append(m.Reachability, encodeReachability(centre))
		}
	}
	return m
}

func (c *Core) onDigest(now time.Time, from netip.AddrPort, r *record, m *peerpb.Membership, correct []*record) {
	if len(m.Digests) > maxReceivedUpdates {
		return
	}
	if introduces(m) {
		correct = append(correct, c.self)
	}
	answer := &peerpb.Membership{Kind: peerpb.Membership_KIND_DIGEST}
	detailed := 0
	for _, d := range m.Digests {
		equal := r != nil && r.centre.id == ident.DataCentreID(d.DataCentre)
		detailed += c.compare(now, from, d, answer, detailed, equal)
	}
	if r != nil && (r.centre == c.table.own || r.State == Joining) && m.Answer {
		c.addMissing(m, answer, detailed)
	}
	if m.Answer || detailed > 0 {
		c.reply(now, from, r, answer, correct)
	}
	c.noticeAgreement(r, m)
}

// introduces tells whether a digest carries the sender's own entry: the sender is joining, or does
// not know this daemon.
func introduces(m *peerpb.Membership) bool {
	return slices.ContainsFunc(m.Updates, func(u *peerpb.Member) bool { return u.GetId() == m.From && u.Name != "" })
}

// compare adds this daemon's digest of a data centre to the answer, with buckets where the
// sums differ, and sends the members of buckets that differ. An equal sum is added on request.
func (c *Core) compare(now time.Time, from netip.AddrPort, d *peerpb.Digest, answer *peerpb.Membership, detailed int, equal bool) int {
	own := c.table.centres[ident.DataCentreID(d.DataCentre)]
	if own == nil {
		own = &centre{id: ident.DataCentreID(d.DataCentre)}
	}
	entry := &peerpb.Digest{DataCentre: d.DataCentre, Sum: own.sum}
	if own.sum == d.Sum && !equal {
		return 0
	}
	if own.sum == d.Sum {
		answer.Digests = append(answer.Digests, entry)
		return 0
	}
	if len(d.Buckets) == bucketCount*4 {
		mask := own.differing(d.Buckets)
		c.sendBuckets(now, from, own, mask, true)
		return 0
	}
	if detailed >= maxBucketDigests {
		return 0
	}
	entry.Buckets = own.encodeBuckets()
	answer.Digests = append(answer.Digests, entry)
	return 1
}

// addMissing adds data centres of which the sender knows nothing.
func (c *Core) addMissing(m, answer *peerpb.Membership, detailed int) {
	named := make(map[uint32]bool, len(m.Digests))
	for _, d := range m.Digests {
		named[d.DataCentre] = true
	}
	for _, own := range c.table.list {
		id := own.id
		if named[uint32(id)] || own.sum == 0 || detailed >= maxBucketDigests {
			continue
		}
		detailed++
		answer.Digests = append(answer.Digests, &peerpb.Digest{DataCentre: uint32(id), Sum: own.sum, Buckets: own.encodeBuckets()})
	}
}

// noticeAgreement ends joining when a joined peer has the same list of the data centre.
func (c *Core) noticeAgreement(r *record, m *peerpb.Membership) {
	if c.joined || r == nil || r.State == Joining {
		return
	}
	for _, d := range m.Digests {
		if ident.DataCentreID(d.DataCentre) == c.table.own.id && d.Sum == c.table.own.sum {
			c.join(false)
			return
		}
	}
}

func (c *centre) encodeBuckets() []byte {
	b := make([]byte, 0, bucketCount*4)
	for _, sum := range c.buckets {
		b = binary.LittleEndian.AppendUint32(b, sum)
	}
	return b
}

func (c *centre) differing(buckets []byte) uint64 {
	var mask uint64
	for i, sum := range c.buckets {
		if binary.LittleEndian.Uint32(buckets[i*4:]) != sum {
			mask |= 1 << i
		}
	}
	return mask
}

// sendBuckets sends the members of the buckets in mask, in at most maxSyncPages messages. The
// first one asks for the receiver's members of the same buckets when pull is set.
func (c *Core) sendBuckets(now time.Time, to netip.AddrPort, own *centre, mask uint64, pull bool) {
	page := func() *peerpb.Membership { return &peerpb.Membership{Kind: peerpb.Membership_KIND_SYNC} }
	m := page()
	m.Pull = pull
	m.Digests = []*peerpb.Digest{{DataCentre: uint32(own.id), Mask: mask}}
	room := MaxMessageSize - headerSize - digestEntry
	pages := 1
	// The random start lets repeated exchanges get past the first pages.
	start := 0
	if len(own.records) > 0 {
		start = c.rng.IntN(len(own.records))
	}
	for i := range own.records {
		r := own.records[(start+i)%len(own.records)]
		if mask&(1<<(r.ID>>bucketShift)) == 0 {
			continue
		}
		u := encodeMember(now, r, r.alive())
		size := proto.Size(u) + fieldOverhead
		if size > room {
			c.emit(to, m)
			if pages == maxSyncPages {
				return
			}
			pages++
			m = page()
			room = MaxMessageSize - headerSize
		}
		m.Updates = append(m.Updates, u)
		room -= size
	}
	c.emit(to, m)
}

// onSync answers a list of members. Entries that are outdated are corrected: the digests of a data
// centre would differ forever when only this daemon knows of a member's death, and not its data
// centre. A correction is a larger statement, so corrections of corrections end.
func (c *Core) onSync(now time.Time, from netip.AddrPort, r *record, m *peerpb.Membership, correct []*record) {
	if !c.joined {
		c.nextSync = now
	}
	if len(correct) > 0 {
		c.reply(now, from, r, &peerpb.Membership{Kind: peerpb.Membership_KIND_SYNC}, correct)
	}
	if !m.Pull {
		return
	}
	for _, d := range m.Digests {
		if own := c.table.centres[ident.DataCentreID(d.DataCentre)]; own != nil {
			c.sendBuckets(now, from, own, d.Mask, false)
			return
		}
	}
}
