package security

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"rosemarygate/pkg/settings"
)

const testValidity = time.Hour

func newAuthority(t *testing.T) *Authority {
	a, err := NewAuthority("test authority", testValidity)
	assert.NilError(t, err)
	return a
}

// issueCertificate writes a certificate for 127.0.0.1, its key and the authority's certificate to dir.
func issueCertificate(t *testing.T, a *Authority, dir string) settings.TLS {
	files, err := a.Issue(dir, "daemon", []netip.Addr{netip.MustParseAddr("127.0.0.1")}, testValidity)
	assert.NilError(t, err)
	return files
}

func startServer(t *testing.T, id *Identity) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := grpc.NewServer(append(id.RequireClientCertificate("grpc.health.v1.Health"), id.ServerOption())...)
	healthpb.RegisterHealthServer(s, health.NewServer())
	go func() { _ = s.Serve(lis) }()
	t.Cleanup(s.Stop)
	return lis.Addr().String()
}

func checkHealth(t *testing.T, addr string, option grpc.DialOption) error {
	conn, err := grpc.NewClient(addr, option)
	assert.NilError(t, err)
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err = healthpb.NewHealthClient(conn).Check(ctx, &healthpb.HealthCheckRequest{})
	return err
}

// Guards against a server that accepts clients without a certificate of its authority.
func TestOnlyCallersOfTheAuthorityAreAccepted(t *testing.T) {
	authority := newAuthority(t)
	server, err := LoadIdentity(issueCertificate(t, authority, t.TempDir()))
	assert.NilError(t, err)
	addr := startServer(t, server)
	accepted, err := LoadIdentity(issueCertificate(t, authority, t.TempDir()))
	assert.NilError(t, err)
	assert.NilError(t, checkHealth(t, addr, accepted.DialOption()))

	pool := x509.NewCertPool()
	pool.AddCert(authority.Certificate())
	anonymous := grpc.WithTransportCredentials(credentials.NewTLS(&tls.Config{RootCAs: pool}))
	assert.Equal(t, status.Code(checkHealth(t, addr, anonymous)), codes.Unauthenticated)

	rejected, err := LoadIdentity(issueCertificate(t, newAuthority(t), t.TempDir()))
	assert.NilError(t, err)
	assert.Equal(t, status.Code(checkHealth(t, addr, rejected.DialOption())), codes.Unavailable)
}

// Guards against changed certificates that take effect only after a restart.
func TestChangedFilesAreReloaded(t *testing.T) {
	dir := t.TempDir()
	old, next := newAuthority(t), newAuthority(t)
	server, err := LoadIdentity(issueCertificate(t, old, dir))
	assert.NilError(t, err)
	addr := startServer(t, server)

	issueCertificate(t, next, dir)
	future := time.Now().Add(time.Minute)
	for _, name := range []string{certificateFile, keyFile, authorityFile} {
		assert.NilError(t, os.Chtimes(filepath.Join(dir, name), future, future))
	}
	server.mu.Lock()
	server.lastCheck = time.Time{}
	server.mu.Unlock()
	caller, err := LoadIdentity(issueCertificate(t, next, t.TempDir()))
	assert.NilError(t, err)
	assert.NilError(t, checkHealth(t, addr, caller.DialOption()))
}

// Guards against a stored authority that cannot issue certificates any more, and one that is
// overwritten.
func TestAuthorityIsStored(t *testing.T) {
	dir := t.TempDir()
	a := newAuthority(t)
	assert.NilError(t, a.Write(dir))
	assert.ErrorContains(t, newAuthority(t).Write(dir), "already contains an authority")
	loaded, err := LoadAuthority(dir)
	assert.NilError(t, err)
	_, err = LoadIdentity(issueCertificate(t, loaded, t.TempDir()))
	assert.NilError(t, err)
}
