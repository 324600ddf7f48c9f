package daemon

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"google.golang.org/grpc"
)

// Option changes how a daemon is built. Options exist for tests and experiments.
type Option func(*Daemon)

// WithUnreachable makes addresses unreachable for which blocked reports true: datagrams to
// and from them are dropped and connections to them fail, also those that are open.
// blocked is called from many goroutines.
func WithUnreachable(blocked func(netip.Addr) bool) Option {
	return func(d *Daemon) { d.blocked = blocked }
}

// blockable returns the options of connections that blocked can cut; none without blocked.
func blockable(blocked func(netip.Addr) bool) []grpc.DialOption {
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
		return &blockableConn{Conn: conn, blocked: func() bool { return blocked(to.Addr()) }}, nil
	})}
}

// blockableConn fails when it is used while its peer is unreachable.
type blockableConn struct {
	net.Conn
	blocked func() bool
}

func (c *blockableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == nil && c.blocked() {
		c.Conn.Close()
		return 0, syscall.EHOSTUNREACH
	}
	return n, err
}

func (c *blockableConn) Write(b []byte) (int, error) {
	if c.blocked() {
		c.Conn.Close()
		return 0, syscall.EHOSTUNREACH
	}
	return c.Conn.Write(b)
}
