// Package security issues certificates, and loads the certificates of a process and reloads them without
// a restart when their files change.
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

// fileCheckPeriod is the minimum time between two checks of the files for changes.
const fileCheckPeriod = time.Second

// Identity is the certificate of a process and the authority that it trusts. An Identity without files
// selects plaintext.
type Identity struct {
	files settings.TLS

	mu         sync.Mutex
	lastCheck  time.Time
	lastChange time.Time
	current    *keyMaterial
}

type keyMaterial struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// LoadIdentity reads the certificate, its key and the authority from the given files.
func LoadIdentity(files settings.TLS) (*Identity, error) {
	id := &Identity{files: files}
	if files.Plaintext() {
		return id, nil
	}
	m, err := readFiles(files)
	if err != nil {
		return nil, err
	}
	id.current, id.lastCheck = m, time.Now()
	id.lastChange = latestModification(files)
	return id, nil
}

func readFiles(files settings.TLS) (*keyMaterial, error) {
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
		return nil, errors.Errorf("authority %s contains no certificate in PEM format: check tls.authority", files.Authority)
	}
	return &keyMaterial{certificate: &cert, authority: pool}, nil
}

func latestModification(files settings.TLS) time.Time {
	var latest time.Time
	for _, name := range []string{files.Certificate, files.Key, files.Authority} {
		if st, err := os.Stat(name); err == nil && st.ModTime().After(latest) {
			latest = st.ModTime()
		}
	}
	return latest
}

// currentMaterial returns the current certificate and authority, after reloading changed files. If these
// cannot be loaded, for example because the key does not match the new certificate yet, the last valid
// ones stay in use.
func (id *Identity) currentMaterial() *keyMaterial {
	id.mu.Lock()
	defer id.mu.Unlock()
	if time.Since(id.lastCheck) < fileCheckPeriod {
		return id.current
	}
	id.lastCheck = time.Now()
	if changed := latestModification(id.files); changed.After(id.lastChange) {
		if m, err := readFiles(id.files); err == nil {
			id.current, id.lastChange = m, changed
		}
	}
	return id.current
}

// ServerOption returns the option of a gRPC server that requests client certificates and verifies those
// that are presented. Upstreams may connect without one: they present the credential of their service.
func (id *Identity) ServerOption() grpc.ServerOption {
	if id.files.Plaintext() {
		return grpc.Creds(insecure.NewCredentials())
	}
	return grpc.Creds(credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := id.currentMaterial()
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

// DialOption returns the dial option of a gRPC client that presents its certificate and verifies that the
// authority signed the server's certificate and that the certificate names the dialled address.
func (id *Identity) DialOption() grpc.DialOption {
	if id.files.Plaintext() {
		return grpc.WithTransportCredentials(insecure.NewCredentials())
	}
	return grpc.WithTransportCredentials(&reloadingCredentials{id: id, TransportCredentials: id.clientTLS()})
}

func (id *Identity) clientTLS() credentials.TransportCredentials {
	m := id.currentMaterial()
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    m.authority,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return id.currentMaterial().certificate, nil
		},
	})
}
