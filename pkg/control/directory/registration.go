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
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"time"
	"unicode/utf8"

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
	WarmupEnd     time.Duration // end of the warm-up after the start, in which the upstream is slow; 0 for none
	LastAnnounced time.Duration // time of the last announcement
	Silent        bool          // no announcement for longer than the interval of a live upstream
	Deregistered  bool          // the upstream has said at least once that it is about to exit
	WarmupSponsor string        // only entry daemon that may place flows during the warm-up, empty if none may
}

// announcedCold reports whether the upstream was in its warm-up at its last announcement.
func (r *Registration) announcedCold() bool { return r.WarmupEnd > max(0, r.LastAnnounced) }

// Proto returns the protobuf form of a registration, with times relative to now.
func (r *Registration) Proto(now time.Duration) *entrypb.Registration {
	return &entrypb.Registration{
		Key: uint64(r.Key), Name: r.Name, Service: r.Service,
		Address: routing.AddressNumber(r.Address.Addr()), Port: uint32(r.Address.Port()),
		DataCentre: r.DataCentre, Slots: uint32(r.Slots), BornUnixMs: r.StartUnixMs, Sequence: r.Sequence,
		State: entrypb.State(r.State), WarmupMs: routing.MillisecondsCeil(max(0, r.WarmupEnd-now)),
		AgeMs: max(0, now-r.LastAnnounced).Milliseconds(), Silent: r.Silent, Deregistered: r.Deregistered,
		WarmupSponsor: r.WarmupSponsor,
	}
}

// Limits of a plausible registration. Values beyond them come from a faulty writer; used as they are,
// they would overflow times or draw all flows of a service.
const (
	MaxSlots     = 4096 // more than an upstream holds connections
	MaxWarmup    = 10 * time.Minute
	MaxNameBytes = 253
	maxAge       = 24 * time.Hour
)

// InvalidError is the reason for which a registration is refused.
type InvalidError struct {
	// Field is the faulty field, as in the label of the counter.
	Field   string
	Problem string
}

// Error returns the field and the problem.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("registration is refused: %s %s: correct the upstream's announcement", e.Field, e.Problem)
}

// Check returns an *InvalidError for the first implausible field. Times are relative to now.
func (r *Registration) Check(now time.Duration) error {
	invalid := func(field, problem string) error { return &InvalidError{field, problem} }
	a := r.Address.Addr()
	if err := r.CheckText(); err != nil {
		return err
	}
	switch {
	case len(r.Name) > MaxNameBytes:
		return invalid("name", "is too long")
	case r.Service == "" || len(r.Service) > MaxNameBytes:
		return invalid("service", "is missing or too long")
	case r.DataCentre == "" || len(r.DataCentre) > MaxNameBytes:
		return invalid("data centre", "is missing or too long")
	case !a.Is4() || a.IsUnspecified() || a.IsMulticast() || a == broadcast || r.Address.Port() == 0:
		return invalid("address", "is not the IPv4 address and port of a host")
	case r.Slots < 1 || r.Slots > MaxSlots:
		return invalid("slots", fmt.Sprintf("is not between 1 and %d", MaxSlots))
	case r.StartUnixMs < 1:
		return invalid("start", "is not a time after 1970")
	case r.State < Ready || r.State > Gone:
		return invalid("state", "is unknown")
	case len(r.WarmupSponsor) > MaxNameBytes:
		return invalid("sponsor", "is too long")
	case r.WarmupEnd-now > MaxWarmup:
		return invalid("warm-up", fmt.Sprintf("is longer than %s", MaxWarmup))
	}
	return nil
}

// CheckText returns an *InvalidError for the first text that is not valid UTF-8. Protobuf refuses to encode
// such a text, and with it the whole message.
func (r *Registration) CheckText() error {
	for _, text := range []struct{ field, value string }{{"name", r.Name}, {"service", r.Service}, {"data centre", r.DataCentre}, {"sponsor", r.WarmupSponsor}} {
		if !utf8.ValidString(text.value) {
			return &InvalidError{text.field, "is not valid UTF-8"}
		}
	}
	return nil
}

var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// FromProto is the inverse of Proto; now is the receiver's time. The error is an *InvalidError: a process of
// another release, or a file of one, may contain values that this one refuses.
func FromProto(p *entrypb.Registration, now time.Duration) (Registration, error) {
	if p.GetPort() > math.MaxUint16 {
		return Registration{}, &InvalidError{"address", "has a port above 65535"}
	}
	if p.GetWarmupMs() < 0 || p.GetWarmupMs() > MaxWarmup.Milliseconds() {
		return Registration{}, &InvalidError{"warm-up", fmt.Sprintf("is not between 0 and %s", MaxWarmup)}
	}
	if p.GetAgeMs() < 0 {
		return Registration{}, &InvalidError{"age", "is negative"}
	}
	if p.GetState() < entrypb.State(Ready) || p.GetState() > entrypb.State(Gone) {
		return Registration{}, &InvalidError{"state", "is unknown"}
	}
	r := Registration{
		Incarnation: Incarnation{Key(p.GetKey()), p.GetBornUnixMs()},
		Name:        p.GetName(), Service: p.GetService(),
		Address:    netip.AddrPortFrom(routing.AddressFromNumber(p.GetAddress()), uint16(p.GetPort())),
		DataCentre: p.GetDataCentre(), Slots: int(p.GetSlots()), Sequence: p.GetSequence(),
		State:         State(p.GetState()),
		LastAnnounced: now - time.Duration(min(p.GetAgeMs(), maxAge.Milliseconds()))*time.Millisecond,
		Silent:        p.GetSilent(), Deregistered: p.GetDeregistered(), WarmupSponsor: p.GetWarmupSponsor(),
	}
	if p.GetWarmupMs() > 0 {
		r.WarmupEnd = now + time.Duration(p.GetWarmupMs())*time.Millisecond
	}
	return r, r.Check(now)
}
