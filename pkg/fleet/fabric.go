package fleet

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"rosemarygate/client"
)

// FabricFaults are what the fabric does to datagrams in each direction; ratios from 0 to 1.
type FabricFaults struct {
	Loss, Duplicate, Reorder float64
	// ReorderDelay is how long a reordered datagram is held back.
	ReorderDelay time.Duration
}

// fabric is a caller's transport that sprays datagrams over entry addresses and drops,
// duplicates and reorders some of them.
type fabric struct {
	conn   *net.UDPConn
	faults FabricFaults
	// blocked reports whether datagrams from an address are lost; nil for none.
	blocked func(netip.Addr) bool

	mu      sync.Mutex
	rng     *rand.Rand
	entries []netip.AddrPort
}

// NewFabric returns a transport to one service behind the given entry addresses.
func NewFabric(entries []netip.AddrPort, f FabricFaults, seed uint64) (client.Transport, error) {
	return newFabric(entries, f, seed)
}

func newFabric(entries []netip.AddrPort, f FabricFaults, seed uint64) (*fabric, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(4 << 20)
	return &fabric{
		conn: conn, faults: f, entries: entries,
		rng: rand.New(rand.NewPCG(seed, 2)),
	}, nil
}

// fate decides what happens to one datagram: how many copies and whether they are late.
func (f *fabric) fate() (copies int, late bool, to netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	to = f.entries[f.rng.IntN(len(f.entries))]
	copies = 1
	if f.rng.Float64() < f.faults.Loss {
		copies = 0
	} else if f.rng.Float64() < f.faults.Duplicate {
		copies = 2
	}
	return copies, f.rng.Float64() < f.faults.Reorder, to
}

// Send sends the datagram, or does to it what the faults say.
func (f *fabric) Send(b []byte) error {
	copies, late, to := f.fate()
	for range copies {
		if late {
			copied := append([]byte(nil), b...)
			time.AfterFunc(f.faults.ReorderDelay, func() { _, _ = f.conn.WriteToUDPAddrPort(copied, to) })
			continue
		}
		if _, err := f.conn.WriteToUDPAddrPort(b, to); err != nil {
			return err
		}
		_, _, to = f.fate()
	}
	return nil
}

// Receive returns the next datagram that is not lost. A repeated reply is covered by
// repeated requests, so replies are only dropped here.
func (f *fabric) Receive(b []byte) (int, error) {
	for {
		n, from, err := f.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return 0, err
		}
		if f.blocked != nil && f.blocked(from.Addr()) {
			continue
		}
		if copies, _, _ := f.fate(); copies > 0 {
			return n, nil
		}
	}
}

func (f *fabric) Close() error { return f.conn.Close() }
