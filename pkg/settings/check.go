package settings

import (
	"fmt"
	"net/netip"
	"slices"

	"rosemarygate/pkg/strictyaml"
)

// MaxReplicas is the largest number of control replicas of a fleet.
const MaxReplicas = 7

// checker collects the faults of one daemon's settings.
type checker struct {
	daemon  *Daemon
	origins strictyaml.Origins
	errs    *strictyaml.Errors
}

func (c *checker) report(kind strictyaml.Kind, path, problem, remedy string) {
	c.errs.Add(kind, c.origins.Nearest(path), path, problem, remedy)
}

func (d *Daemon) check(origins strictyaml.Origins, errs *strictyaml.Errors) {
	c := &checker{daemon: d, origins: origins, errs: errs}
	strictyaml.Require(errs, d, "", origins)
	c.checkNames()
	c.checkHost()
	c.checkPorts()
	c.checkSeeds()
	c.checkReplicas()
	c.checkReplicaEntry()
	c.checkConfigSource()
	c.checkSecurity()
}

func (c *checker) checkNames() {
	if c.daemon.Name != "" {
		strictyaml.CheckName(c.errs, c.origins["name"], "name", "daemon", c.daemon.Name)
	}
	if c.daemon.DataCentre != "" {
		strictyaml.CheckName(c.errs, c.origins["data_centre"], "data_centre", "data centre", c.daemon.DataCentre)
	}
}

func (c *checker) checkHost() {
	h := c.daemon.Host
	if !h.IsValid() {
		return
	}
	if h.IsUnspecified() || h.IsMulticast() || h.Zone() != "" {
		c.report(strictyaml.BadValue, "host", fmt.Sprintf("%s is not the address of one host", h), "write the address at which other daemons reach this one")
	}
}

// checkPorts compares only the TCP ports; the peer port is a UDP port.
func (c *checker) checkPorts() {
	p := c.daemon.Ports
	if p.GRPC != 0 && p.GRPC == p.HTTP {
		c.report(strictyaml.Conflict, "ports.http", fmt.Sprintf("port %d is also that of grpc", p.HTTP), "choose another port")
	}
}

func (c *checker) checkSeeds() {
	seen := map[netip.AddrPort]bool{}
	for i, s := range c.daemon.Seeds {
		path := fmt.Sprintf("seeds[%d]", i)
		if !s.IsValid() {
			continue // the decoder reported it
		}
		c.checkAddress(path, s)
		if seen[s] {
			c.report(strictyaml.Conflict, path, fmt.Sprintf("%s is listed twice", s), "delete one of the two")
		}
		seen[s] = true
	}
}

func (c *checker) checkAddress(path string, a netip.AddrPort) {
	if a.IsValid() && (a.Port() == 0 || a.Addr().IsUnspecified()) {
		c.report(strictyaml.BadValue, path, fmt.Sprintf("%s cannot be connected to", a), "write the address and port of one daemon")
	}
}

func (c *checker) checkReplicas() {
	replicas := c.daemon.Control.Replicas
	if len(replicas) > MaxReplicas {
		c.report(strictyaml.OutOfRange, "control.replicas", fmt.Sprintf("list has %d replicas", len(replicas)), fmt.Sprintf("give at most %d", MaxReplicas))
	}
	names, addresses := map[string]bool{}, map[netip.AddrPort]bool{}
	for i := range replicas {
		path := fmt.Sprintf("control.replicas[%d]", i)
		r := &replicas[i]
		strictyaml.Require(c.errs, r, path, c.origins)
		c.checkAddress(path+".address", r.Address)
		if names[r.Name] && r.Name != "" {
			c.report(strictyaml.Conflict, path+".name", fmt.Sprintf("replica %s is listed twice", r.Name), "delete one of the two")
		}
		if addresses[r.Address] && r.Address.IsValid() {
			c.report(strictyaml.Conflict, path+".address", fmt.Sprintf("%s is that of another replica", r.Address), "give each replica its own address")
		}
		names[r.Name], addresses[r.Address] = true, true
	}
}

// checkReplicaEntry compares the daemon's own settings with its entry in the list of replicas.
func (c *checker) checkReplicaEntry() {
	d := c.daemon
	i := slices.IndexFunc(d.Control.Replicas, func(r Replica) bool { return r.Name == d.Name })
	if !d.Control.Replica {
		if i >= 0 {
			c.report(strictyaml.Conflict, fmt.Sprintf("control.replicas[%d].name", i), "this daemon is listed, but control.replica is false", "set control.replica to true or delete it from the list")
		}
		return
	}
	if d.DataDir == "" {
		c.report(strictyaml.Missing, "data_dir", "value is missing on a control replica", "name a folder on the host's disk")
	}
	if i < 0 {
		c.report(strictyaml.Conflict, "control.replica", fmt.Sprintf("daemon %q is not among control.replicas", d.Name), "add its name and gRPC address to the list")
		return
	}
	address := d.Address(d.Ports.GRPC)
	if a := d.Control.Replicas[i].Address; a.IsValid() && d.Host.IsValid() && a != address {
		c.report(strictyaml.Conflict, fmt.Sprintf("control.replicas[%d].address", i), fmt.Sprintf("%s is not the gRPC address of this daemon", a), "write "+address.String())
	}
}

// checkConfigSource requires exactly one source of the configuration. With two, a restarted daemon could
// go back from the accepted configuration to an older one in the folder.
func (c *checker) checkConfigSource() {
	folder, replicas := c.daemon.ConfigDir != "", len(c.daemon.Control.Replicas) > 0
	switch {
	case folder && replicas:
		c.report(strictyaml.Conflict, "config_dir", "configuration comes from control.replicas as well", "delete config_dir and push the folder to the replicas, or delete control")
	case !folder && !replicas:
		c.report(strictyaml.Missing, "config_dir", "configuration comes from nowhere", "set config_dir or control.replicas")
	}
}

// checkSecurity accepts plaintext and a missing cluster key only if all addresses are loopback addresses.
func (c *checker) checkSecurity() {
	t := c.daemon.TLS
	if !t.Plaintext() {
		c.requireTLSFile("tls.certificate", t.Certificate)
		c.requireTLSFile("tls.key", t.Key)
		c.requireTLSFile("tls.authority", t.Authority)
	}
	if t.Plaintext() {
		c.requireLoopback("host", c.daemon.Host)
		for i, s := range c.daemon.Seeds {
			c.requireLoopback(fmt.Sprintf("seeds[%d]", i), s.Addr())
		}
		for i, r := range c.daemon.Control.Replicas {
			c.requireLoopback(fmt.Sprintf("control.replicas[%d].address", i), r.Address.Addr())
		}
	}
	if c.daemon.ClusterKey == "" && c.daemon.Host.IsValid() && !c.daemon.Host.IsLoopback() {
		c.report(strictyaml.Missing, "cluster_key", "value is missing and host is not a loopback address", "name a file with a random key of 16 bytes or more")
	}
}

func (c *checker) requireTLSFile(path, value string) {
	if value == "" {
		c.report(strictyaml.Missing, path, "value is missing", "name all three files of tls, or none for plaintext on loopback")
	}
}

func (c *checker) requireLoopback(path string, a netip.Addr) {
	if a.IsValid() && !a.IsLoopback() {
		c.report(strictyaml.Conflict, path, fmt.Sprintf("%s is not a loopback address and tls is not set", a), "name the files tls.certificate, tls.key and tls.authority")
	}
}
