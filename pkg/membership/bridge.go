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
	// bridgeCount members of a data centre exchange digests with each other data centre.
	bridgeCount = 3
	// reachTimeout without a message a bridge declares a data centre unreachable.
	reachTimeout = 3 * time.Second
	// maxDoubt bounds the time a bridge waits after other bridges contradicted it.
	maxDoubt = time.Minute
)

// stepBridges exchanges digests with other data centres for which this daemon is a bridge.
func (c *Core) stepBridges(now time.Time) {
	if now.Before(c.nextCross) {
		return
	}
	c.nextCross = now.Add(c.cfg.BridgeEvery)
	if !c.joined {
		return
	}
	for _, remote := range c.table.list {
		if remote == c.table.own || remote.alive == 0 {
			continue
		}
		if !slices.Contains(c.table.own.bridges(remote.id), c.self) {
			remote.bridgeSince = time.Time{}
			continue
		}
		if remote.bridgeSince.IsZero() {
			remote.bridgeSince = now
		}
		c.bridge(now, remote)
		c.judgeReach(now, remote)
	}
}

func (c *Core) bridge(now time.Time, remote *centre) {
	to := remote.bridges(c.table.own.id)
	if remote.unreachable {
		to = remote.records
	}
	r := to[c.rng.IntN(len(to))]
	if !r.PeerAddr.IsValid() {
		return
	}
	m := &peerpb.Membership{Kind: peerpb.Membership_KIND_DIGEST, Answer: !c.table.probed(remote)}
	for _, centre := range []*centre{c.table.own, remote} {
		m.Digests = append(m.Digests, &peerpb.Digest{DataCentre: uint32(centre.id), Sum: centre.sum})
	}
	c.send(now, r, m)
}

// bridges returns the living members of a data centre that talk to the given other one.
func (c *centre) bridges(other ident.DataCentreID) []*record {
	top := make([]*record, 0, bridgeCount+1)
	for _, r := range c.records {
		if !r.alive() {
			continue
		}
		score := bridgeScore(r.ID, other)
		at := len(top)
		for at > 0 && bridgeScore(top[at-1].ID, other) > score {
			at--
		}
		if at < bridgeCount {
			top = slices.Insert(top, at, r)
			top = top[:min(len(top), bridgeCount)]
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

// judgeReach compares what this bridge hears from a data centre with what its own data centre
// says about it. Data centres with few members are probed member by member instead.
func (c *Core) judgeReach(now time.Time, remote *centre) {
	if c.table.probed(remote) && !remote.unreachable {
		return
	}
	last := remote.heard
	if remote.bridgeSince.After(last) {
		last = remote.bridgeSince
	}
	silent := now.Sub(last) > reachTimeout+remote.doubt
	heard := now.Sub(remote.heard) < reachTimeout
	switch {
	case silent && !remote.unreachable:
		remote.declared = now
		c.setReach(remote, remote.epoch+1, true)
	case heard && remote.unreachable:
		remote.doubt = 0
		c.setReach(remote, remote.epoch+1, false)
	}
}

func (c *Core) setReach(remote *centre, epoch uint32, unreachable bool) {
	remote.epoch = epoch
	if remote.unreachable != unreachable {
		remote.unreachable = unreachable
		c.table.changed = true
	}
	c.queue.addCentre(remote)
	c.spread = true
}

func (c *Core) applyReachability(now time.Time, list []*peerpb.Reachability) {
	for _, a := range list {
		remote := c.table.centres[ident.DataCentreID(a.DataCentre)]
		if remote == nil || remote == c.table.own {
			continue
		}
		prevails := a.Epoch == remote.epoch && remote.unreachable && !a.Unreachable
		if a.Epoch < remote.epoch || a.Epoch == remote.epoch && !prevails {
			continue
		}
		if !a.Unreachable && now.Sub(remote.declared) < reachTimeout {
			remote.doubt = min(2*remote.doubt+reachTimeout, maxDoubt)
		}
		c.setReach(remote, a.Epoch, a.Unreachable)
	}
}
