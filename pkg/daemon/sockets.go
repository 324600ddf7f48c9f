package daemon

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"

	"rosemarygate/pkg/ident"
)

const (
	receiveBatch       = 64 // datagrams read by one system call
	receiveBufferBytes = 2048
	// maxDrainBatches limits the batches read in a row, so that a receiver returns to its pool.
	maxDrainBatches   = 16
	socketBufferBytes = 8 << 20
	// socketReaders is the number of goroutines that read one socket. While one of them reads, the
	// others process the datagrams that they have read.
	socketReaders = 4
)

// serviceSocket is the UDP socket of one service on this host.
type serviceSocket struct {
	service   ident.ServiceID
	port      uint16
	conn      *net.UDPConn
	batchConn *ipv4.PacketConn
}

// sockets holds the service sockets.
type sockets struct {
	host      netip.Addr
	receivers *sync.Pool // of *receiver
	receive   func(*serviceSocket, *receiver, []byte, netip.AddrPort)

	mu        sync.RWMutex
	byService map[ident.ServiceID]*serviceSocket
	unbound   map[ident.ServiceID]uint16 // ports that could not be bound
	stopped   bool                       // no socket may be opened after this is set
	wg        sync.WaitGroup
}

// setPorts opens and closes sockets so that there is one for each service. The error names a service
// whose address could not be bound; the sockets of the others are open.
func (s *sockets) setPorts(ports map[ident.ServiceID]uint16) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := map[ident.ServiceID]uint16{}
	maps.Copy(changes, ports)
	for id := range s.byService {
		if _, kept := ports[id]; !kept {
			changes[id] = 0
		}
	}
	clear(s.unbound)
	return s.replaceSockets(changes)
}

// changePorts opens and closes the sockets of the given services; port 0 closes a socket. It retries
// the services whose address could not be bound before.
func (s *sockets) changePorts(ports map[ident.ServiceID]uint16) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, port := range s.unbound {
		if _, changed := ports[id]; !changed {
			ports[id] = port
		}
	}
	clear(s.unbound)
	return s.replaceSockets(ports)
}

// replaceSockets closes sockets before it opens others, since services may exchange their ports.
func (s *sockets) replaceSockets(ports map[ident.ServiceID]uint16) error {
	if s.stopped {
		return nil
	}
	for id, port := range ports {
		if sock := s.byService[id]; sock != nil && port != sock.port {
			sock.conn.Close()
			delete(s.byService, id)
		}
	}
	var bindErr error
	for id, port := range ports {
		if port == 0 || s.byService[id] != nil {
			continue
		}
		if err := s.open(id, port); err != nil {
			s.unbound[id] = port
			bindErr = err
		}
	}
	return bindErr
}

func (s *sockets) open(id ident.ServiceID, port uint16) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(s.host, port)))
	if err != nil {
		return errors.Wrapf(err, "service address %s:%d cannot be bound: free the port or change the service's port", s.host, port)
	}
	// The system may grant a smaller buffer; bursts then lose packets sooner.
	_ = conn.SetReadBuffer(socketBufferBytes)
	sock := &serviceSocket{service: id, port: port, conn: conn, batchConn: ipv4.NewPacketConn(conn)}
	s.byService[id] = sock
	s.wg.Add(socketReaders)
	for range socketReaders {
		go s.read(sock)
	}
	return nil
}

func (s *sockets) read(sock *serviceSocket) {
	defer s.wg.Done()
	readBatches(sock.batchConn, s.receivers, func(r *receiver, b []byte, from netip.AddrPort) { s.receive(sock, r, b, from) })
}

// readBatches calls f for each datagram until the connection is closed, and sends what f has added to
// the receiver's outbox after each batch. While it waits, it has a buffer for only one datagram; it
// gets a receiver from the pool when a datagram has arrived, because a host may have hundreds of idle
// sockets.
func readBatches(conn *ipv4.PacketConn, receivers *sync.Pool, f func(r *receiver, b []byte, from netip.AddrPort)) {
	firstMessage := newMessages(1)
	for {
		n, err := conn.ReadBatch(firstMessage, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		r := receivers.Get().(*receiver)
		r.handle(firstMessage[:n], f)
		r.drain(conn, f)
		receivers.Put(r)
	}
}

// drain handles the datagrams that have already arrived, without waiting for more.
func (r *receiver) drain(conn *ipv4.PacketConn, f func(r *receiver, b []byte, from netip.AddrPort)) {
	for range maxDrainBatches {
		n, err := conn.ReadBatch(r.messages, unix.MSG_DONTWAIT)
		if err != nil {
			return
		}
		r.handle(r.messages[:n], f)
		if n < len(r.messages) {
			return
		}
	}
}

// handle calls f for each datagram and then sends what f has added to the outbox.
func (r *receiver) handle(messages []ipv4.Message, f func(r *receiver, b []byte, from netip.AddrPort)) {
	for _, m := range messages {
		if from, ok := m.Addr.(*net.UDPAddr); ok {
			f(r, m.Buffers[0][:m.N], from.AddrPort())
		}
	}
	r.outbox.flush()
}

func newMessages(n int) []ipv4.Message {
	messages := make([]ipv4.Message, n)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, receiveBufferBytes)}
	}
	return messages
}

func (s *sockets) find(service ident.ServiceID) *serviceSocket {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byService[service]
}

func (s *sockets) run(ctx context.Context) error {
	<-ctx.Done()
	s.mu.Lock()
	s.stopped = true
	for id, sock := range s.byService {
		sock.conn.Close()
		delete(s.byService, id)
	}
	s.mu.Unlock()
	s.wg.Wait()
	return nil
}
