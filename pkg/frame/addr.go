package frame

import (
	"encoding/binary"
	"net/netip"
)

const portSize = 2 // bytes

// AddrSize returns the encoded size of a caller's address in bytes.
func AddrSize(a netip.AddrPort) int { return a.Addr().Unmap().BitLen()/8 + portSize }

// AppendAddr appends a caller's address to b: 4 or 16 bytes of IP and 2 of port, big
// endian. It allocates only to grow b.
func AppendAddr(b []byte, a netip.AddrPort) []byte {
	if ip := a.Addr().Unmap(); ip.Is4() {
		v := ip.As4()
		b = append(b, v[:]...)
	} else {
		v := ip.As16()
		b = append(b, v[:]...)
	}
	return binary.BigEndian.AppendUint16(b, a.Port())
}

// DecodeAddr decodes the output of AppendAddr; for other input it returns an invalid address.
func DecodeAddr(b []byte) netip.AddrPort {
	if len(b) < portSize {
		return netip.AddrPort{}
	}
	ipBytes, portBytes := b[:len(b)-portSize], b[len(b)-portSize:]
	ip, ok := netip.AddrFromSlice(ipBytes)
	if !ok {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(portBytes))
}
