// Package directory keeps the registrations of upstreams on control hosts and entry daemons. It is a
// pure core: the caller passes in announcements and the time.
//
// Invariants:
//   - An upstream process is named by its key and the time of its start (Incarnation). Of two
//     incarnations of a key the later one holds; an earlier one never comes back.
//   - Within an incarnation the announcement with the larger sequence number holds, so merging is
//     idempotent and the order of arrival does not matter.
//   - Gone is final and is concluded only from a deregistration, some time after it, from a later
//     incarnation of the key, or from a later process at the same address. Silence is no proof.
package directory

import (
	"encoding/binary"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/routing"
)

// Key is the number by which datagrams name an upstream.
type Key uint64

// String returns the key in hexadecimal, as logs show it.
func (k Key) String() string { return strconv.FormatUint(uint64(k), 16) }

// Incarnation names one upstream process.
type Incarnation struct {
	Key Key
	// Born is the start of the process in Unix milliseconds of its own clock.
	Born int64
}

// Cookie is the 32-bit name of an incarnation that packets carry. It is never 0.
type Cookie uint32

// Cookie returns the incarnation's cookie, which every daemon computes alike.
func (i Incarnation) Cookie() Cookie {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], uint64(i.Key))
	binary.BigEndian.PutUint64(b[8:], uint64(i.Born))
	return max(Cookie(xxhash.Sum64(b[:])>>32), 1)
}

// State is the state of an upstream process.
type State uint8

// States of upstreams; the values equal those of entrypb.State.
const (
	Ready    State = 1
	Draining State = 2 // takes no new flows
	Gone     State = 3 // the process has ended for certain
)

// String returns the state as logs show it.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	}
	return "unknown"
}

// Registration is what is known of one upstream process. Times are on the steady clock of the
// process that holds the registration.
type Registration struct {
	Incarnation
	Name       string
	Service    string
	Address    netip.AddrPort
	DataCentre string
	Slots      int // requests that the upstream works on at once
	Sequence   uint64
	State      State
	WarmAt     time.Duration // until then the upstream is slow after its start
	Heard      time.Duration // last announcement
	Silent     bool          // no announcement for longer than a live upstream leaves between two
}

// Proto returns the protobuf form of a registration at a time.
func (r *Registration) Proto(now time.Duration) *entrypb.Registration {
	return &entrypb.Registration{
		Key: uint64(r.Key), Name: r.Name, Service: r.Service,
		Address: routing.AddressNumber(r.Address.Addr()), Port: uint32(r.Address.Port()),
		DataCentre: r.DataCentre, Slots: uint32(r.Slots), BornUnixMs: r.Born, Sequence: r.Sequence,
		State: entrypb.State(r.State), WarmupMs: max(0, r.WarmAt-now).Milliseconds(),
		AgeMs: max(0, now-r.Heard).Milliseconds(), Silent: r.Silent,
	}
}

// FromProto is the inverse of Proto at the receiver's time.
func FromProto(p *entrypb.Registration, now time.Duration) Registration {
	return Registration{
		Incarnation: Incarnation{Key(p.GetKey()), p.GetBornUnixMs()},
		Name:        p.GetName(), Service: p.GetService(),
		Address:    netip.AddrPortFrom(routing.NumberAddress(p.GetAddress()), uint16(p.GetPort())),
		DataCentre: p.GetDataCentre(), Slots: int(p.GetSlots()), Sequence: p.GetSequence(),
		State:  State(p.GetState()),
		WarmAt: now + time.Duration(p.GetWarmupMs())*time.Millisecond,
		Heard:  now - time.Duration(p.GetAgeMs())*time.Millisecond,
		Silent: p.GetSilent(),
	}
}
