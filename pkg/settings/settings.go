// Package settings reads the static settings of one process.
package settings

import (
	"bytes"
	"net/netip"
	"os"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// Daemon holds the settings of one daemon. They change only by a restart.
type Daemon struct {
	Name       string     `yaml:"name"`
	DataCentre string     `yaml:"data_centre"`
	Host       netip.Addr `yaml:"host"` // IP address that every socket binds to
	Ports      Ports      `yaml:"ports"`
	// Seeds are peer addresses (IP:port) of daemons to join through.
	Seeds []netip.AddrPort `yaml:"seeds"`
	// ConfigDir is the folder of numbered configuration files; empty when the
	// configuration comes from control replicas.
	ConfigDir string `yaml:"config_dir"`
	// DataDir is where durable state is kept; empty on hosts without a disk.
	DataDir string `yaml:"data_dir"`
	// ClusterKey is the file that holds the key of datagrams between daemons.
	ClusterKey string  `yaml:"cluster_key"`
	TLS        TLS     `yaml:"tls"`
	Control    Control `yaml:"control"`
}

// Ports are the daemon's own ports; service ports come from the configuration.
type Ports struct {
	Peer uint16 `yaml:"peer"` // UDP, between daemons
	GRPC uint16 `yaml:"grpc"` // TCP, upstreams, daemons and operators
	HTTP uint16 `yaml:"http"` // TCP, metrics and status
}

// TLS names the files of the process's certificate and the authority it trusts.
// All empty means plaintext, which is accepted on loopback addresses only.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
}

// Control describes the control replicas.
type Control struct {
	// Replica makes this daemon a control replica; it needs DataDir.
	Replica bool `yaml:"replica"`
	// Replicas lists all control replicas by daemon name and gRPC address.
	Replicas []Replica `yaml:"replicas"`
}

// Replica is one control replica.
type Replica struct {
	Name    string         `yaml:"name"`
	Address netip.AddrPort `yaml:"address"`
}

// Load reads the settings file of a daemon.
func Load(path string) (*Daemon, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings file cannot be read: name an existing file with --settings")
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	d := new(Daemon)
	if err := dec.Decode(d); err != nil {
		return nil, errors.Wrapf(err, "settings file %s: correct the named line", path)
	}
	return d, d.Check()
}

// Check reports the first setting that is missing or out of range.
func (d *Daemon) Check() error {
	switch {
	case d.Name == "":
		return errors.New("setting name is empty: give the daemon a name that is unique in the fleet")
	case d.DataCentre == "":
		return errors.New("setting data_centre is empty: name the daemon's data centre")
	case !d.Host.IsValid():
		return errors.New("setting host is not an IP address: give the address that the daemon binds to")
	case d.Control.Replica && d.DataDir == "":
		return errors.New("setting data_dir is empty on a control replica: name a folder on its disk")
	}
	return nil
}

// Address returns the daemon's address with the given port.
func (d *Daemon) Address(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(d.Host, port)
}
