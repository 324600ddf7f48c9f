package fleet

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"rosemarygate/client"
)

// FabricFaults are the ratios, from 0 to 1, of datagrams that the fabric loses, duplicates and
// reorders in each direction.
type FabricFaults struct {
	Loss, Duplicate, Reorder float64
	// ReorderDelay is how long a reordered datagram is delayed.
	ReorderDelay time.Duration
}

// fabric is a caller's transport that sends each datagram to a random entry address, and drops,
// duplicates and reorders some of them.
type fabric struct {
	conn   *net.UDPConn
	faults FabricFaults
	// isBlocked reports whether datagrams from an address are dropped; nil drops none.
	isBlocked func(netip.Addr) bool

	mu             sync.Mutex
	rng            *rand.Rand
	entryAddresses []netip.AddrPort
}

// NewFabric returns a transport to one service behind the given entry addresses.
func NewFabric(entryAddresses []netip.AddrPort, faults FabricFaults, seed uint64) (client.Transport, error) {
	return newFabric(entryAddresses, faults, seed)
}

func newFabric(entryAddresses []netip.AddrPort, faults FabricFaults, seed uint64) (*fabric, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(4 << 20)
	return &fabric{
		conn: conn, faults: faults, entryAddresses: entryAddresses,
		rng: rand.New(rand.NewPCG(seed, 2)),
	}, nil
}

// drawFaults draws the entry address of one datagram, the number of its copies, and whether they are
// delayed.
func (f *fabric) drawFaults() (copies int, delayed bool, entry netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry = f.entryAddresses[f.rng.IntN(len(f.entryAddresses))]
	copies = 1
	if f.rng.Float64() < f.faults.Loss {
		copies = 0
	} else if f.rng.Float64() < f.faults.Duplicate {
		copies = 2
	}
	return copies, f.rng.Float64() < f.faults.Reorder, entry
}

// Send sends the datagram, subject to the faults.
func (f *fabric) Send(b []byte) error {
	copies, delayed, entry := f.drawFaults()
	for range copies {
		if delayed {
			copied := append([]byte(nil), b...)
			time.AfterFunc(f.faults.ReorderDelay, func() { _, _ = f.conn.WriteToUDPAddrPort(copied, entry) })
			continue
		}
		if _, err := f.conn.WriteToUDPAddrPort(b, entry); err != nil {
			return err
		}
		_, _, entry = f.drawFaults()
	}
	return nil
}

// Receive returns the next datagram that is not dropped. It does not duplicate replies, because
// duplicated requests already cause repeated replies.
func (f *fabric) Receive(b []byte) (int, error) {
	for {
		n, from, err := f.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return 0, err
		}
		if f.isBlocked != nil && f.isBlocked(from.Addr()) {
			continue
		}
		if copies, _, _ := f.drawFaults(); copies > 0 {
			return n, nil
		}
	}
}

func (f *fabric) Close() error { return f.conn.Close() }
