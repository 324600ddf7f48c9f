package security

import (
	"context"
	"net"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
)

// reloadingCredentials uses the current certificate and authority in each client handshake.
type reloadingCredentials struct {
	credentials.TransportCredentials
	id *Identity
}

// ClientHandshake performs the handshake with the current certificate and authority.
func (r *reloadingCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return r.id.clientTLS().ClientHandshake(ctx, authority, conn)
}

// Clone returns a copy that shares the identity.
func (r *reloadingCredentials) Clone() credentials.TransportCredentials {
	return &reloadingCredentials{id: r.id, TransportCredentials: r.TransportCredentials.Clone()}
}

// RequireClientCertificate rejects calls to the given services from clients without a verified
// certificate. Without TLS all clients are accepted, since plaintext is allowed only on loopback
// addresses.
func (id *Identity) RequireClientCertificate(services ...string) []grpc.ServerOption {
	if id.files.Plaintext() {
		return nil
	}
	restricted := make(map[string]bool, len(services))
	for _, s := range services {
		restricted[s] = true
	}
	check := func(ctx context.Context, method string) error {
		if !restricted[serviceOf(method)] || hasVerifiedCertificate(ctx) {
			return nil
		}
		return status.Errorf(codes.Unauthenticated, "%s needs a client certificate: connect with one that the authority signed", method)
	}
	return []grpc.ServerOption{
		grpc.ChainUnaryInterceptor(func(ctx context.Context, req any, info *grpc.UnaryServerInfo, h grpc.UnaryHandler) (any, error) {
			if err := check(ctx, info.FullMethod); err != nil {
				return nil, err
			}
			return h(ctx, req)
		}),
		grpc.ChainStreamInterceptor(func(srv any, ss grpc.ServerStream, info *grpc.StreamServerInfo, h grpc.StreamHandler) error {
			if err := check(ss.Context(), info.FullMethod); err != nil {
				return err
			}
			return h(srv, ss)
		}),
	}
}

// serviceOf returns the service name of a method name of the form "/service/method".
func serviceOf(method string) string {
	for i := len(method) - 1; i > 0; i-- {
		if method[i] == '/' {
			return method[1:i]
		}
	}
	return ""
}

func hasVerifiedCertificate(ctx context.Context) bool {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return false
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	return ok && len(info.State.VerifiedChains) > 0
}
