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

// issue writes a certificate for 127.0.0.1, its key and the authority into dir.
func issue(t *testing.T, a *Authority, dir string) settings.TLS {
	files, err := a.Issue(dir, "daemon", []netip.Addr{netip.MustParseAddr("127.0.0.1")}, testValidity)
	assert.NilError(t, err)
	return files
}

func serve(t *testing.T, id *Identity) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := grpc.NewServer(append(id.RequirePeer("grpc.health.v1.Health"), id.Server())...)
	healthpb.RegisterHealthServer(s, health.NewServer())
	go func() { _ = s.Serve(lis) }()
	t.Cleanup(s.Stop)
	return lis.Addr().String()
}

func check(t *testing.T, addr string, option grpc.DialOption) error {
	conn, err := grpc.NewClient(addr, option)
	assert.NilError(t, err)
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err = healthpb.NewHealthClient(conn).Check(ctx, &healthpb.HealthCheckRequest{})
	return err
}

// Guards against a server that accepts callers of another authority.
func TestOnlyCallersOfTheAuthorityAreAccepted(t *testing.T) {
	own := newAuthority(t)
	server, err := Load(issue(t, own, t.TempDir()))
	assert.NilError(t, err)
	addr := serve(t, server)
	friend, err := Load(issue(t, own, t.TempDir()))
	assert.NilError(t, err)
	assert.NilError(t, check(t, addr, friend.Client()))

	pool := x509.NewCertPool()
	pool.AddCert(own.Certificate())
	anonymous := grpc.WithTransportCredentials(credentials.NewTLS(&tls.Config{RootCAs: pool}))
	assert.Equal(t, status.Code(check(t, addr, anonymous)), codes.Unauthenticated)

	stranger, err := Load(issue(t, newAuthority(t), t.TempDir()))
	assert.NilError(t, err)
	assert.Equal(t, status.Code(check(t, addr, stranger.Client())), codes.Unavailable)
}

// Guards against certificates that take effect only after a restart.
func TestChangedFilesAreReloaded(t *testing.T) {
	dir := t.TempDir()
	old, next := newAuthority(t), newAuthority(t)
	server, err := Load(issue(t, old, dir))
	assert.NilError(t, err)
	addr := serve(t, server)

	issue(t, next, dir)
	later := time.Now().Add(time.Minute)
	for _, name := range []string{certificateFile, keyFile, authorityFile} {
		assert.NilError(t, os.Chtimes(filepath.Join(dir, name), later, later))
	}
	server.mu.Lock()
	server.checked = time.Time{}
	server.mu.Unlock()
	caller, err := Load(issue(t, next, t.TempDir()))
	assert.NilError(t, err)
	assert.NilError(t, check(t, addr, caller.Client()))
}

// Guards against an authority whose stored key no longer fits, and against one that is
// overwritten by mistake.
func TestAuthorityIsStored(t *testing.T) {
	dir := t.TempDir()
	a := newAuthority(t)
	assert.NilError(t, a.Write(dir))
	assert.ErrorContains(t, newAuthority(t).Write(dir), "holds an authority already")
	loaded, err := LoadAuthority(dir)
	assert.NilError(t, err)
	_, err = Load(issue(t, loaded, t.TempDir()))
	assert.NilError(t, err)
}
