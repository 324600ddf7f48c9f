package security

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/google/renameio/v2"
	"github.com/pkg/errors"

	"rosemarygate/pkg/settings"
)

// Names of the files of an authority and its certificates.
const (
	authorityFile    = "authority.pem"
	authorityKeyFile = "authority.key"
	certificateFile  = "certificate.pem"
	keyFile          = "certificate.key"

	// serialBits is the size of a random serial number; X.509 allows up to 20 bytes.
	serialBits = 128
	// clockSkew is the time by which the clock of a host that checks a new certificate may be behind.
	clockSkew = time.Hour
)

// Authority signs the certificates of daemons and operators.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority creates an authority that is valid for the given time.
func NewAuthority(name string, validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "key cannot be generated")
	}
	template, err := newTemplate(name, validity)
	if err != nil {
		return nil, err
	}
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "certificate of the authority cannot be signed")
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{certificate: cert, key: key}, errors.WithStack(err)
}

func newTemplate(name string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "serial number cannot be generated")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-clockSkew), NotAfter: now.Add(validity),
	}, nil
}

// Certificate returns the authority's certificate.
func (a *Authority) Certificate() *x509.Certificate { return a.certificate }

// Write stores the authority and its key in a folder that contains no authority yet.
func (a *Authority) Write(dir string) error {
	if _, err := os.Stat(filepath.Join(dir, authorityKeyFile)); err == nil {
		return errors.Errorf("folder %s already contains an authority: name another folder, or remove this one to create a new authority", dir)
	}
	if err := writeKey(dir, authorityKeyFile, a.key); err != nil {
		return err
	}
	return writePEM(dir, authorityFile, "CERTIFICATE", a.certificate.Raw)
}

// LoadAuthority reads an authority that Write stored.
func LoadAuthority(dir string) (*Authority, error) {
	certDER, err := readPEM(filepath.Join(dir, authorityFile))
	if err != nil {
		return nil, err
	}
	keyDER, err := readPEM(filepath.Join(dir, authorityKeyFile))
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(certDER)
	if err != nil {
		return nil, errors.Wrapf(err, "authority in %s is damaged: restore it from a backup", dir)
	}
	key, err := x509.ParseECPrivateKey(keyDER)
	return &Authority{certificate: cert, key: key}, errors.Wrapf(err, "authority key in %s is damaged: restore it from a backup", dir)
}

// Issue writes a new certificate for a name and its addresses, the key of the certificate and the
// authority's certificate to a folder, and returns the paths of the files.
func (a *Authority) Issue(dir, name string, addresses []netip.Addr, validity time.Duration) (settings.TLS, error) {
	none := settings.TLS{}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return none, errors.Wrap(err, "key cannot be generated")
	}
	template, err := newTemplate(name, validity)
	if err != nil {
		return none, err
	}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, addr := range addresses {
		template.IPAddresses = append(template.IPAddresses, addr.AsSlice())
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return none, errors.Wrap(err, "certificate cannot be signed")
	}
	if err := writeKey(dir, keyFile, key); err != nil {
		return none, err
	}
	if err := writePEM(dir, certificateFile, "CERTIFICATE", der); err != nil {
		return none, err
	}
	if err := writePEM(dir, authorityFile, "CERTIFICATE", a.certificate.Raw); err != nil {
		return none, err
	}
	return settings.TLS{
		Certificate: filepath.Join(dir, certificateFile),
		Key:         filepath.Join(dir, keyFile),
		Authority:   filepath.Join(dir, authorityFile),
	}, nil
}

func writeKey(dir, name string, key *ecdsa.PrivateKey) error {
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errors.WithStack(err)
	}
	return writePEM(dir, name, "EC PRIVATE KEY", der)
}

// writePEM creates or replaces a file atomically; only its owner may read it.
func writePEM(dir, name, blockType string, der []byte) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "folder cannot be created: name a folder whose parent is writable")
	}
	data := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	return errors.Wrap(renameio.WriteFile(filepath.Join(dir, name), data, 0o600), "file cannot be written: check the folder")
}

func readPEM(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "authority cannot be read: create one with rosemarygate certificates authority")
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, errors.Errorf("file %s is not in PEM format: restore it from a backup", path)
	}
	return block.Bytes, nil
}
