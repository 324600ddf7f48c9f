package daemon

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"

	"rosemarygate/pkg/relay"
)

const sendBatch = 64 // datagrams sent by one system call

// outbox collects datagrams of one socket and sends them with one system call. It reuses its buffers,
// so that a datagram allocates nothing. It belongs to one goroutine, which flushes it after each
// batch of work.
type outbox struct {
	conn     *ipv4.PacketConn // the socket of the collected datagrams
	messages []ipv4.Message
	addrs    []net.UDPAddr
	n        int // collected datagrams
}

// nextBuffer returns an empty buffer for a datagram to the address. The caller appends to it and
// passes the result to add. It returns false for an address that is not IPv4, since every socket is
// an IPv4 socket.
func (o *outbox) nextBuffer(conn *ipv4.PacketConn, to netip.AddrPort) ([]byte, bool) {
	addr := to.Addr().Unmap()
	if !addr.Is4() {
		return nil, false
	}
	if o.conn != conn || o.n == sendBatch {
		o.flush()
		o.conn = conn
	}
	if o.n == len(o.messages) {
		o.grow()
	}
	ip := addr.As4()
	copy(o.addrs[o.n].IP, ip[:])
	o.addrs[o.n].Port = int(to.Port())
	return o.messages[o.n].Buffers[0][:0], true
}

// add adds the datagram that was written into the buffer from nextBuffer.
func (o *outbox) add(b []byte) {
	o.messages[o.n].Buffers[0] = b
	o.n++
}

// grow adds one buffer, so that an outbox that sends little stays small.
func (o *outbox) grow() {
	if o.messages == nil {
		o.messages = make([]ipv4.Message, 0, sendBatch)
		o.addrs = make([]net.UDPAddr, sendBatch)
	}
	i := len(o.messages)
	o.addrs[i].IP = make(net.IP, net.IPv4len)
	o.messages = append(o.messages, ipv4.Message{
		Buffers: [][]byte{make([]byte, 0, relay.MaxDatagram)}, Addr: &o.addrs[i],
	})
}

// flush sends the collected datagrams. It skips a datagram that cannot be sent, since the protocol
// repeats lost datagrams.
func (o *outbox) flush() {
	unsent := o.messages[:o.n]
	o.n = 0
	for len(unsent) > 0 {
		sent, err := o.conn.WriteBatch(unsent, 0)
		if err != nil {
			sent = max(sent, 1)
		}
		unsent = unsent[min(max(sent, 1), len(unsent)):]
	}
}
