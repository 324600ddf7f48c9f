package client

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

// Transport carries datagrams between the client and the service's address. The client
// calls Send from several goroutines and Receive from one.
type Transport interface {
	// Send sends one datagram; its loss is not an error.
	Send(b []byte) error
	// Receive waits for one datagram and returns its size.
	Receive(b []byte) (int, error)
	Close() error
}

// udpTransport sends each datagram to a random entry address, as a fabric does.
type udpTransport struct {
	conn           *net.UDPConn
	entryAddresses []netip.AddrPort
}

const socketBufferSize = 4 << 20 // bytes

// NewUDPTransport returns a transport that spreads datagrams over the entry addresses of
// one service.
func NewUDPTransport(entryAddresses []netip.AddrPort) (Transport, error) {
	if len(entryAddresses) == 0 {
		return nil, errors.New("no entry address: give at least one IP:port of the service")
	}
	conn, err := net.ListenUDP("udp", nil)
	if err != nil {
		return nil, errors.Wrap(err, "client socket cannot be opened")
	}
	// If the system allows only a smaller buffer, more datagrams are resent.
	_ = conn.SetReadBuffer(socketBufferSize)
	return &udpTransport{conn: conn, entryAddresses: entryAddresses}, nil
}

func (t *udpTransport) Send(b []byte) error {
	_, err := t.conn.WriteToUDPAddrPort(b, t.entryAddresses[rand.IntN(len(t.entryAddresses))])
	return err
}

func (t *udpTransport) Receive(b []byte) (int, error) {
	n, _, err := t.conn.ReadFromUDPAddrPort(b)
	return n, err
}

func (t *udpTransport) Close() error { return t.conn.Close() }
