package daemon_test

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
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

// Guards against control connections that fail with TLS, and against an operator without a certificate
// who can read the credentials in the configuration.
func TestControlPlaneWithTLS(t *testing.T) {
	t.Parallel()
	f := newControlFleet(t, "a", "b", "c", "a")
	ca, err := security.NewAuthority("test authority", time.Hour)
	assert.NilError(t, err)
	issue := func(addr netip.Addr) settings.TLS {
		files, err := ca.Issue(t.TempDir(), "daemon", []netip.Addr{addr}, time.Hour)
		assert.NilError(t, err)
		return files
	}
	for _, s := range f.settings {
		s.TLS = issue(s.Host)
	}
	f.startAll()
	operator, err := security.LoadIdentity(issue(netip.MustParseAddr("127.0.0.1")))
	assert.NilError(t, err)
	f.credentials = operator.DialOption()
	version := f.mustPush(0, pushRequest("first", 0, "10-acme.yaml", serviceFile(1), 0))
	f.waitFor("the version everywhere", f.allInForce(version))

	pool := x509.NewCertPool()
	pool.AddCert(ca.Certificate())
	f.credentials = grpc.WithTransportCredentials(credentials.NewTLS(&tls.Config{RootCAs: pool}))
	_, err = f.operator(0).Show(f.context(), &controlpb.ShowRequest{})
	assert.Equal(t, status.Code(err), codes.Unauthenticated)
}
