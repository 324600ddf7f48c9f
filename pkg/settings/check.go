package settings

import (
	"fmt"
	"net/netip"
	"slices"

	"rosemarygate/pkg/strictyaml"
)

// MaxReplicas bounds the control replicas of one fleet.
const MaxReplicas = 7

// checker collects the faults of one daemon's settings.
type checker struct {
	d       *Daemon
	origins strictyaml.Origins
	errs    *strictyaml.Errors
}

func (c *checker) fault(kind strictyaml.Kind, path, problem, remedy string) {
	c.errs.Add(kind, c.origins.Nearest(path), path, problem, remedy)
}

func (d *Daemon) check(origins strictyaml.Origins, errs *strictyaml.Errors) {
	c := &checker{d: d, origins: origins, errs: errs}
	strictyaml.Require(errs, d, "", origins)
	c.names()
	c.host()
	c.ports()
	c.seeds()
	c.replicas()
	c.ownReplica()
	c.source()
	c.security()
}

func (c *checker) names() {
	if c.d.Name != "" {
		strictyaml.CheckName(c.errs, c.origins["name"], "name", "daemon", c.d.Name)
	}
	if c.d.DataCentre != "" {
		strictyaml.CheckName(c.errs, c.origins["data_centre"], "data_centre", "data centre", c.d.DataCentre)
	}
}

func (c *checker) host() {
	h := c.d.Host
	if !h.IsValid() {
		return
	}
	if h.IsUnspecified() || h.IsMulticast() || h.Zone() != "" {
		c.fault(strictyaml.BadValue, "host", fmt.Sprintf("%s is not the address of one host", h), "write the address at which other daemons reach this one")
	}
}

// ports compares the TCP ports only: the peer port is UDP.
func (c *checker) ports() {
	p := c.d.Ports
	if p.GRPC != 0 && p.GRPC == p.HTTP {
		c.fault(strictyaml.Conflict, "ports.http", fmt.Sprintf("port %d is also that of grpc", p.HTTP), "choose another port")
	}
}

func (c *checker) seeds() {
	seen := map[netip.AddrPort]bool{}
	for i, s := range c.d.Seeds {
		path := fmt.Sprintf("seeds[%d]", i)
		if !s.IsValid() {
			continue // the decoder reported it
		}
		c.address(path, s)
		if seen[s] {
			c.fault(strictyaml.Conflict, path, fmt.Sprintf("%s is listed twice", s), "delete one of the two")
		}
		seen[s] = true
	}
}

func (c *checker) address(path string, a netip.AddrPort) {
	if a.IsValid() && (a.Port() == 0 || a.Addr().IsUnspecified()) {
		c.fault(strictyaml.BadValue, path, fmt.Sprintf("%s cannot be connected to", a), "write the address and port of one daemon")
	}
}

func (c *checker) replicas() {
	replicas := c.d.Control.Replicas
	if len(replicas) > MaxReplicas {
		c.fault(strictyaml.OutOfRange, "control.replicas", fmt.Sprintf("list has %d replicas", len(replicas)), fmt.Sprintf("give at most %d", MaxReplicas))
	}
	names, addresses := map[string]bool{}, map[netip.AddrPort]bool{}
	for i := range replicas {
		path := fmt.Sprintf("control.replicas[%d]", i)
		r := &replicas[i]
		strictyaml.Require(c.errs, r, path, c.origins)
		c.address(path+".address", r.Address)
		if names[r.Name] && r.Name != "" {
			c.fault(strictyaml.Conflict, path+".name", fmt.Sprintf("replica %s is listed twice", r.Name), "delete one of the two")
		}
		if addresses[r.Address] && r.Address.IsValid() {
			c.fault(strictyaml.Conflict, path+".address", fmt.Sprintf("%s is that of another replica", r.Address), "give each replica its own address")
		}
		names[r.Name], addresses[r.Address] = true, true
	}
}

// ownReplica compares what the daemon says of itself with the list of replicas.
func (c *checker) ownReplica() {
	d := c.d
	i := slices.IndexFunc(d.Control.Replicas, func(r Replica) bool { return r.Name == d.Name })
	if !d.Control.Replica {
		if i >= 0 {
			c.fault(strictyaml.Conflict, fmt.Sprintf("control.replicas[%d].name", i), "this daemon is listed, but control.replica is false", "set control.replica to true or delete it from the list")
		}
		return
	}
	if d.DataDir == "" {
		c.fault(strictyaml.Missing, "data_dir", "value is missing on a control replica", "name a folder on the host's disk")
	}
	if i < 0 {
		c.fault(strictyaml.Conflict, "control.replica", fmt.Sprintf("daemon %q is not among control.replicas", d.Name), "add its name and gRPC address to the list")
		return
	}
	own := d.Address(d.Ports.GRPC)
	if a := d.Control.Replicas[i].Address; a.IsValid() && d.Host.IsValid() && a != own {
		c.fault(strictyaml.Conflict, fmt.Sprintf("control.replicas[%d].address", i), fmt.Sprintf("%s is not the gRPC address of this daemon", a), "write "+own.String())
	}
}

// source requires one place that the configuration comes from. With two, a restarted
// daemon could fall back from the accepted configuration to an older folder.
func (c *checker) source() {
	folder, replicas := c.d.ConfigDir != "", len(c.d.Control.Replicas) > 0
	switch {
	case folder && replicas:
		c.fault(strictyaml.Conflict, "config_dir", "configuration comes from control.replicas as well", "delete config_dir and push the folder to the replicas, or delete control")
	case !folder && !replicas:
		c.fault(strictyaml.Missing, "config_dir", "configuration comes from nowhere", "set config_dir or control.replicas")
	}
}

// security accepts plaintext and a missing cluster key between loopback addresses only.
func (c *checker) security() {
	t := c.d.TLS
	if !t.Plaintext() {
		c.complete("tls.certificate", t.Certificate)
		c.complete("tls.key", t.Key)
		c.complete("tls.authority", t.Authority)
	}
	if t.Plaintext() {
		c.loopback("host", c.d.Host)
		for i, s := range c.d.Seeds {
			c.loopback(fmt.Sprintf("seeds[%d]", i), s.Addr())
		}
		for i, r := range c.d.Control.Replicas {
			c.loopback(fmt.Sprintf("control.replicas[%d].address", i), r.Address.Addr())
		}
	}
	if c.d.ClusterKey == "" && c.d.Host.IsValid() && !c.d.Host.IsLoopback() {
		c.fault(strictyaml.Missing, "cluster_key", "value is missing and host is not a loopback address", "name a file with a random key of 16 bytes or more")
	}
}

func (c *checker) complete(path, value string) {
	if value == "" {
		c.fault(strictyaml.Missing, path, "value is missing", "name all three files of tls, or none for plaintext on loopback")
	}
}

func (c *checker) loopback(path string, a netip.Addr) {
	if a.IsValid() && !a.IsLoopback() {
		c.fault(strictyaml.Conflict, path, fmt.Sprintf("%s is not a loopback address and tls is not set", a), "name the files tls.certificate, tls.key and tls.authority")
	}
}
