package edge

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"rosemarygate/pkg/control/transport"
)

var errConnectionLost = errors.New("connection to the control host was lost: another one is tried")

// dial opens the TCP connection to a control host with its own time limit. It detects a host that refuses
// connections or has no power quickly, while the gRPC handshake may take long on a slow processor.
func dial(ctx context.Context, host netip.AddrPort, limit time.Duration) (net.Conn, error) {
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	tcp, err := (&net.Dialer{}).DialContext(limited, "tcp4", host.String())
	return tcp, errors.Wrap(err, "control host cannot be reached: another one is tried")
}

// newClientForConn returns a client that uses an open connection and does not reconnect.
func newClientForConn(tcp net.Conn) (*grpc.ClientConn, error) {
	unused := make(chan net.Conn, 1)
	unused <- tcp
	return grpc.NewClient("passthrough:///"+tcp.RemoteAddr().String(), transport.DialOptions([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(context.Context, string) (net.Conn, error) {
			select {
			case c := <-unused:
				return c, nil
			default:
				return nil, errConnectionLost
			}
		}),
	})...)
}
