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
	// joinEvery is the interval at which a joining daemon requests the list of a peer.
	joinEvery = 200 * time.Millisecond
	// seedSyncFactor times SyncEvery is the mean interval of digests to a seed, which reconnect
	// parts of a fleet that no longer list each other.
	seedSyncFactor = 3
	// maxBucketDigests bounds the digests with bucket checksums in one message; each has 256
	// bytes of them.
	maxBucketDigests = 3
	// maxDigests and maxReachability bound the data centres in one message.
	maxDigests      = 36
	maxReachability = 16
	// maxSyncPages bounds the messages of one answer; later exchanges of digests fetch the other
	// members.
	maxSyncPages  = 8
	maxDigestSize = 32 // upper bound of one encoded Digest without buckets, in bytes
)

func digestSize(m *peerpb.Membership) int {
	size := 0
	for _, d := range m.Digests {
		size += maxDigestSize + len(d.Buckets)
	}
	return size + len(m.Reachability)*reachabilitySize
}

// stepSync compares lists with a random peer, frequently while joining and rarely afterwards.
func (c *Core) stepSync(now time.Time) {
	c.checkJoin(now)
	if now.Before(c.nextSync) {
		return
	}
	if !c.joined {
		c.nextSync = now.Add(joinEvery)
		c.requestJoin(now)
		return
	}
	c.nextSync = now.Add(c.cfg.SyncEvery/2 + c.jitter(c.cfg.SyncEvery))
	if len(c.cfg.Seeds) > 0 && c.rng.IntN(seedSyncFactor) == 0 {
		c.sendOwnEntry(c.cfg.Seeds[c.rng.IntN(len(c.cfg.Seeds))])
		return
	}
	for _, r := range c.pickRandom(1) {
		c.reply(now, r.PeerAddr, r, c.fullDigest(), nil)
	}
}

func (c *Core) requestJoin(now time.Time) {
	for _, r := range c.pickRandom(1) {
		c.reply(now, r.PeerAddr, r, c.fullDigest(), []*record{c.self})
	}
	if len(c.cfg.Seeds) > 0 {
		c.sendOwnEntry(c.cfg.Seeds[c.rng.IntN(len(c.cfg.Seeds))])
	}
}

// sendOwnEntry sends this daemon's entry and digests to an address.
func (c *Core) sendOwnEntry(to netip.AddrPort) {
	if to == c.self.PeerAddr {
		return
	}
	m := c.fullDigest()
	m.Updates = append(m.Updates, encodeMember(c.lastTick, c.self, true))
	c.emit(to, m)
}

// checkJoin ends joining after JoinTimeout, or after joinTimeoutFactor times as long if a joined
// peer is listed.
func (c *Core) checkJoin(now time.Time) {
	if c.joined {
		return
	}
	timeout := c.cfg.JoinTimeout
	if c.hasJoinedPeer() {
		timeout *= joinTimeoutFactor
	}
	if now.Sub(c.started) >= timeout {
		c.finishJoin(len(c.table.probeScope) < 2)
	}
}

// hasJoinedPeer reports whether another member that has finished joining is listed.
func (c *Core) hasJoinedPeer() bool {
	for _, r := range c.table.probeScope {
		if r != c.self && r.State != Joining {
			return true
		}
	}
	return false
}

func (c *Core) finishJoin(alone bool) {
	c.joined = true
	c.nextSync = c.lastTick.Add(c.jitter(c.cfg.SyncEvery))
	c.queue.add(c.self)
	c.actions = append(c.actions, Joined{Alone: alone})
}

// fullDigest returns a message with the checksums of up to maxDigests data centres.
func (c *Core) fullDigest() *peerpb.Membership {
	m := &peerpb.Membership{Kind: peerpb.Membership_KIND_DIGEST, Answer: true}
	list := c.table.centreList
	start := c.rng.IntN(len(list))
	for i := range min(len(list), maxDigests) {
		centre := list[(start+i)%len(list)]
		m.Digests = append(m.Digests, &peerpb.Digest{DataCentre: uint32(centre.id), Sum: centre.checksum})
		if centre.epoch > 0 && len(m.Reachability) < maxReachability {
			m.Reachability = append(m.Reachability, encodeReachability(centre))
		}
	}
	return m
}

func (c *Core) onDigest(now time.Time, from netip.AddrPort, r *record, m *peerpb.Membership, corrections []*record) {
	if len(m.Digests) > maxReceivedUpdates {
		return
	}
	if isIntroduction(m) {
		corrections = append(corrections, c.self)
	}
	answer := &peerpb.Membership{Kind: peerpb.Membership_KIND_DIGEST}
	detailedCount := 0
	for _, d := range m.Digests {
		answerEqual := r != nil && r.centre.id == ident.DataCentreID(d.DataCentre)
		detailedCount += c.compareDigest(now, from, d, answer, detailedCount, answerEqual)
	}
	if r != nil && (r.centre == c.table.ownCentre || r.State == Joining) && m.Answer {
		c.addMissingCentres(m, answer, detailedCount)
	}
	if m.Answer || detailedCount > 0 {
		c.reply(now, from, r, answer, corrections)
	}
	c.finishJoinOnAgreement(r, m)
}

// isIntroduction reports whether a digest contains the sender's own entry: the sender is joining,
// or does not list this daemon.
func isIntroduction(m *peerpb.Membership) bool {
	return slices.ContainsFunc(m.Updates, func(u *peerpb.Member) bool { return u.GetId() == m.From && u.Name != "" })
}

// compareDigest compares a received digest of a data centre with this daemon's. It adds the
// latter to the answer if the checksums differ, with bucket checksums, or if answerEqual is set.
// It sends the members of buckets that differ, and returns the number of digests with bucket
// checksums that it added.
func (c *Core) compareDigest(now time.Time, from netip.AddrPort, d *peerpb.Digest, answer *peerpb.Membership, detailedCount int, answerEqual bool) int {
	localCopy := c.table.centres[ident.DataCentreID(d.DataCentre)]
	if localCopy == nil {
		localCopy = &centre{id: ident.DataCentreID(d.DataCentre)}
	}
	localDigest := &peerpb.Digest{DataCentre: d.DataCentre, Sum: localCopy.checksum}
	if localCopy.checksum == d.Sum && !answerEqual {
		return 0
	}
	if localCopy.checksum == d.Sum {
		answer.Digests = append(answer.Digests, localDigest)
		return 0
	}
	if len(d.Buckets) == bucketCount*4 {
		mask := localCopy.differingBuckets(d.Buckets)
		c.sendBuckets(now, from, localCopy, mask, true)
		return 0
	}
	if detailedCount >= maxBucketDigests {
		return 0
	}
	localDigest.Buckets = localCopy.encodeBuckets()
	answer.Digests = append(answer.Digests, localDigest)
	return 1
}

// addMissingCentres adds the data centres that the sender does not list.
func (c *Core) addMissingCentres(m, answer *peerpb.Membership, detailedCount int) {
	named := make(map[uint32]bool, len(m.Digests))
	for _, d := range m.Digests {
		named[d.DataCentre] = true
	}
	for _, centre := range c.table.centreList {
		id := centre.id
		if named[uint32(id)] || centre.checksum == 0 || detailedCount >= maxBucketDigests {
			continue
		}
		detailedCount++
		answer.Digests = append(answer.Digests, &peerpb.Digest{DataCentre: uint32(id), Sum: centre.checksum, Buckets: centre.encodeBuckets()})
	}
}

// finishJoinOnAgreement ends joining when a joined peer has the same list of this data centre.
func (c *Core) finishJoinOnAgreement(r *record, m *peerpb.Membership) {
	if c.joined || r == nil || r.State == Joining {
		return
	}
	for _, d := range m.Digests {
		if ident.DataCentreID(d.DataCentre) == c.table.ownCentre.id && d.Sum == c.table.ownCentre.checksum {
			c.finishJoin(false)
			return
		}
	}
}

func (c *centre) encodeBuckets() []byte {
	b := make([]byte, 0, bucketCount*4)
	for _, checksum := range c.buckets {
		b = binary.LittleEndian.AppendUint32(b, checksum)
	}
	return b
}

func (c *centre) differingBuckets(buckets []byte) uint64 {
	var mask uint64
	for i, checksum := range c.buckets {
		if binary.LittleEndian.Uint32(buckets[i*4:]) != checksum {
			mask |= 1 << i
		}
	}
	return mask
}

// sendBuckets sends the members of the buckets in mask in at most maxSyncPages messages. The
// first message requests the receiver's members of the same buckets when pull is set.
func (c *Core) sendBuckets(now time.Time, to netip.AddrPort, centre *centre, mask uint64, pull bool) {
	newPage := func() *peerpb.Membership { return &peerpb.Membership{Kind: peerpb.Membership_KIND_SYNC} }
	m := newPage()
	m.Pull = pull
	m.Digests = []*peerpb.Digest{{DataCentre: uint32(centre.id), Mask: mask}}
	remaining := MaxMessageSize - headerSize - maxDigestSize
	pages := 1
	// A random start lets repeated exchanges reach the members after the first maxSyncPages
	// messages.
	start := 0
	if len(centre.records) > 0 {
		start = c.rng.IntN(len(centre.records))
	}
	for i := range centre.records {
		r := centre.records[(start+i)%len(centre.records)]
		if mask&(1<<(r.ID>>bucketShift)) == 0 {
			continue
		}
		u := encodeMember(now, r, r.alive())
		size := proto.Size(u) + fieldOverhead
		if size > remaining {
			c.emit(to, m)
			if pages == maxSyncPages {
				return
			}
			pages++
			m = newPage()
			remaining = MaxMessageSize - headerSize
		}
		m.Updates = append(m.Updates, u)
		remaining -= size
	}
	c.emit(to, m)
}

// onSync handles a list of members and corrects its outdated entries: the digests of a data
// centre would differ permanently if only this daemon knew that a member is dead, but not its
// data centre. A correction is always newer than the entry that it corrects, so corrections do
// not loop.
func (c *Core) onSync(now time.Time, from netip.AddrPort, r *record, m *peerpb.Membership, corrections []*record) {
	if !c.joined {
		c.nextSync = now
	}
	if len(corrections) > 0 {
		c.reply(now, from, r, &peerpb.Membership{Kind: peerpb.Membership_KIND_SYNC}, corrections)
	}
	if !m.Pull {
		return
	}
	for _, d := range m.Digests {
		if centre := c.table.centres[ident.DataCentreID(d.DataCentre)]; centre != nil {
			c.sendBuckets(now, from, centre, d.Mask, false)
			return
		}
	}
}
