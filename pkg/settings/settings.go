// Package settings reads the static settings of one process.
package settings

import (
	"io"
	"net/netip"
	"os"
	"path/filepath"

	"rosemarygate/pkg/strictyaml"
)

// Daemon holds the settings of one daemon. Changes take effect at a restart.
type Daemon struct {
	// Name is unique in the fleet.
	Name       string `yaml:"name" required:"true"`
	DataCentre string `yaml:"data_centre" required:"true"`
	// NearDataCentres are other data centres whose upstreams get new flows like those of the daemon's
	// own data centre. If empty, upstreams of the daemon's data centre are preferred.
	NearDataCentres []string `yaml:"near_data_centres"`
	// Host is the IP address to which all sockets are bound.
	Host  netip.Addr `yaml:"host" required:"true"`
	Ports Ports      `yaml:"ports"`
	// Seeds are the peer addresses (IP:port) of daemons through which this one joins the fleet.
	Seeds []netip.AddrPort `yaml:"seeds"`
	// ConfigDir is the folder of numbered configuration files; empty if the configuration comes from
	// control replicas.
	ConfigDir string `yaml:"config_dir"`
	// DataDir is the folder for durable state; empty on hosts without a disk.
	DataDir string `yaml:"data_dir"`
	// ClusterKey is the file with the key for datagrams between daemons.
	ClusterKey string  `yaml:"cluster_key"`
	TLS        TLS     `yaml:"tls"`
	Control    Control `yaml:"control"`
}

// Ports are the daemon's own ports; service ports come from the configuration.
type Ports struct {
	// Peer is the UDP port for datagrams between daemons.
	Peer uint16 `yaml:"peer" limit:"1..65535" default:"7900"`
	// GRPC is the TCP port for gRPC calls of upstreams, daemons and operators.
	GRPC uint16 `yaml:"grpc" limit:"1..65535" default:"7901"`
	// HTTP is the TCP port for metrics and status.
	HTTP uint16 `yaml:"http" limit:"1..65535" default:"7902"`
}

// TLS names the files of the process's certificate and key and of the trusted authority. If all are
// empty, the process uses plaintext, which is accepted only on loopback addresses.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
}

// Plaintext reports whether the process runs without TLS.
func (t TLS) Plaintext() bool { return t == TLS{} }

// Control describes the control replicas.
type Control struct {
	// Replica makes this daemon a control replica; it needs DataDir.
	Replica bool `yaml:"replica" default:"false"`
	// Replicas lists all control replicas by daemon name and gRPC address.
	Replicas []Replica `yaml:"replicas"`
}

// Replica is one control replica.
type Replica struct {
	Name    string         `yaml:"name" required:"true"`
	Address netip.AddrPort `yaml:"address" required:"true"`
}

// Load reads and checks the settings file of a daemon. Relative paths in the file are relative to its
// folder. The error is a strictyaml.Errors with all faults.
func Load(path string) (*Daemon, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	d, origins, errs := decode(path, data)
	if len(errs) == 0 {
		d.resolve(filepath.Dir(path))
	}
	d.check(origins, &errs)
	// A file that a faulty setting names would be reported as a second fault.
	if len(errs) == 0 {
		d.checkFiles(origins, &errs)
	}
	if err := errs.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err == nil {
		defer f.Close()
		var data []byte
		// One byte more than the limit lets decode refuse the file without reading all of it.
		if data, err = io.ReadAll(io.LimitReader(f, strictyaml.MaxFileBytes+1)); err == nil {
			return data, nil
		}
	}
	var errs strictyaml.Errors
	errs.Add(strictyaml.Unreadable, strictyaml.Origin{File: path}, "", "settings file cannot be read: "+cause(err), "name an existing file with --settings")
	return nil, errs
}

func decode(path string, data []byte) (*Daemon, strictyaml.Origins, strictyaml.Errors) {
	d := new(Daemon)
	origins, errs := strictyaml.Decode(path, data, d)
	strictyaml.SetDefaults(d, "", origins)
	return d, origins, errs
}

// resolve joins relative paths to dir, so that they do not depend on the working directory.
func (d *Daemon) resolve(dir string) {
	paths := []*string{&d.ConfigDir, &d.DataDir, &d.ClusterKey, &d.TLS.Certificate, &d.TLS.Key, &d.TLS.Authority}
	for _, p := range paths {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(dir, *p)
		}
	}
}

// Check reports every setting that is missing, out of range or in conflict with another, and every named
// file that cannot be used. The error is a strictyaml.Errors.
func (d *Daemon) Check() error {
	var errs strictyaml.Errors
	d.check(nil, &errs)
	if len(errs) == 0 {
		d.checkFiles(nil, &errs)
	}
	return errs.Err()
}

// Address returns the daemon's address with the given port.
func (d *Daemon) Address(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(d.Host, port)
}

// cause returns the text of a file error without the path, which the report contains already.
func cause(err error) string {
	if p, ok := err.(*os.PathError); ok {
		return p.Err.Error()
	}
	return err.Error()
}
