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
	// Send sends one datagram; a lost one is not an error.
	Send(b []byte) error
	// Receive waits for one datagram and returns its size.
	Receive(b []byte) (int, error)
	Close() error
}

// udpTransport sends each datagram to a random entry address, as a fabric would.
type udpTransport struct {
	conn    *net.UDPConn
	entries []netip.AddrPort
}

const socketBuffer = 4 << 20 // bytes

// NewUDPTransport returns a transport that spreads datagrams over the entry addresses of
// one service.
func NewUDPTransport(entries []netip.AddrPort) (Transport, error) {
	if len(entries) == 0 {
		return nil, errors.New("no entry address: give at least one IP:port of the service")
	}
	conn, err := net.ListenUDP("udp", nil)
	if err != nil {
		return nil, errors.Wrap(err, "client socket cannot be opened")
	}
	// A smaller buffer, where the system allows no more, costs only resends.
	_ = conn.SetReadBuffer(socketBuffer)
	return &udpTransport{conn: conn, entries: entries}, nil
}

func (t *udpTransport) Send(b []byte) error {
	_, err := t.conn.WriteToUDPAddrPort(b, t.entries[rand.IntN(len(t.entries))])
	return err
}

func (t *udpTransport) Receive(b []byte) (int, error) {
	n, _, err := t.conn.ReadFromUDPAddrPort(b)
	return n, err
}

func (t *udpTransport) Close() error { return t.conn.Close() }
