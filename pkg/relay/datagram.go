package relay

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"hash"
	"net/netip"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"rosemarygate/pkg/frame"
	"rosemarygate/pkg/ident"
)

// Field numbers of peerpb.Datagram and peerpb.Relay. These fields are encoded and decoded directly,
// because decoding whole messages allocates for every packet.
const (
	fieldRelay      = protowire.Number(1)
	fieldMembership = protowire.Number(2)

	fieldCaller   = protowire.Number(1)
	fieldService  = protowire.Number(2)
	fieldFrame    = protowire.Number(3)
	fieldHops     = protowire.Number(4)
	fieldUpstream = protowire.Number(5)
	fieldTried    = protowire.Number(6)

	macSize = 16 // bytes; HMAC-SHA256 truncated

	// MaxDatagram is the largest datagram between daemons, in bytes.
	MaxDatagram = 1600
	// MaxHops is the largest number of times that one frame is forwarded between daemons. Daemons
	// with different member lists could otherwise forward it in a loop.
	MaxHops = 3
	// MaxTriedUpstreams is the largest number of upstreams that a packet lists as having refused its
	// open. An open that more upstreams have refused is not sent to another one.
	MaxTriedUpstreams = 3
)

// Errors of received datagrams.
var (
	ErrForged    = errors.New("datagram's MAC does not match: give every daemon the same cluster key file")
	ErrMalformed = errors.New("datagram is not a valid message between daemons: run the same release on every daemon")
)

// Sealer appends and verifies the MACs of datagrams between daemons. It is not safe for concurrent
// use.
type Sealer struct {
	mac       hash.Hash
	macBuffer [sha256.Size]byte
}

// NewSealer returns a sealer with the cluster key.
func NewSealer(key []byte) *Sealer { return &Sealer{mac: hmac.New(sha256.New, key)} }

// Seal appends the MAC of b to b.
func (s *Sealer) Seal(b []byte) []byte { return append(b, s.computeMAC(b)...) }

// Open verifies the MAC at the end of b and returns the message before it.
func (s *Sealer) Open(b []byte) ([]byte, error) {
	if len(b) < macSize {
		return nil, ErrForged
	}
	body := b[:len(b)-macSize]
	if subtle.ConstantTimeCompare(s.computeMAC(body), b[len(body):]) != 1 {
		return nil, ErrForged
	}
	return body, nil
}

func (s *Sealer) computeMAC(b []byte) []byte {
	s.mac.Reset()
	s.mac.Write(b)
	return s.mac.Sum(s.macBuffer[:0])[:macSize]
}

// Packet is a caller's frame that one daemon forwards to another. Frame aliases the buffer that it
// was decoded from.
type Packet struct {
	Caller  netip.AddrPort
	Service ident.ServiceID
	Frame   []byte
	Hops    int
	// Upstream is set when the receiver handles the packet as the owner of that upstream, without
	// routing it again: it is the upstream selected for an open, or that of a frame forwarded by a
	// former owner after a handover. Otherwise it is 0.
	Upstream          ident.UpstreamID
	TriedUpstreams    [MaxTriedUpstreams]ident.UpstreamID
	NumTriedUpstreams int
}

// AppendPacket appends the datagram of a packet, without its MAC, to b.
func AppendPacket(b []byte, p *Packet) []byte {
	b = protowire.AppendTag(b, fieldRelay, protowire.BytesType)
	b = protowire.AppendVarint(b, uint64(packetSize(p)))
	b = protowire.AppendTag(b, fieldCaller, protowire.BytesType)
	b = protowire.AppendVarint(b, uint64(frame.AddrSize(p.Caller)))
	b = frame.AppendAddr(b, p.Caller)
	b = protowire.AppendTag(b, fieldService, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, uint64(p.Service))
	b = protowire.AppendTag(b, fieldHops, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(p.Hops))
	if p.Upstream != 0 {
		b = protowire.AppendTag(b, fieldUpstream, protowire.Fixed64Type)
		b = protowire.AppendFixed64(b, uint64(p.Upstream))
	}
	if p.NumTriedUpstreams > 0 {
		b = protowire.AppendTag(b, fieldTried, protowire.BytesType)
		b = protowire.AppendVarint(b, uint64(8*p.NumTriedUpstreams))
		for _, u := range p.TriedUpstreams[:p.NumTriedUpstreams] {
			b = protowire.AppendFixed64(b, uint64(u))
		}
	}
	b = protowire.AppendTag(b, fieldFrame, protowire.BytesType)
	return protowire.AppendBytes(b, p.Frame)
}

func packetSize(p *Packet) int {
	size := 1 + 1 + frame.AddrSize(p.Caller)
	size += 1 + 8
	size += 1 + protowire.SizeVarint(uint64(p.Hops))
	if p.Upstream != 0 {
		size += 1 + 8
	}
	if p.NumTriedUpstreams > 0 {
		size += 1 + protowire.SizeVarint(uint64(8*p.NumTriedUpstreams)) + 8*p.NumTriedUpstreams
	}
	return size + 1 + protowire.SizeBytes(len(p.Frame))
}

// AppendMembership appends the datagram of an encoded membership message, without its MAC, to b.
func AppendMembership(b, message []byte) []byte {
	b = protowire.AppendTag(b, fieldMembership, protowire.BytesType)
	return protowire.AppendBytes(b, message)
}

// Parse decodes a datagram whose MAC has been removed. For a relayed packet it fills p and returns
// nil; for a membership datagram it returns the encoded message. Both alias b.
func Parse(b []byte, p *Packet) ([]byte, error) {
	num, typ, n := protowire.ConsumeTag(b)
	if n < 0 || typ != protowire.BytesType {
		return nil, ErrMalformed
	}
	body, m := protowire.ConsumeBytes(b[n:])
	if m < 0 {
		return nil, ErrMalformed
	}
	switch num {
	case fieldRelay:
		return nil, parsePacket(body, p)
	case fieldMembership:
		return body, nil
	default:
		return nil, ErrMalformed
	}
}

func parsePacket(b []byte, p *Packet) error {
	*p = Packet{}
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return ErrMalformed
		}
		b = b[n:]
		n = p.parseField(num, typ, b)
		if n < 0 {
			return ErrMalformed
		}
		b = b[n:]
	}
	if !p.Caller.IsValid() {
		return ErrMalformed
	}
	return nil
}

func (p *Packet) parseField(num protowire.Number, typ protowire.Type, b []byte) int {
	switch {
	case num == fieldCaller && typ == protowire.BytesType:
		v, n := protowire.ConsumeBytes(b)
		p.Caller = frame.DecodeAddr(v)
		return n
	case num == fieldService && typ == protowire.Fixed64Type:
		v, n := protowire.ConsumeFixed64(b)
		p.Service = ident.ServiceID(v)
		return n
	case num == fieldFrame && typ == protowire.BytesType:
		v, n := protowire.ConsumeBytes(b)
		p.Frame = v
		return n
	case num == fieldHops && typ == protowire.VarintType:
		v, n := protowire.ConsumeVarint(b)
		p.Hops = int(min(v, MaxHops))
		return n
	case num == fieldUpstream && typ == protowire.Fixed64Type:
		v, n := protowire.ConsumeFixed64(b)
		p.Upstream = ident.UpstreamID(v)
		return n
	case num == fieldTried && typ == protowire.BytesType:
		v, n := protowire.ConsumeBytes(b)
		p.parseTried(v)
		return n
	default:
		return protowire.ConsumeFieldValue(num, typ, b)
	}
}

func (p *Packet) parseTried(v []byte) {
	for len(v) >= 8 && p.NumTriedUpstreams < MaxTriedUpstreams {
		u, _ := protowire.ConsumeFixed64(v)
		p.TriedUpstreams[p.NumTriedUpstreams] = ident.UpstreamID(u)
		p.NumTriedUpstreams++
		v = v[8:]
	}
}
