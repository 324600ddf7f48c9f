package settings

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"rosemarygate/pkg/strictyaml"
)

// Limits of the cluster key in bytes, without leading and trailing white space.
const (
	MinClusterKeyBytes = 16
	MaxClusterKeyBytes = 4096
)

// worldReadable is the permission bit that allows every user of the host to read a file.
const worldReadable = 0o004

// checkFiles reports files and folders that would cause the daemon to fail after its start.
func (d *Daemon) checkFiles(origins strictyaml.Origins, errs *strictyaml.Errors) {
	c := &checker{daemon: d, origins: origins, errs: errs}
	if d.ConfigDir != "" {
		c.checkFolder("config_dir", d.ConfigDir, false)
	}
	if d.DataDir != "" {
		c.checkFolder("data_dir", d.DataDir, true)
	}
	if d.ClusterKey != "" {
		c.checkClusterKey()
	}
	if !d.TLS.Plaintext() {
		c.checkCertificates()
	}
}

func (c *checker) checkFolder(path, name string, mayBeAbsent bool) {
	info, err := os.Stat(name)
	switch {
	case os.IsNotExist(err) && mayBeAbsent:
	case err != nil:
		c.report(strictyaml.Unreadable, path, fmt.Sprintf("folder %s cannot be used: %s", name, cause(err)), "name an existing folder")
	case !info.IsDir():
		c.report(strictyaml.Unreadable, path, name+" is not a folder", "name a folder")
	}
}

// readFile returns the content of a file, or reports a fault and returns nil.
func (c *checker) readFile(path, name string) []byte {
	data, err := os.ReadFile(name)
	if err != nil {
		c.report(strictyaml.Unreadable, path, fmt.Sprintf("file %s cannot be read: %s", name, cause(err)), "name an existing file that the daemon may read")
		return nil
	}
	return data
}

// readSecretFile reads a file that other users must not be able to read. Daemons on loopback addresses
// are exempt: these are trial deployments, whose files often come from a checkout, which does not
// preserve permissions.
func (c *checker) readSecretFile(path, name string) []byte {
	data := c.readFile(path, name)
	info, err := os.Stat(name)
	if err == nil && info.Mode().Perm()&worldReadable != 0 && !c.daemon.Host.IsLoopback() {
		c.report(strictyaml.Unreadable, path, fmt.Sprintf("file %s can be read by every user of the host", name), "run chmod o-rwx on it")
	}
	return data
}

func (c *checker) checkClusterKey() {
	data := c.readSecretFile("cluster_key", c.daemon.ClusterKey)
	if data == nil {
		return
	}
	n := len(bytes.TrimSpace(data))
	if n < MinClusterKeyBytes || n > MaxClusterKeyBytes {
		c.report(strictyaml.OutOfRange, "cluster_key", fmt.Sprintf("key has %d bytes", n), fmt.Sprintf("write a random key of %d to %d bytes", MinClusterKeyBytes, MaxClusterKeyBytes))
	}
}

func (c *checker) checkCertificates() {
	t := c.daemon.TLS
	certificate := c.readFile("tls.certificate", t.Certificate)
	key := c.readSecretFile("tls.key", t.Key)
	authority := c.readFile("tls.authority", t.Authority)
	if certificate != nil && key != nil {
		if _, err := tls.X509KeyPair(certificate, key); err != nil {
			c.report(strictyaml.BadValue, "tls.key", "certificate and key do not form a pair: "+err.Error(), "name the PEM files of one certificate and its key")
		}
	}
	if authority != nil && !x509.NewCertPool().AppendCertsFromPEM(authority) {
		c.report(strictyaml.BadValue, "tls.authority", "file "+t.Authority+" holds no certificate", "name a PEM file with the certificates of the authority")
	}
}
