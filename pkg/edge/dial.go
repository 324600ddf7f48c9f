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

var errLost = errors.New("connection to the control host was lost: the daemon chooses a host again")

// dial opens the TCP connection to a control host, with a limit of its own: a host that refuses it, or
// has no power, is known as such at once, while the handshake of gRPC may take long on a slow processor.
func dial(ctx context.Context, host netip.AddrPort, limit time.Duration) (net.Conn, error) {
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	tcp, err := (&net.Dialer{}).DialContext(limited, "tcp4", host.String())
	return tcp, errors.Wrap(err, "control host cannot be reached: another one is tried")
}

// clientOn returns a client that uses a connection and does not open another one.
func clientOn(tcp net.Conn) (*grpc.ClientConn, error) {
	unused := make(chan net.Conn, 1)
	unused <- tcp
	return grpc.NewClient("passthrough:///"+tcp.RemoteAddr().String(), transport.DialOptions([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(context.Context, string) (net.Conn, error) {
			select {
			case c := <-unused:
				return c, nil
			default:
				return nil, errLost
			}
		}),
	})...)
}
