// Package security loads the certificates of a process and reloads them when their files
// change, without a restart.
package security

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"rosemarygate/pkg/settings"
)

// checkPeriod is the shortest time between two looks at the files.
const checkPeriod = time.Second

// Identity is the certificate of a process and the authority that it trusts. An identity
// without files stands for plaintext.
type Identity struct {
	files settings.TLS

	mu      sync.Mutex
	checked time.Time
	changed time.Time
	current *material
}

type material struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// Load reads the files of the settings.
func Load(files settings.TLS) (*Identity, error) {
	id := &Identity{files: files}
	if files.Plaintext() {
		return id, nil
	}
	m, err := read(files)
	if err != nil {
		return nil, err
	}
	id.current, id.checked = m, time.Now()
	id.changed = newest(files)
	return id, nil
}

func read(files settings.TLS) (*material, error) {
	cert, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, errors.Wrap(err, "certificate cannot be loaded: check tls.certificate and tls.key")
	}
	pem, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, errors.Wrap(err, "authority cannot be read: check tls.authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("authority %s holds no certificate in PEM form: check tls.authority", files.Authority)
	}
	return &material{certificate: &cert, authority: pool}, nil
}

func newest(files settings.TLS) time.Time {
	var last time.Time
	for _, name := range []string{files.Certificate, files.Key, files.Authority} {
		if st, err := os.Stat(name); err == nil && st.ModTime().After(last) {
			last = st.ModTime()
		}
	}
	return last
}

// material returns the present certificate. Changed files that cannot be read, such as a
// certificate that does not fit its key yet, leave the last good one in use.
func (id *Identity) material() *material {
	id.mu.Lock()
	defer id.mu.Unlock()
	if time.Since(id.checked) < checkPeriod {
		return id.current
	}
	id.checked = time.Now()
	if changed := newest(id.files); changed.After(id.changed) {
		if m, err := read(id.files); err == nil {
			id.current, id.changed = m, changed
		}
	}
	return id.current
}

// Server returns the option of a gRPC server that asks its callers for a certificate and
// checks those that are presented. Upstreams may come without one: they present the
// credential of their service.
func (id *Identity) Server() grpc.ServerOption {
	if id.files.Plaintext() {
		return grpc.Creds(insecure.NewCredentials())
	}
	return grpc.Creds(credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := id.material()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*m.certificate},
				ClientAuth:   tls.VerifyClientCertIfGiven,
				ClientCAs:    m.authority,
				NextProtos:   []string{"h2"},
			}, nil
		},
	}))
}

// Client returns the dial option of a gRPC client that presents the certificate and checks
// that the server's certificate comes from the authority and names the dialled address.
func (id *Identity) Client() grpc.DialOption {
	if id.files.Plaintext() {
		return grpc.WithTransportCredentials(insecure.NewCredentials())
	}
	return grpc.WithTransportCredentials(&reloading{id: id, TransportCredentials: id.clientTLS()})
}

func (id *Identity) clientTLS() credentials.TransportCredentials {
	m := id.material()
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    m.authority,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return id.material().certificate, nil
		},
	})
}
