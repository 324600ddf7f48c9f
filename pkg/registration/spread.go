package registration

import (
	"encoding/binary"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"rosemarygate/api/peer/v1"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/membership"
)

const (
	defaultSyncEvery = 10 * time.Second
	// syncAgain is the time to the next digest after one that brought news.
	syncAgain = 200 * time.Millisecond
	// digestEvery is how often digests go to one other data centre by this daemon.
	digestEvery = time.Second
	// remoteLoadsEvery is how often load samples go to one other data centre by this daemon.
	remoteLoadsEvery = time.Second

	bucketCount = 64
	bucketShift = 58
	// maxBucketDigests of 256 bytes fit into one message.
	maxBucketDigests = 4
	maxDigests       = 64
	maxSyncPages     = 8

	// retransmitFactor times the binary logarithm of the peers is how often a daemon sends a
	// change; a change of another data centre half as often, as it is less urgent.
	retransmitFactor = 2
	// maxQueue bounds the changes waiting for dissemination; digests repair what is dropped.
	maxQueue = 256

	fieldOverhead = 4  // bounds tag and length of one nested message, in bytes
	digestEntry   = 32 // bounds one Digest without buckets, in bytes
)

type queued struct {
	entry *entry
	sent  int
}

func (c *Core) enqueue(e *entry) {
	c.dequeue(e)
	c.queue = slices.Insert(c.queue, 0, queued{entry: e})
	if len(c.queue) > maxQueue {
		c.queue = c.queue[:maxQueue]
	}
}

func (c *Core) dequeue(e *entry) {
	c.queue = slices.DeleteFunc(c.queue, func(q queued) bool { return q.entry == e })
}

// Attachment returns what rides on a membership message to the given member, at most budget
// bytes. It is the Attachment hook of membership.Config.
func (c *Core) Attachment(now time.Time, to membership.Member, budget int) []byte {
	u := new(peerpb.RegistrationUpdate)
	room := budget
	if to.DataCentre != c.cfg.DataCentre {
		room -= c.putCentreDigests(now, to.DataCentre, u, room)
		c.putRemoteLoads(now, to.DataCentre, u, room)
	} else {
		room -= c.putQueued(now, u, room)
		c.loads.put(now, u, min(room, loadBudget), c.rng)
	}
	return encode(u)
}

// putRemoteLoads adds load samples to a message to another data centre, seldom enough that
// they cost a daemon little: with every message they took 7 daemons in 4 data centres from
// 2.2 to 3.3 KB/s.
func (c *Core) putRemoteLoads(now time.Time, remote string, u *peerpb.RegistrationUpdate, room int) {
	other := c.centreOf(remote)
	if now.Before(other.nextLoads) {
		return
	}
	other.nextLoads = now.Add(remoteLoadsEvery)
	c.loads.put(now, u, min(room, loadBudget), c.rng)
}

func encode(u *peerpb.RegistrationUpdate) []byte {
	data, err := proto.Marshal(u)
	if err != nil || len(data) == 0 {
		return nil
	}
	return data
}

func (c *Core) putQueued(now time.Time, u *peerpb.RegistrationUpdate, room int) int {
	if len(c.queue) == 0 {
		return 0
	}
	before := room
	limit := retransmitFactor * bits.Len(uint(len(c.peers)+1))
	for i := range c.queue {
		q := &c.queue[i]
		rec := encodeRecord(now, q.entry)
		size := proto.Size(rec) + fieldOverhead
		if size > room {
			break
		}
		room -= size
		u.Records = append(u.Records, rec)
		q.sent++
		if q.entry.DataCentre != c.cfg.DataCentre {
			q.sent++
		}
	}
	c.queue = slices.DeleteFunc(c.queue, func(q queued) bool { return q.sent >= limit })
	slices.SortStableFunc(c.queue, func(a, b queued) int { return a.sent - b.sent })
	return before - room
}

// putCentreDigests adds the sums of both data centres to a message to a member of another one,
// and those of data centres that no longer speak for themselves.
func (c *Core) putCentreDigests(now time.Time, remote string, u *peerpb.RegistrationUpdate, room int) int {
	other := c.centreOf(remote)
	if now.Before(other.nextDigest) || room < 2*digestEntry {
		return 0
	}
	other.nextDigest = now.Add(digestEvery)
	u.Digests = append(u.Digests, c.centreOf(c.cfg.DataCentre).digest())
	if other.kept {
		u.Digests = append(u.Digests, other.digest())
	}
	used := 2 * digestEntry
	for _, orphan := range c.list {
		if orphan == other || !orphan.kept || c.table.Serves(orphan.name) || used+digestEntry > room {
			continue
		}
		u.Digests = append(u.Digests, orphan.digest())
		used += digestEntry
	}
	return used
}

// stepSync sends the sums of all data centres to a random peer.
func (c *Core) stepSync(now time.Time) {
	if c.nextSync.IsZero() {
		c.nextSync = now.Add(syncAgain)
	}
	if now.Before(c.nextSync) || len(c.peers) == 0 {
		return
	}
	c.nextSync = now.Add(c.cfg.SyncEvery/2 + time.Duration(c.rng.Int64N(int64(c.cfg.SyncEvery))))
	u := new(peerpb.RegistrationUpdate)
	u.Digests = append(u.Digests, c.centreOf(c.cfg.DataCentre).digest())
	start := c.rng.IntN(len(c.list))
	for i := range min(len(c.list), maxDigests/2) {
		centre := c.list[(start+i)%len(c.list)]
		if centre.kept && centre.name != c.cfg.DataCentre {
			u.Digests = append(u.Digests, centre.digest())
		}
	}
	c.message(c.peers[c.rng.IntN(len(c.peers))].ID, u)
}

// advanceSync brings the next digest forward after one that found differences.
func (c *Core) advanceSync(now time.Time) {
	if soon := now.Add(syncAgain); soon.Before(c.nextSync) {
		c.nextSync = soon
	}
}

func (c *Core) message(to ident.DaemonID, u *peerpb.RegistrationUpdate) {
	if data := encode(u); data != nil {
		c.out = append(c.out, Message{To: to, Data: data})
	}
}

// answerDigests answers sums that differ by sums of buckets, those by the records in buckets
// that differ, and a pull by the records of the buckets named.
func (c *Core) answerDigests(now time.Time, from ident.DaemonID, u *peerpb.RegistrationUpdate) {
	if len(u.Digests) > maxDigests {
		return
	}
	answer := new(peerpb.RegistrationUpdate)
	for _, d := range u.Digests {
		if !c.keeps(ident.DataCentreID(d.DataCentre)) {
			continue
		}
		own := c.centres[ident.DataCentreID(d.DataCentre)]
		if own == nil {
			own = &centre{id: ident.DataCentreID(d.DataCentre)}
		}
		switch {
		case d.Mask != 0:
			if u.Pull {
				c.sendBuckets(now, from, own, d.Mask, false)
			}
		case d.Sum == own.sum:
		case len(d.Buckets) == bucketCount*4:
			c.sendBuckets(now, from, own, own.differing(d.Buckets), true)
		case len(answer.Digests) < maxBucketDigests:
			entry := own.digest()
			entry.Buckets = own.encodeBuckets()
			answer.Digests = append(answer.Digests, entry)
		}
	}
	c.message(from, answer)
}

// sendBuckets sends the records of the buckets in mask. It begins with a random one and ends
// with the bucket that exceeds maxSyncPages messages; a later exchange brings the others. The
// first message asks for the receiver's records of the same buckets when pull is set.
func (c *Core) sendBuckets(now time.Time, to ident.DaemonID, own *centre, mask uint64, pull bool) {
	p := pager{core: c, to: to, digest: &peerpb.Digest{DataCentre: uint32(own.id), Mask: mask}}
	p.begin(pull)
	start := c.rng.IntN(bucketCount)
	for i := range bucketCount {
		b := (start + i) % bucketCount
		if mask&(1<<b) == 0 {
			continue
		}
		for _, e := range own.buckets[b].entries {
			p.add(encodeRecord(now, e))
		}
		if p.pages > maxSyncPages {
			break
		}
	}
	p.flush()
}

// pager splits records into messages.
type pager struct {
	core   *Core
	to     ident.DaemonID
	digest *peerpb.Digest
	update *peerpb.RegistrationUpdate
	room   int
	pages  int
}

func (p *pager) begin(pull bool) {
	p.update = &peerpb.RegistrationUpdate{Digests: []*peerpb.Digest{p.digest}, Pull: pull}
	p.room = membership.MaxAttachmentSize - digestEntry
	p.pages++
}

func (p *pager) flush() { p.core.message(p.to, p.update) }

func (p *pager) add(rec *peerpb.RegistrationRecord) {
	size := proto.Size(rec) + fieldOverhead
	if size > p.room {
		p.flush()
		p.begin(false)
	}
	p.update.Records = append(p.update.Records, rec)
	p.room -= size
}

func (c *centre) digest() *peerpb.Digest {
	return &peerpb.Digest{DataCentre: uint32(c.id), Sum: c.sum}
}

func (c *centre) encodeBuckets() []byte {
	b := make([]byte, 0, bucketCount*4)
	for i := range c.buckets {
		b = binary.LittleEndian.AppendUint32(b, c.buckets[i].sum)
	}
	return b
}

func (c *centre) differing(buckets []byte) uint64 {
	var mask uint64
	for i := range c.buckets {
		if binary.LittleEndian.Uint32(buckets[i*4:]) != c.buckets[i].sum {
			mask |= 1 << i
		}
	}
	return mask
}

// account adds a live entry to the sums, or takes it out again.
func (c *centre) account(e *entry) {
	if e.state != live {
		return
	}
	h := e.hash()
	c.sum ^= h
	c.buckets[e.Upstream>>bucketShift].sum ^= uint32(h)
}

// hash is that of the state that daemons compare.
func (e *entry) hash() uint64 {
	var b [33]byte
	binary.LittleEndian.PutUint64(b[0:], uint64(e.Upstream))
	binary.LittleEndian.PutUint64(b[8:], uint64(e.Incarnation))
	binary.LittleEndian.PutUint64(b[16:], e.version)
	binary.LittleEndian.PutUint64(b[24:], uint64(e.author))
	if e.Draining {
		b[32] = 1
	}
	return xxhash.Sum64(b[:])
}
