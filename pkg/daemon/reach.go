package daemon

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"google.golang.org/grpc"
)

// Option changes how New creates a daemon. Options exist for tests and experiments.
type Option func(*Daemon)

// WithUnreachable makes the addresses unreachable for which blocked reports true: datagrams from
// them are dropped, and connections to them fail, including open ones. blocked is called from many
// goroutines.
func WithUnreachable(blocked func(netip.Addr) bool) Option {
	return func(d *Daemon) { d.blocked = blocked }
}

// cuttableDialOptions returns dial options for connections that blocked can cut; none when blocked is
// nil.
func cuttableDialOptions(blocked func(netip.Addr) bool) []grpc.DialOption {
	if blocked == nil {
		return nil
	}
	return []grpc.DialOption{grpc.WithContextDialer(func(ctx context.Context, target string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(target)
		if err != nil {
			return nil, err
		}
		if blocked(to.Addr()) {
			return nil, syscall.EHOSTUNREACH
		}
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", target)
		if err != nil {
			return nil, err
		}
		return &cuttableConn{Conn: conn, blocked: func() bool { return blocked(to.Addr()) }}, nil
	})}
}

// cuttableConn is a connection whose reads and writes fail while its peer is unreachable.
type cuttableConn struct {
	net.Conn
	blocked func() bool
}

func (c *cuttableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == nil && c.blocked() {
		c.Conn.Close()
		return 0, syscall.EHOSTUNREACH
	}
	return n, err
}

func (c *cuttableConn) Write(b []byte) (int, error) {
	if c.blocked() {
		c.Conn.Close()
		return 0, syscall.EHOSTUNREACH
	}
	return c.Conn.Write(b)
}
