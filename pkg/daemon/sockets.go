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
	receiveBatch  = 64 // datagrams read by one system call
	receiveBuffer = 2048
	// maxDrain bounds the batches read in a row, so that a receiver returns to its pool.
	maxDrain     = 16
	socketBuffer = 8 << 20 // bytes
	// socketReaders goroutines take turns at reading one socket; while one reads, the others
	// check and pass on what they have read.
	socketReaders = 4
)

// serviceSocket is the UDP socket of one service's address on this host.
type serviceSocket struct {
	service ident.ServiceID
	port    uint16
	conn    *net.UDPConn
	batch   *ipv4.PacketConn
}

// sockets holds the service sockets by service.
type sockets struct {
	host      netip.Addr
	receivers *sync.Pool // of *receiver
	receive   func(*serviceSocket, *receiver, []byte, netip.AddrPort)

	mu        sync.RWMutex
	byService map[ident.ServiceID]*serviceSocket
	unbound   map[ident.ServiceID]uint16 // ports that could not be bound
	stopped   bool                       // no socket may be opened any more
	wg        sync.WaitGroup
}

// set opens and closes sockets so that there is one for each service. The error names
// a service whose address could not be bound; the others are served.
func (s *sockets) set(ports map[ident.ServiceID]uint16) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[ident.ServiceID]uint16{}
	maps.Copy(all, ports)
	for id := range s.byService {
		if _, kept := ports[id]; !kept {
			all[id] = 0
		}
	}
	clear(s.unbound)
	return s.replace(all)
}

// change opens and closes the sockets of the given services; port 0 closes one. It tries those
// again whose address could not be bound before.
func (s *sockets) change(ports map[ident.ServiceID]uint16) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, port := range s.unbound {
		if _, changed := ports[id]; !changed {
			ports[id] = port
		}
	}
	clear(s.unbound)
	return s.replace(ports)
}

// replace closes before it opens, since services may exchange their ports.
func (s *sockets) replace(ports map[ident.ServiceID]uint16) error {
	if s.stopped {
		return nil
	}
	for id, port := range ports {
		if sock := s.byService[id]; sock != nil && port != sock.port {
			sock.conn.Close()
			delete(s.byService, id)
		}
	}
	var failed error
	for id, port := range ports {
		if port == 0 || s.byService[id] != nil {
			continue
		}
		if err := s.open(id, port); err != nil {
			s.unbound[id] = port
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
	sock := &serviceSocket{service: id, port: port, conn: conn, batch: ipv4.NewPacketConn(conn)}
	s.byService[id] = sock
	s.wg.Add(socketReaders)
	for range socketReaders {
		go s.read(sock)
	}
	return nil
}

func (s *sockets) read(sock *serviceSocket) {
	defer s.wg.Done()
	readBatches(sock.batch, s.receivers, func(r *receiver, b []byte, from netip.AddrPort) { s.receive(sock, r, b, from) })
}

// readBatches calls f for each datagram until the connection is closed, and sends what f
// collected in the receiver's outbox after each batch. It waits with room for one datagram
// and takes a receiver only while there is work, because a host may have hundreds of idle
// sockets.
func readBatches(conn *ipv4.PacketConn, receivers *sync.Pool, f func(r *receiver, b []byte, from netip.AddrPort)) {
	first := newMessages(1)
	for {
		n, err := conn.ReadBatch(first, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		r := receivers.Get().(*receiver)
		r.handle(first[:n], f)
		r.drain(conn, f)
		receivers.Put(r)
	}
}

// drain handles what else has arrived, without waiting.
func (r *receiver) drain(conn *ipv4.PacketConn, f func(r *receiver, b []byte, from netip.AddrPort)) {
	for range maxDrain {
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

// handle calls f for each datagram and sends what f collected.
func (r *receiver) handle(messages []ipv4.Message, f func(r *receiver, b []byte, from netip.AddrPort)) {
	for _, m := range messages {
		if from, ok := m.Addr.(*net.UDPAddr); ok {
			f(r, m.Buffers[0][:m.N], from.AddrPort())
		}
	}
	r.out.flush()
}

func newMessages(n int) []ipv4.Message {
	messages := make([]ipv4.Message, n)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, receiveBuffer)}
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
