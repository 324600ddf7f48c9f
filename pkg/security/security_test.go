package security

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
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

type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageCertSign, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &authority{cert, key}
}

// issue writes a certificate for 127.0.0.1, its key and the authority into dir.
func (a *authority) issue(t *testing.T, dir string) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "daemon"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	files := settings.TLS{
		Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Authority: filepath.Join(dir, "ca.pem"),
	}
	write(t, files.Certificate, "CERTIFICATE", der)
	write(t, files.Key, "EC PRIVATE KEY", keyDER)
	write(t, files.Authority, "CERTIFICATE", a.cert.Raw)
	return files
}

func write(t *testing.T, name, kind string, der []byte) {
	assert.NilError(t, os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
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
	server, err := Load(own.issue(t, t.TempDir()))
	assert.NilError(t, err)
	addr := serve(t, server)
	friend, err := Load(own.issue(t, t.TempDir()))
	assert.NilError(t, err)
	assert.NilError(t, check(t, addr, friend.Client()))

	pool := x509.NewCertPool()
	pool.AddCert(own.cert)
	anonymous := grpc.WithTransportCredentials(credentials.NewTLS(&tls.Config{RootCAs: pool}))
	assert.Equal(t, status.Code(check(t, addr, anonymous)), codes.Unauthenticated)

	stranger, err := Load(newAuthority(t).issue(t, t.TempDir()))
	assert.NilError(t, err)
	assert.Equal(t, status.Code(check(t, addr, stranger.Client())), codes.Unavailable)
}

// Guards against certificates that take effect only after a restart.
func TestChangedFilesAreReloaded(t *testing.T) {
	dir := t.TempDir()
	old, next := newAuthority(t), newAuthority(t)
	server, err := Load(old.issue(t, dir))
	assert.NilError(t, err)
	addr := serve(t, server)

	next.issue(t, dir)
	later := time.Now().Add(time.Minute)
	for _, name := range []string{"cert.pem", "key.pem", "ca.pem"} {
		assert.NilError(t, os.Chtimes(filepath.Join(dir, name), later, later))
	}
	server.mu.Lock()
	server.checked = time.Time{}
	server.mu.Unlock()
	caller, err := Load(next.issue(t, t.TempDir()))
	assert.NilError(t, err)
	assert.NilError(t, check(t, addr, caller.Client()))
}
