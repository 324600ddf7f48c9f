package settings

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"rosemarygate/pkg/strictyaml"
)

// Limits of the cluster key, in bytes without white space at its ends.
const (
	MinClusterKeyBytes = 16
	MaxClusterKeyBytes = 4096
)

// othersMayRead is the permission bit that lets every user of the host read a file.
const othersMayRead = 0o004

// checkFiles reports files and folders that the daemon would fail on after its start.
func (d *Daemon) checkFiles(origins strictyaml.Origins, errs *strictyaml.Errors) {
	c := &checker{d: d, origins: origins, errs: errs}
	if d.ConfigDir != "" {
		c.folder("config_dir", d.ConfigDir, false)
	}
	if d.DataDir != "" {
		c.folder("data_dir", d.DataDir, true)
	}
	if d.ClusterKey != "" {
		c.clusterKey()
	}
	if !d.TLS.Plaintext() {
		c.certificates()
	}
}

func (c *checker) folder(path, name string, mayBeAbsent bool) {
	info, err := os.Stat(name)
	switch {
	case os.IsNotExist(err) && mayBeAbsent:
	case err != nil:
		c.fault(strictyaml.Unreadable, path, fmt.Sprintf("folder %s cannot be used: %s", name, cause(err)), "name an existing folder")
	case !info.IsDir():
		c.fault(strictyaml.Unreadable, path, name+" is not a folder", "name a folder")
	}
}

// content returns the content of a file, or nil when it reported a fault.
func (c *checker) content(path, name string) []byte {
	data, err := os.ReadFile(name)
	if err != nil {
		c.fault(strictyaml.Unreadable, path, fmt.Sprintf("file %s cannot be read: %s", name, cause(err)), "name an existing file that the daemon may read")
		return nil
	}
	return data
}

// secret is content for a file that other users must not read. Loopback deployments are
// trials whose files often come from a checkout, which keeps no permissions.
func (c *checker) secret(path, name string) []byte {
	data := c.content(path, name)
	info, err := os.Stat(name)
	if err == nil && info.Mode().Perm()&othersMayRead != 0 && !c.d.Host.IsLoopback() {
		c.fault(strictyaml.Unreadable, path, fmt.Sprintf("file %s can be read by every user of the host", name), "run chmod o-rwx on it")
	}
	return data
}

func (c *checker) clusterKey() {
	data := c.secret("cluster_key", c.d.ClusterKey)
	if data == nil {
		return
	}
	n := len(bytes.TrimSpace(data))
	if n < MinClusterKeyBytes || n > MaxClusterKeyBytes {
		c.fault(strictyaml.OutOfRange, "cluster_key", fmt.Sprintf("key has %d bytes", n), fmt.Sprintf("write a random key of %d to %d bytes", MinClusterKeyBytes, MaxClusterKeyBytes))
	}
}

func (c *checker) certificates() {
	t := c.d.TLS
	certificate := c.content("tls.certificate", t.Certificate)
	key := c.secret("tls.key", t.Key)
	authority := c.content("tls.authority", t.Authority)
	if certificate != nil && key != nil {
		if _, err := tls.X509KeyPair(certificate, key); err != nil {
			c.fault(strictyaml.BadValue, "tls.key", "certificate and key do not form a pair: "+err.Error(), "name the PEM files of one certificate and its key")
		}
	}
	if authority != nil && !x509.NewCertPool().AppendCertsFromPEM(authority) {
		c.fault(strictyaml.BadValue, "tls.authority", "file "+t.Authority+" holds no certificate", "name a PEM file with the certificates of the authority")
	}
}
