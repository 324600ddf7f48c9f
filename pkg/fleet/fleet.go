// Package fleet runs daemons and stand-in upstreams in one process, for the demo, the experiment tool
// and tests. Every daemon has its own loopback address.
package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"rosemarygate/client"
	"rosemarygate/pkg/config"
	"rosemarygate/pkg/daemon"
	"rosemarygate/pkg/settings"
	"rosemarygate/pkg/standin"
)

const (
	peerPort = 7001
	grpcPort = 7002
	httpPort = 7003
	// readyTimeout bounds the start of one daemon.
	readyTimeout = 10 * time.Second
)

// Host is one entry host.
type Host struct {
	Name       string
	DataCentre string
	Addr       netip.Addr
}

// Fleet is a set of daemons with their stand-in upstreams.
type Fleet struct {
	Records           *standin.Records
	NoNearDataCentres bool // no data centre is configured as near to another one; set before Start
	cfg               *config.Config
	log               logrus.FieldLogger
	hosts             []Host
	// misreport changes the loads that all daemons report; nil changes none.
	misreport daemon.Misreport

	mu        sync.Mutex
	daemons   map[string]*runningDaemon
	upstreams map[string]*runningUpstream
	isolated  map[string]bool // data centres without a connection to the others
}

type runningDaemon struct {
	daemon *daemon.Daemon
	cancel context.CancelFunc
	done   chan error
}

type runningUpstream struct {
	*standin.Upstream
	service string
	cancel  context.CancelFunc
	done    <-chan error
}

// New returns a fleet with one host for each element of dataCentres. It starts nothing.
func New(cfg *config.Config, dataCentres []string, log logrus.FieldLogger) *Fleet {
	f := &Fleet{
		Records: standin.NewRecords(), cfg: cfg, log: log,
		daemons: map[string]*runningDaemon{}, upstreams: map[string]*runningUpstream{}, isolated: map[string]bool{},
	}
	// A random network avoids address conflicts between fleets of parallel test processes.
	secondOctet, thirdOctet := byte(16+rand.IntN(200)), byte(rand.IntN(256))
	for i, dc := range dataCentres {
		f.hosts = append(f.hosts, Host{
			Name: fmt.Sprintf("host-%d", i+1), DataCentre: dc,
			Addr: netip.AddrFrom4([4]byte{127, secondOctet, thirdOctet, byte(i + 1)}),
		})
	}
	return f
}

// SetMisreport makes daemons that are started later report changed loads.
func (f *Fleet) SetMisreport(m daemon.Misreport) { f.misreport = m }

// Hosts returns the fleet's hosts.
func (f *Fleet) Hosts() []Host { return f.hosts }

// Start starts every daemon and waits until all are ready.
func (f *Fleet) Start() error {
	for i := range f.hosts {
		if err := f.StartDaemon(i); err != nil {
			return err
		}
	}
	for i := range f.hosts {
		if err := f.WaitReady(i); err != nil {
			return err
		}
	}
	return nil
}

// StartDaemon starts the daemon of a host and does not wait until it is ready.
func (f *Fleet) StartDaemon(i int) error {
	h := f.hosts[i]
	s := &settings.Daemon{
		Name: h.Name, DataCentre: h.DataCentre, Host: h.Addr,
		Ports: settings.Ports{Peer: peerPort, GRPC: grpcPort, HTTP: httpPort},
	}
	for j, other := range f.hosts {
		if !f.NoNearDataCentres && other.DataCentre != h.DataCentre && !slices.Contains(s.NearDataCentres, other.DataCentre) {
			s.NearDataCentres = append(s.NearDataCentres, other.DataCentre)
		}
		if j != i {
			s.Seeds = append(s.Seeds, netip.AddrPortFrom(other.Addr, peerPort))
		}
	}
	d, err := daemon.New(s, f.cfg, f.log, daemon.WithUnreachable(f.unreachableFrom(h.DataCentre)), daemon.WithMisreport(f.misreport))
	if err != nil {
		return errors.Wrapf(err, "daemon %s", h.Name)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningDaemon{daemon: d, cancel: cancel, done: make(chan error, 1)}
	go func() {
		r.done <- d.Run(ctx)
		close(r.done) // StopDaemon and KillDaemon may both wait for the same daemon
	}()
	f.mu.Lock()
	f.daemons[h.Name] = r
	f.mu.Unlock()
	return nil
}

// WaitReady waits until the daemon of a host is ready.
func (f *Fleet) WaitReady(i int) error {
	select {
	case <-f.Daemon(i).Ready():
		return nil
	case <-time.After(readyTimeout):
		return errors.Errorf("daemon %s is not ready after %s: read its log", f.hosts[i].Name, readyTimeout)
	}
}

// Daemon returns the daemon of a host.
func (f *Fleet) Daemon(i int) *daemon.Daemon { return f.daemonAt(i).daemon }

func (f *Fleet) daemonAt(i int) *runningDaemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[f.hosts[i].Name]
}

// StopDaemon shuts down the daemon of a host gracefully.
func (f *Fleet) StopDaemon(i int) error {
	r := f.daemonAt(i)
	r.cancel()
	return <-r.done
}

// KillDaemon stops the daemon of a host at once, as a crash does.
func (f *Fleet) KillDaemon(i int) error {
	r := f.daemonAt(i)
	r.daemon.Kill()
	defer r.cancel()
	return <-r.done
}

// StartUpstream starts a stand-in that announces itself to the daemons of its data centre.
func (f *Fleet) StartUpstream(cfg standin.Config) error {
	cfg.Listen = netip.AddrPortFrom(f.upstreamAddr(cfg.DataCentre), 0).String()
	cfg.Records = f.Records
	for _, h := range f.hosts {
		if h.DataCentre == cfg.DataCentre {
			cfg.Registries = append(cfg.Registries, netip.AddrPortFrom(h.Addr, grpcPort).String())
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	u, done, err := standin.Start(ctx, cfg)
	if err != nil {
		cancel()
		return err
	}
	f.mu.Lock()
	f.upstreams[cfg.Name] = &runningUpstream{Upstream: u, service: cfg.Service, cancel: cancel, done: done}
	f.mu.Unlock()
	return nil
}

// DrainUpstream makes a stand-in announce that it is leaving.
func (f *Fleet) DrainUpstream(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstreams[name].Drain()
}

// KillUpstream stops a stand-in at once, as a crash does: its connections break and it does not
// announce that it is leaving.
func (f *Fleet) KillUpstream(name string) error {
	f.mu.Lock()
	u := f.upstreams[name]
	delete(f.upstreams, name)
	f.mu.Unlock()
	u.cancel()
	return <-u.done
}

// WaitUpstreams waits until every daemon lists the given number of upstreams and at least as many are
// healthy at their owners.
func (f *Fleet) WaitUpstreams(n int, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if f.upstreamsReady(n) {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.Errorf("not every daemon lists %d healthy upstreams after %s: read the daemons' logs", n, timeout)
}

func (f *Fleet) upstreamsReady(n int) bool {
	healthy := 0
	for i := range f.hosts {
		status := f.Daemon(i).Status()
		if len(status.Upstreams) < n {
			return false
		}
		for _, u := range status.Upstreams {
			if u.Owned && u.Healthy {
				healthy++
			}
		}
	}
	return healthy >= n
}

// Client returns a client of the service at a port, behind a fabric over all hosts.
func (f *Fleet) Client(port uint16, faults FabricFaults, seed uint64, cfg client.Config) (*client.Client, error) {
	return f.ClientAt("", port, faults, seed, cfg)
}

// ClientAt returns a client in one data centre, behind a fabric over the hosts of that data centre;
// isolating the data centre isolates the client as well. An empty name selects all hosts.
func (f *Fleet) ClientAt(dataCentre string, port uint16, faults FabricFaults, seed uint64, cfg client.Config) (*client.Client, error) {
	var entryAddresses []netip.AddrPort
	for _, h := range f.hosts {
		if dataCentre == "" || h.DataCentre == dataCentre {
			entryAddresses = append(entryAddresses, netip.AddrPortFrom(h.Addr, port))
		}
	}
	transport, err := newFabric(entryAddresses, faults, seed)
	if err != nil {
		return nil, err
	}
	if dataCentre != "" {
		transport.isBlocked = f.unreachableFrom(dataCentre)
	}
	return client.New(transport, cfg), nil
}

// Close stops all daemons and stand-ins at once, as a crash does.
func (f *Fleet) Close() {
	f.mu.Lock()
	daemons, upstreams := f.daemons, f.upstreams
	f.daemons, f.upstreams = map[string]*runningDaemon{}, map[string]*runningUpstream{}
	f.mu.Unlock()
	for _, r := range daemons {
		r.daemon.Kill()
		r.cancel()
		<-r.done
	}
	for _, u := range upstreams {
		u.cancel()
		<-u.done
	}
}
