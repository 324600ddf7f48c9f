package main

import (
	"encoding/binary"
	"net/netip"
)

const (
	headerSize = 34
	flagACK    = 1
	flagFIN    = 8
	flagSYN    = 32
	flagRST    = 64
)

// packet is a packet of a flow.
type packet struct {
	src, dst       netip.AddrPort
	flags          byte
	seq, ack, echo uint32
	data           []byte
}

func (p *packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	binary.BigEndian.PutUint16(b[0:], p.dst.Port())
	binary.BigEndian.PutUint16(b[2:], p.src.Port())
	copy(b[4:], dst[:])
	copy(b[8:], src[:])
	binary.BigEndian.PutUint16(b[12:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[14:], 0xa1b2c3d5)
	b[18] = p.flags
	binary.BigEndian.PutUint32(b[22:], p.seq)
	binary.BigEndian.PutUint32(b[26:], p.ack)
	binary.BigEndian.PutUint32(b[30:], p.echo)
	return append(b, p.data...)
}

func decodePacket(b []byte) (p packet, ok bool) {
	if len(b) < headerSize {
		return p, false
	}
	p.dst = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), binary.BigEndian.Uint16(b[0:]))
	p.src = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[8:12])), binary.BigEndian.Uint16(b[2:]))
	p.flags = b[18]
	p.seq, p.ack, p.echo = binary.BigEndian.Uint32(b[22:]), binary.BigEndian.Uint32(b[26:]), binary.BigEndian.Uint32(b[30:])
	p.data = b[headerSize:]
	return p, true
}
