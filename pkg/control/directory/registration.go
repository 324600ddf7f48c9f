// Package directory keeps the registrations of upstreams on control hosts and entry daemons. It has no
// I/O and no clock: the caller passes in announcements and the time. Invariants:
//   - Of two incarnations of a key (processes with different start times) the later one is valid; an
//     earlier one never becomes valid again.
//   - Within an incarnation the announcement with the largest sequence number is valid, so merging is
//     idempotent and does not depend on the order of arrival.
//   - Gone is final. An upstream becomes gone only some time after its deregistration, or through a
//     later incarnation of its key or a later process at its address; never through silence alone.
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

// Key is the number that identifies an upstream in datagrams.
type Key uint64

// String returns the key in hexadecimal, as in log lines.
func (k Key) String() string { return strconv.FormatUint(uint64(k), 16) }

// Incarnation identifies one upstream process.
type Incarnation struct {
	Key Key
	// StartUnixMs is the start time of the process in Unix milliseconds, by its own clock.
	StartUnixMs int64
}

// Cookie is the 32-bit identifier of an incarnation in packets. It is never 0.
type Cookie uint32

// Cookie returns the incarnation's cookie, which is the same on every daemon.
func (i Incarnation) Cookie() Cookie {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], uint64(i.Key))
	binary.BigEndian.PutUint64(b[8:], uint64(i.StartUnixMs))
	return max(Cookie(xxhash.Sum64(b[:])>>32), 1)
}

// State is the state of an upstream process.
type State uint8

// States of upstreams; the values equal those of entrypb.State.
const (
	Ready    State = 1
	Draining State = 2 // takes no new flows
	Gone     State = 3 // the process has ended; final
)

// String returns the name of the state in log lines.
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

// Registration is the registration of one upstream process. Times are on the monotonic clock of the
// process that holds it.
type Registration struct {
	Incarnation
	Name          string
	Service       string
	Address       netip.AddrPort
	DataCentre    string
	Slots         int // number of requests that the upstream processes concurrently
	Sequence      uint64
	State         State
	WarmupEnd     time.Duration // end of the warm-up after the start, in which the upstream is slow
	LastAnnounced time.Duration // time of the last announcement
	Silent        bool          // no announcement for longer than the interval of a live upstream
}

// Proto returns the protobuf form of a registration, with times relative to now.
func (r *Registration) Proto(now time.Duration) *entrypb.Registration {
	return &entrypb.Registration{
		Key: uint64(r.Key), Name: r.Name, Service: r.Service,
		Address: routing.AddressNumber(r.Address.Addr()), Port: uint32(r.Address.Port()),
		DataCentre: r.DataCentre, Slots: uint32(r.Slots), BornUnixMs: r.StartUnixMs, Sequence: r.Sequence,
		State: entrypb.State(r.State), WarmupMs: max(0, r.WarmupEnd-now).Milliseconds(),
		AgeMs: max(0, now-r.LastAnnounced).Milliseconds(), Silent: r.Silent,
	}
}

// FromProto is the inverse of Proto; now is the receiver's time.
func FromProto(p *entrypb.Registration, now time.Duration) Registration {
	return Registration{
		Incarnation: Incarnation{Key(p.GetKey()), p.GetBornUnixMs()},
		Name:        p.GetName(), Service: p.GetService(),
		Address:    netip.AddrPortFrom(routing.AddressFromNumber(p.GetAddress()), uint16(p.GetPort())),
		DataCentre: p.GetDataCentre(), Slots: int(p.GetSlots()), Sequence: p.GetSequence(),
		State:         State(p.GetState()),
		WarmupEnd:     now + time.Duration(p.GetWarmupMs())*time.Millisecond,
		LastAnnounced: now - time.Duration(p.GetAgeMs())*time.Millisecond,
		Silent:        p.GetSilent(),
	}
}
