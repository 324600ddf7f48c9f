package relaybench

import (
	"net"
	"net/netip"
)

// bareRelay forwards every datagram to one address, with one read and one write per packet and no
// other work. The rates of the daemons are compared with its rate.
type bareRelay struct {
	conn        *net.UDPConn
	destination netip.AddrPort
}

func newBareRelay(host netip.Addr, destination netip.AddrPort) (*bareRelay, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(host, 0)))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(socketBuffer)
	return &bareRelay{conn: conn, destination: destination}, nil
}

func (r *bareRelay) addr() *net.UDPAddr { return r.conn.LocalAddr().(*net.UDPAddr) }

func (r *bareRelay) run() {
	b := make([]byte, bufferSize)
	for {
		n, _, err := r.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		// A packet that cannot be sent is lost.
		_, _ = r.conn.WriteToUDPAddrPort(b[:n], r.destination)
	}
}
