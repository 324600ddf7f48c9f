package daemon

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"

	"rosemarygate/pkg/ident"
)

const (
	receiveBatch  = 64 // datagrams read by one system call
	receiveBuffer = 2048
	socketBuffer  = 8 << 20 // bytes
)

// serviceSocket is the UDP socket of one service's address on this host.
type serviceSocket struct {
	service ident.ServiceID
	port    uint16
	conn    *net.UDPConn
	// queued counts the service's packets between socket and owner cores, so that a
	// flood of one service leaves room for the others.
	queued atomic.Int64
}

// sockets holds the service sockets by service.
type sockets struct {
	host    netip.Addr
	receive func(*serviceSocket, *receiver, []byte, netip.AddrPort)
	newRecv func() *receiver

	mu        sync.RWMutex
	byService map[ident.ServiceID]*serviceSocket
	wg        sync.WaitGroup
}

// set opens and closes sockets so that there is one for each service. The error names
// the services whose address could not be bound; the others are served.
func (s *sockets) set(ports map[ident.ServiceID]uint16) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, sock := range s.byService {
		if ports[id] != sock.port {
			sock.conn.Close()
			delete(s.byService, id)
		}
	}
	var failed error
	for id, port := range ports {
		if s.byService[id] != nil {
			continue
		}
		if err := s.open(id, port); err != nil {
			failed = err
		}
	}
	return failed
}

func (s *sockets) open(id ident.ServiceID, port uint16) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(s.host, port)))
	if err != nil {
		return errors.Wrapf(err, "service address %s:%d cannot be bound: free the port or change the service's port", s.host, port)
	}
	// The system may allow less; packets are then dropped sooner in a burst.
	_ = conn.SetReadBuffer(socketBuffer)
	sock := &serviceSocket{service: id, port: port, conn: conn}
	s.byService[id] = sock
	s.wg.Add(1)
	go s.read(sock)
	return nil
}

func (s *sockets) read(sock *serviceSocket) {
	defer s.wg.Done()
	recv := s.newRecv()
	readBatches(sock.conn, func(b []byte, from netip.AddrPort) { s.receive(sock, recv, b, from) })
}

// readBatches calls f for each datagram until the connection is closed.
func readBatches(conn *net.UDPConn, f func(b []byte, from netip.AddrPort)) {
	batch := ipv4.NewPacketConn(conn)
	messages := make([]ipv4.Message, receiveBatch)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, receiveBuffer)}
	}
	for {
		n, err := batch.ReadBatch(messages, 0)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		for _, m := range messages[:n] {
			if from, ok := m.Addr.(*net.UDPAddr); ok {
				f(m.Buffers[0][:m.N], from.AddrPort())
			}
		}
	}
}

// send sends a datagram from the service's address.
func (s *sockets) send(service ident.ServiceID, to netip.AddrPort, b []byte) {
	s.mu.RLock()
	sock := s.byService[service]
	s.mu.RUnlock()
	if sock != nil {
		// A datagram that cannot be sent counts as lost; the protocol repeats it.
		_, _ = sock.conn.WriteToUDPAddrPort(b, to)
	}
}

func (s *sockets) find(service ident.ServiceID) *serviceSocket {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byService[service]
}

func (s *sockets) run(ctx context.Context) error {
	<-ctx.Done()
	err := s.set(nil)
	s.wg.Wait()
	return err
}
