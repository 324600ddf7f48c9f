package membership

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosemarygate/api/peer/v1"
)

const (
	// deadProbeEvery is the interval at which a random dead member is probed, to detect the end
	// of a partition.
	deadProbeEvery = time.Second
	// suspectProbeEvery is the interval at which each member that lists a suspect probes it
	// again.
	suspectProbeEvery = 150 * time.Millisecond
	// isolationTimeout is the time without any received message after which a daemon assumes that
	// it is isolated itself, rather than that other members are dead.
	isolationTimeout = 500 * time.Millisecond
	// isolationGrace is added to the suspicion timeout of an isolated daemon. With one second the
	// survivor of two members takes 2.2 s to detect the death.
	isolationGrace = 600 * time.Millisecond
	// maxPeriod is the largest accepted period number; larger ones come from faulty peers.
	// Periods of 200 ms reach it in the year 2078.
	maxPeriod = 1 << 34
	// maxRelays bounds the indirect probes in progress for other members.
	maxRelays    = 256
	relayTimeout = 2 * time.Second
)

// probe is the probe of the current period.
type probe struct {
	target       *record
	sequence     uint32
	ackDeadline  time.Time // when indirect probes are sent
	sentIndirect bool
	acked        bool
}

// relayedProbe is an indirect probe made for another member.
type relayedProbe struct {
	sequence         uint32 // in the probe of the target
	originalSequence uint32 // in the request
	requester        netip.AddrPort
	started          time.Time
}

func (c *Core) stepProbe(now time.Time) {
	if !now.Before(c.nextProbe) {
		c.finishProbe(now)
		c.nextProbe = c.nextProbe.Add(c.cfg.ProbePeriod)
		if c.nextProbe.Before(now) {
			c.nextProbe = now.Add(c.cfg.ProbePeriod)
		}
		c.startProbe(now)
		return
	}
	p := &c.probe
	if p.target != nil && !p.acked && !p.sentIndirect && !now.Before(p.ackDeadline) {
		p.sentIndirect = true
		c.probeIndirectly(now)
	}
}

func (c *Core) finishProbe(now time.Time) {
	p := c.probe
	c.probe = probe{}
	if p.target == nil || p.acked || !p.target.alive() || p.target.suspect {
		return
	}
	c.suspectMember(now, p.target)
}

func (c *Core) suspectMember(now time.Time, r *record) {
	c.table.setSuspect(r, now, now)
	r.raisedHere = true
	c.suspects = append(c.suspects, r)
	c.queue.add(r)
	c.spreadPending = true
}

func (c *Core) startProbe(now time.Time) {
	target := c.probeTarget(now)
	if target == nil {
		return
	}
	c.sequence++
	c.probe = probe{target: target, sequence: c.sequence, ackDeadline: now.Add(c.cfg.AckTimeout)}
	c.send(now, target, &peerpb.Membership{Kind: peerpb.Membership_KIND_PROBE, Sequence: c.sequence})
}

// period returns the number of the probe period at the given time. Daemons with different clocks
// agree on it, since each one adopts the largest number that it receives.
func (c *Core) period(now time.Time) uint64 {
	return uint64(now.Add(c.periodOffset).UnixNano() / int64(c.cfg.ProbePeriod))
}

// advancePeriod adopts the period number of a message if it is larger.
func (c *Core) advancePeriod(now time.Time, period uint64) {
	if period <= c.period(now) || period > maxPeriod {
		return
	}
	start := time.Unix(0, int64(period)*int64(c.cfg.ProbePeriod))
	c.periodOffset = start.Sub(now)
}

// probeTarget returns the member to probe in the current period. All members with equal lists
// use the same offset in the list, so that each member is probed once per period and a death
// is noticed after one or two periods; with independent choices 1 of 100 members would not be
// probed for 0.9 s.
func (c *Core) probeTarget(now time.Time) *record {
	probeScope := c.table.probeScope
	if len(probeScope) < 2 {
		return nil
	}
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], c.period(now))
	offset := 1 + int(xxhash.Sum64(b[:])%uint64(len(probeScope)-1))
	selfIndex, found := slices.BinarySearchFunc(probeScope, c.self.ID, compareID)
	if !found {
		return nil
	}
	return probeScope[(selfIndex+offset)%len(probeScope)]
}

func (c *Core) probeIndirectly(now time.Time) {
	p := c.probe
	c.send(now, p.target, &peerpb.Membership{Kind: peerpb.Membership_KIND_PROBE, Sequence: p.sequence})
	address := encodeAddress(p.target.PeerAddr)
	for _, r := range c.pickRandom(c.cfg.IndirectProbes + 1) {
		if r == p.target || r.suspect {
			continue
		}
		c.send(now, r, &peerpb.Membership{
			Kind:          peerpb.Membership_KIND_PROBE_REQUEST,
			Sequence:      p.sequence,
			Target:        uint64(p.target.ID),
			TargetAddress: address,
		})
	}
}

// stepSuspects probes suspects again and resolves suspicions whose timeout has passed.
func (c *Core) stepSuspects(now time.Time) {
	remaining := c.suspects[:0]
	for _, r := range c.suspects {
		if !r.suspect {
			continue
		}
		if now.Sub(r.suspectSince) >= c.suspicionTimeout(now) {
			c.resolveSuspicion(now, r)
			continue
		}
		remaining = append(remaining, r)
		if now.Before(r.nextSuspectProbe) {
			continue
		}
		r.nextSuspectProbe = now.Add(suspectProbeEvery)
		if !r.lastReceived.After(r.suspectSince) {
			c.sendProbe(now, r)
		}
	}
	clear(c.suspects[len(remaining):])
	c.suspects = remaining
}

// suspicionTimeout is the time in which a suspect can refute. It is longer for a daemon that
// receives no messages.
func (c *Core) suspicionTimeout(now time.Time) time.Duration {
	if now.Sub(c.lastReceived) > isolationTimeout {
		return c.cfg.SuspicionTimeout + isolationGrace
	}
	return c.cfg.SuspicionTimeout
}

// resolveSuspicion ends a suspicion: the member is alive if a message from it has arrived since,
// and dead otherwise.
func (c *Core) resolveSuspicion(now time.Time, r *record) {
	if r.lastReceived.After(r.suspectSince) {
		r.suspect = false
		c.table.changed = true
		return
	}
	c.setDead(now, r, r.Member)
	c.spreadPending = c.spreadPending || r.raisedHere
}

// sendProbe probes a member outside of the periods; the message includes the suspicion or death
// that is listed for it.
func (c *Core) sendProbe(now time.Time, r *record) {
	c.sequence++
	c.send(now, r, &peerpb.Membership{Kind: peerpb.Membership_KIND_PROBE, Sequence: c.sequence})
}

// probeDead periodically probes a random dead member, which refutes if it is alive.
func (c *Core) probeDead(now time.Time) {
	if now.Before(c.nextDeadProbe) {
		return
	}
	c.nextDeadProbe = now.Add(deadProbeEvery)
	var dead []*record
	for _, r := range c.table.sorted {
		if !r.alive() && r.PeerAddr.IsValid() && c.table.isProbed(r.centre) {
			dead = append(dead, r)
		}
	}
	if len(dead) > 0 {
		c.sendProbe(now, dead[c.rng.IntN(len(dead))])
	}
}

func (c *Core) onProbe(now time.Time, from netip.AddrPort, r *record, m *peerpb.Membership, corrections []*record) {
	ack := &peerpb.Membership{Kind: peerpb.Membership_KIND_ACK, Sequence: m.Sequence}
	c.reply(now, from, r, ack, corrections)
}

func (c *Core) onProbeRequest(now time.Time, from netip.AddrPort, m *peerpb.Membership) {
	var address netip.AddrPort
	if address.UnmarshalBinary(m.TargetAddress) != nil || !address.IsValid() || len(c.relays) >= maxRelays {
		return
	}
	c.sequence++
	c.relays = append(c.relays, relayedProbe{sequence: c.sequence, originalSequence: m.Sequence, requester: from, started: now})
	c.emit(address, &peerpb.Membership{Kind: peerpb.Membership_KIND_PROBE, Sequence: c.sequence})
}

func (c *Core) onAck(m *peerpb.Membership) {
	if c.probe.target != nil && m.Sequence == c.probe.sequence {
		c.probe.acked = true
	}
	for i, r := range c.relays {
		if r.sequence != m.Sequence {
			continue
		}
		c.relays = slices.Delete(c.relays, i, i+1)
		c.emit(r.requester, &peerpb.Membership{Kind: peerpb.Membership_KIND_ACK, Sequence: r.originalSequence})
		return
	}
}

func (c *Core) dropRelays(now time.Time) {
	c.relays = slices.DeleteFunc(c.relays, func(r relayedProbe) bool { return now.Sub(r.started) > relayTimeout })
}
