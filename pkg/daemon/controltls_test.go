package daemon_test

import (
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
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/security"
	"rosemarygate/pkg/settings"
)

// authority writes certificates for hosts into a folder each.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageCertSign, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &authority{t, cert, key}
}

func (a *authority) issue(ip net.IP) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(2), IPAddresses: []net.IP{ip}, NotBefore: a.cert.NotBefore, NotAfter: a.cert.NotAfter,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	assert.NilError(a.t, err)
	secret, err := x509.MarshalECPrivateKey(key)
	assert.NilError(a.t, err)
	dir := a.t.TempDir()
	write := func(name, kind string, data []byte) string {
		path := filepath.Join(dir, name)
		assert.NilError(a.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
		return path
	}
	return settings.TLS{
		Certificate: write("cert.pem", "CERTIFICATE", der), Key: write("key.pem", "EC PRIVATE KEY", secret),
		Authority: write("ca.pem", "CERTIFICATE", a.cert.Raw),
	}
}

// Guards against control connections that do not work with TLS, and against an operator without a
// certificate who can read the credentials of the configuration.
func TestControlPlaneWithTLS(t *testing.T) {
	t.Parallel()
	f := newControlFleet(t, "a", "b", "c", "a")
	ca := newAuthority(t)
	for _, s := range f.settings {
		s.TLS = ca.issue(s.Host.AsSlice())
	}
	f.startAll()
	operator, err := security.Load(ca.issue(net.IPv4(127, 0, 0, 1)))
	assert.NilError(t, err)
	f.credentials = operator.Client()
	version := f.mustPush(0, change("first", 0, "10-acme.yaml", serviceFile(1), 0))
	f.await("the version everywhere", f.allAt(version))

	pool := x509.NewCertPool()
	pool.AddCert(ca.cert)
	f.credentials = grpc.WithTransportCredentials(credentials.NewTLS(&tls.Config{RootCAs: pool}))
	_, err = f.operator(0).Show(f.context(), &controlpb.ShowRequest{})
	assert.Equal(t, status.Code(err), codes.Unauthenticated)
}
