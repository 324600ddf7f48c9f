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
	// deadProbeEvery is how often a dead member is probed, to find the end of a partition.
	deadProbeEvery = time.Second
	// checkEvery is how often a suspect is probed again by each member that lists it.
	checkEvery = 150 * time.Millisecond
	// isolationAfter without any message a daemon doubts itself rather than others.
	isolationAfter = 500 * time.Millisecond
	// isolationGrace is added to suspicions of a daemon that doubts itself. One second made
	// the survivor of two members take 2.2 s.
	isolationGrace = 600 * time.Millisecond
	// maxPeriod ignores numbers of faulty peers; 200 ms periods reach it in the year 2078.
	maxPeriod = 1 << 34
	// maxRelays bounds indirect probes that are in progress for others.
	maxRelays = 256
	relayAge  = 2 * time.Second
)

// probe is the probe of the current period.
type probe struct {
	target   *record
	sequence uint32
	ackBy    time.Time // then indirect probes are sent
	indirect bool
	acked    bool
}

// relayed is an indirect probe made for another member.
type relayed struct {
	sequence uint32 // used towards the target
	origin   uint32 // the requester's sequence
	to       netip.AddrPort
	started  time.Time
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
	if p.target != nil && !p.acked && !p.indirect && !now.Before(p.ackBy) {
		p.indirect = true
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
	r.origin = true
	c.suspects = append(c.suspects, r)
	c.queue.add(r)
	c.spread = true
}

func (c *Core) startProbe(now time.Time) {
	target := c.target(now)
	if target == nil {
		return
	}
	c.sequence++
	c.probe = probe{target: target, sequence: c.sequence, ackBy: now.Add(c.cfg.AckTimeout)}
	c.send(now, target, &peerpb.Membership{Kind: peerpb.Membership_KIND_PROBE, Sequence: c.sequence})
}

// period numbers the probe period of now. Daemons agree on it whatever their clocks say, since
// each continues from the largest number that it receives.
func (c *Core) period(now time.Time) uint64 {
	return uint64(now.Add(c.ahead).UnixNano() / int64(c.cfg.ProbePeriod))
}

func (c *Core) followPeriod(now time.Time, period uint64) {
	if period <= c.period(now) || period > maxPeriod {
		return
	}
	start := time.Unix(0, int64(period)*int64(c.cfg.ProbePeriod))
	c.ahead = start.Sub(now)
}

// target returns the member to probe in the period of now. All members with equal lists use the
// same offset in the list, so each is probed once per period and a death is noticed after one or
// two periods; with independent choices 1 of 100 would not be probed for 0.9 s.
func (c *Core) target(now time.Time) *record {
	scope := c.table.scope
	if len(scope) < 2 {
		return nil
	}
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], c.period(now))
	offset := 1 + int(xxhash.Sum64(b[:])%uint64(len(scope)-1))
	own, found := slices.BinarySearchFunc(scope, c.self.ID, compareID)
	if !found {
		return nil
	}
	return scope[(own+offset)%len(scope)]
}

func (c *Core) probeIndirectly(now time.Time) {
	p := c.probe
	c.send(now, p.target, &peerpb.Membership{Kind: peerpb.Membership_KIND_PROBE, Sequence: p.sequence})
	address := encodeAddress(p.target.PeerAddr)
	for _, r := range c.pick(c.cfg.Indirect + 1) {
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

// stepSuspects probes suspects again and confirms those that stayed silent.
func (c *Core) stepSuspects(now time.Time) {
	keep := c.suspects[:0]
	for _, r := range c.suspects {
		if !r.suspect {
			continue
		}
		if now.Sub(r.suspectSince) >= c.suspicion(now) {
			c.decide(now, r)
			continue
		}
		keep = append(keep, r)
		if now.Before(r.nextCheck) {
			continue
		}
		r.nextCheck = now.Add(checkEvery)
		if !r.heard.After(r.suspectSince) {
			c.check(now, r)
		}
	}
	clear(c.suspects[len(keep):])
	c.suspects = keep
}

// suspicion is the time a suspect has to refute. A daemon that hears from nobody waits longer.
func (c *Core) suspicion(now time.Time) time.Duration {
	if now.Sub(c.heard) > isolationAfter {
		return c.cfg.Suspicion + isolationGrace
	}
	return c.cfg.Suspicion
}

// decide ends a suspicion: a member that was heard of since is alive.
func (c *Core) decide(now time.Time, r *record) {
	if r.heard.After(r.suspectSince) {
		r.suspect = false
		c.table.changed = true
		return
	}
	c.kill(now, r, r.Member)
	c.spread = c.spread || r.origin
}

// check probes a member outside the periods; the message tells it what is said about it.
func (c *Core) check(now time.Time, r *record) {
	c.sequence++
	c.send(now, r, &peerpb.Membership{Kind: peerpb.Membership_KIND_PROBE, Sequence: c.sequence})
}

// stepDead probes a dead member from time to time. It refutes when it is alive.
func (c *Core) stepDead(now time.Time) {
	if now.Before(c.nextDead) {
		return
	}
	c.nextDead = now.Add(deadProbeEvery)
	var dead []*record
	for _, r := range c.table.sorted {
		if !r.alive() && r.PeerAddr.IsValid() && c.table.probed(r.centre) {
			dead = append(dead, r)
		}
	}
	if len(dead) > 0 {
		c.check(now, dead[c.rng.IntN(len(dead))])
	}
}

func (c *Core) onProbe(now time.Time, from netip.AddrPort, r *record, m *peerpb.Membership, correct []*record) {
	ack := &peerpb.Membership{Kind: peerpb.Membership_KIND_ACK, Sequence: m.Sequence}
	c.reply(now, from, r, ack, correct)
}

func (c *Core) onProbeRequest(now time.Time, from netip.AddrPort, m *peerpb.Membership) {
	var address netip.AddrPort
	if address.UnmarshalBinary(m.TargetAddress) != nil || !address.IsValid() || len(c.relays) >= maxRelays {
		return
	}
	c.sequence++
	c.relays = append(c.relays, relayed{sequence: c.sequence, origin: m.Sequence, to: from, started: now})
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
		c.emit(r.to, &peerpb.Membership{Kind: peerpb.Membership_KIND_ACK, Sequence: r.origin})
		return
	}
}

func (c *Core) dropRelays(now time.Time) {
	c.relays = slices.DeleteFunc(c.relays, func(r relayed) bool { return now.Sub(r.started) > relayAge })
}
