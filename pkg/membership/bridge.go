package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosemarygate/api/peer/v1"
	"rosemarygate/pkg/ident"
)

const (
	// bridgesPerCentre is the number of members of a data centre that exchange digests with each
	// other data centre.
	bridgesPerCentre = 3
	// reachabilityTimeout is the time without a message after which a bridge declares a data
	// centre unreachable.
	reachabilityTimeout = 3 * time.Second
	// maxRedeclareDelay bounds the additional time that a bridge waits after other bridges
	// contradicted its declaration.
	maxRedeclareDelay = time.Minute
)

// stepBridges exchanges digests with the data centres to which this daemon is a bridge.
func (c *Core) stepBridges(now time.Time) {
	if now.Before(c.nextBridgeDigest) {
		return
	}
	c.nextBridgeDigest = now.Add(c.cfg.BridgeEvery)
	if !c.joined {
		return
	}
	for _, remote := range c.table.centreList {
		if remote == c.table.ownCentre || remote.aliveCount == 0 {
			continue
		}
		if !slices.Contains(c.table.ownCentre.bridges(remote.id), c.self) {
			remote.bridgeSince = time.Time{}
			continue
		}
		if remote.bridgeSince.IsZero() {
			remote.bridgeSince = now
		}
		c.sendBridgeDigest(now, remote)
		c.updateReachability(now, remote)
	}
}

// sendBridgeDigest sends the checksums of both data centres to a member of the other one.
func (c *Core) sendBridgeDigest(now time.Time, remote *centre) {
	candidates := remote.bridges(c.table.ownCentre.id)
	if remote.unreachable {
		candidates = remote.records
	}
	r := candidates[c.rng.IntN(len(candidates))]
	if !r.PeerAddr.IsValid() {
		return
	}
	m := &peerpb.Membership{Kind: peerpb.Membership_KIND_DIGEST, Answer: !c.table.isProbed(remote)}
	for _, centre := range []*centre{c.table.ownCentre, remote} {
		m.Digests = append(m.Digests, &peerpb.Digest{DataCentre: uint32(centre.id), Sum: centre.checksum})
	}
	c.send(now, r, m)
}

// bridges returns the living members of a data centre that exchange digests with the given other
// one.
func (c *centre) bridges(other ident.DataCentreID) []*record {
	top := make([]*record, 0, bridgesPerCentre+1)
	for _, r := range c.records {
		if !r.alive() {
			continue
		}
		candidateScore := bridgeScore(r.ID, other)
		index := len(top)
		for index > 0 && bridgeScore(top[index-1].ID, other) > candidateScore {
			index--
		}
		if index < bridgesPerCentre {
			top = slices.Insert(top, index, r)
			top = top[:min(len(top), bridgesPerCentre)]
		}
	}
	return top
}

func bridgeScore(id ident.DaemonID, other ident.DataCentreID) uint64 {
	var b [12]byte
	binary.LittleEndian.PutUint64(b[:], uint64(id))
	binary.LittleEndian.PutUint32(b[8:], uint32(other))
	return xxhash.Sum64(b[:])
}

// updateReachability declares a data centre unreachable, or reachable again, depending on when this
// bridge last received a message from it. Data centres with few members are probed member by
// member instead.
func (c *Core) updateReachability(now time.Time, remote *centre) {
	if c.table.isProbed(remote) && !remote.unreachable {
		return
	}
	last := remote.lastReceived
	if remote.bridgeSince.After(last) {
		last = remote.bridgeSince
	}
	timedOut := now.Sub(last) > reachabilityTimeout+remote.redeclareDelay
	receiving := now.Sub(remote.lastReceived) < reachabilityTimeout
	switch {
	case timedOut && !remote.unreachable:
		remote.declaredAt = now
		c.setReachability(remote, remote.epoch+1, true)
	case receiving && remote.unreachable:
		remote.redeclareDelay = 0
		c.setReachability(remote, remote.epoch+1, false)
	}
}

func (c *Core) setReachability(remote *centre, epoch uint32, unreachable bool) {
	remote.epoch = epoch
	if remote.unreachable != unreachable {
		remote.unreachable = unreachable
		c.table.changed = true
	}
	c.queue.addCentre(remote)
	c.spreadPending = true
}

// applyReachability applies declarations of other bridges. A larger epoch prevails, and with equal
// epochs a declaration as reachable.
func (c *Core) applyReachability(now time.Time, list []*peerpb.Reachability) {
	for _, declaration := range list {
		remote := c.table.centres[ident.DataCentreID(declaration.DataCentre)]
		if remote == nil || remote == c.table.ownCentre {
			continue
		}
		prevails := declaration.Epoch == remote.epoch && remote.unreachable && !declaration.Unreachable
		if declaration.Epoch < remote.epoch || declaration.Epoch == remote.epoch && !prevails {
			continue
		}
		if !declaration.Unreachable && now.Sub(remote.declaredAt) < reachabilityTimeout {
			remote.redeclareDelay = min(2*remote.redeclareDelay+reachabilityTimeout, maxRedeclareDelay)
		}
		c.setReachability(remote, declaration.Epoch, declaration.Unreachable)
	}
}
