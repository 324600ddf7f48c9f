package main

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"net/netip"
)

// The packet format of PROTOCOL.md, section Packets.

const (
	headSize  = 34
	keySize   = 8 // precedes a packet to a server: the number of the server's id
	maxPacket = 2048

	flagACK = 1
	flagFIN = 8
	flagSYN = 32
	flagRST = 64
)

// packet is one datagram between the two ends of a flow.
type packet struct {
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	echo     uint32
	sum      uint32
	data     []byte
}

// sumKey is the key of the sum, which only clients and servers know.
const sumKey = "review"

// encode writes the packet with a valid sum.
func (p *packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	binary.BigEndian.PutUint16(b[0:], p.dst.Port())
	binary.BigEndian.PutUint16(b[2:], p.src.Port())
	copy(b[4:], dst[:])
	copy(b[8:], src[:])
	binary.BigEndian.PutUint16(b[12:], uint16(len(p.data)))
	b[18] = p.flags
	binary.BigEndian.PutUint32(b[22:], p.seq)
	binary.BigEndian.PutUint32(b[26:], p.ack)
	binary.BigEndian.PutUint32(b[30:], p.echo)
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[14:], sumOf(b))
	return b
}

// sumOf covers all fields but echo, pad and the sum itself. It is never 0.
func sumOf(b []byte) uint32 {
	h := crc32.NewIEEE()
	_, _ = h.Write([]byte(sumKey)) // writes to a hash never fail
	_, _ = h.Write(b[0:14])
	_, _ = h.Write([]byte{b[18] &^ 16})
	_, _ = h.Write(b[22:30])
	_, _ = h.Write(b[headSize:])
	return max(h.Sum32(), 1)
}

var errPacket = errors.New("packet cannot be read")

// decode reads a packet. genuine reports whether the sum is right, so that one of the two ends wrote it.
func decode(b []byte) (p packet, genuine bool, err error) {
	if len(b) < headSize || len(b) != headSize+int(binary.BigEndian.Uint16(b[12:])) {
		return p, false, errPacket
	}
	p = packet{
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), binary.BigEndian.Uint16(b[0:])),
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[8:12])), binary.BigEndian.Uint16(b[2:])),
		flags: b[18], seq: binary.BigEndian.Uint32(b[22:]), ack: binary.BigEndian.Uint32(b[26:]),
		echo: binary.BigEndian.Uint32(b[30:]), sum: binary.BigEndian.Uint32(b[14:]), data: append([]byte(nil), b[headSize:]...),
	}
	return p, p.sum == sumOf(b), nil
}
