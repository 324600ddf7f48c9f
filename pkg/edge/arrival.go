package edge

import (
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Time that packets spend in the socket.
//
// While the process is stopped, suspended or short of CPU time, packets wait in its socket. The caller of a SYN
// repeats it meanwhile, and the fabric may hand the copy to another daemon. The kernel stamps each packet with its
// time of arrival, so that the core can tell an old SYN from a new one.

// timestampSize is the size of a control message with a time of arrival.
var timestampSize = unix.CmsgSpace(16)

// enableTimestamps makes the kernel stamp the packets of a socket.
func enableTimestamps(conn *net.UDPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return errors.WithStack(err)
	}
	var optionErr error
	if err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	}); err != nil {
		return errors.WithStack(err)
	}
	return errors.Wrap(optionErr, "packets cannot be stamped")
}

// waitedInSocket returns for how long a packet has waited, given its control message and the time of day. Without
// a time of arrival, or if the time of day was set back meanwhile, it is 0.
func waitedInSocket(control []byte, now time.Time) time.Duration {
	const headerSize = 16
	if len(control) < headerSize+16 {
		return 0
	}
	order := binary.NativeEndian
	level, kind := order.Uint32(control[8:]), order.Uint32(control[12:])
	if level != unix.SOL_SOCKET || kind != unix.SO_TIMESTAMPNS {
		return 0
	}
	arrived := time.Unix(int64(order.Uint64(control[headerSize:])), int64(order.Uint64(control[headerSize+8:])))
	return max(0, now.Round(0).Sub(arrived))
}

// steadyClock measures the time since its start, including the time for which the host was suspended. The
// monotonic clock of time.Now leaves that out.
type steadyClock struct {
	begin     time.Time
	beginBoot time.Duration // 0 if the system has no such clock
	suspended atomic.Int64  // nanoseconds
}

func newSteadyClock() *steadyClock {
	return &steadyClock{begin: time.Now(), beginBoot: bootTime()}
}

// bootTime returns the time since the start of the system, 0 if it is not known.
func bootTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

func (c *steadyClock) now() time.Duration {
	return time.Since(c.begin) + time.Duration(c.suspended.Load())
}

// noticeSuspension adds the time for which the host was suspended. It is called before decisions that depend on the
// time since an earlier one.
func (c *steadyClock) noticeSuspension() {
	boot := bootTime()
	if boot == 0 {
		return
	}
	// The monotonic clock is read second, so the difference is not too large if this thread is preempted.
	if suspended := boot - c.beginBoot - time.Since(c.begin); suspended > time.Duration(c.suspended.Load())+minSuspension {
		c.suspended.Store(int64(suspended))
	}
}

// minSuspension is the shortest suspension that counts: the two clocks differ by their reading times.
const minSuspension = 5 * time.Millisecond
