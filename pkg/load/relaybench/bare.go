package relaybench

import (
	"net"
	"net/netip"
)

// bareRelay passes every datagram on to one address, with one read and one write a packet
// and no other work. It is what the daemon is measured against.
type bareRelay struct {
	conn *net.UDPConn
	to   netip.AddrPort
}

func newBareRelay(host netip.Addr, to netip.AddrPort) (*bareRelay, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(host, 0)))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(socketBuffer)
	return &bareRelay{conn: conn, to: to}, nil
}

func (r *bareRelay) addr() *net.UDPAddr { return r.conn.LocalAddr().(*net.UDPAddr) }

func (r *bareRelay) run() {
	b := make([]byte, bufferSize)
	for {
		n, _, err := r.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		// A packet that cannot be sent counts as lost.
		_, _ = r.conn.WriteToUDPAddrPort(b[:n], r.to)
	}
}
