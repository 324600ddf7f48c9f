package main

import (
	"encoding/binary"
	"net/netip"
)

// Layout of the header of a packet.
const (
	headerSize  = 34
	prefixSize  = 8 // identifies the target before an encapsulated packet
	maxData     = 1200
	sumOfSender = 0x5eed5eed // stands for the keyed sum of clients and targets

	flagACK = 1
	flagFIN = 8
	flagSYN = 32
	flagRST = 64
)

// flowKey identifies a flow.
type flowKey struct{ client, route netip.AddrPort }

func (k flowKey) String() string { return k.client.String() + ">" + k.route.String() }

// packet is one packet of a flow.
type packet struct {
	src, dst       netip.AddrPort
	flags          byte
	seq, ack, echo uint32
	sum            uint32
	data           []byte
}

func (p *packet) encode(dst []byte) []byte {
	h := make([]byte, headerSize)
	binary.BigEndian.PutUint16(h[0:], p.dst.Port())
	binary.BigEndian.PutUint16(h[2:], p.src.Port())
	d, s := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(h[4:], d[:])
	copy(h[8:], s[:])
	binary.BigEndian.PutUint16(h[12:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(h[14:], p.sum)
	h[18] = p.flags
	binary.BigEndian.PutUint32(h[22:], p.seq)
	binary.BigEndian.PutUint32(h[26:], p.ack)
	binary.BigEndian.PutUint32(h[30:], p.echo)
	return append(append(dst, h...), p.data...)
}

func decode(raw []byte) (packet, bool) {
	if len(raw) < headerSize {
		return packet{}, false
	}
	endpoint := func(ip, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(raw[ip:ip+4])), binary.BigEndian.Uint16(raw[port:]))
	}
	p := packet{
		src: endpoint(8, 2), dst: endpoint(4, 0), flags: raw[18], sum: binary.BigEndian.Uint32(raw[14:]),
		seq: binary.BigEndian.Uint32(raw[22:]), ack: binary.BigEndian.Uint32(raw[26:]), echo: binary.BigEndian.Uint32(raw[30:]),
		data: append([]byte(nil), raw[headerSize:]...),
	}
	return p, int(binary.BigEndian.Uint16(raw[12:])) == len(p.data)
}

// isAfter reports whether sequence number a follows b.
func isAfter(a, b uint32) bool { return int32(a-b) > 0 }
