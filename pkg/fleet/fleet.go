// Package fleet runs daemons and stand-in upstreams in one process, for the demo, the
// experiment tool and tests. Every daemon has a loopback address of its own.
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
	Records *standin.Records
	Distant bool // no data centre counts as near to another one; set it before Start
	cfg     *config.Config
	log     logrus.FieldLogger
	hosts   []Host
	// misreport changes the load reports of all daemons; nil for none.
	misreport daemon.Misreport

	mu        sync.Mutex
	daemons   map[string]*running
	upstreams map[string]*upstream
	cut       map[string]bool // data centres that are cut off from all others
}

type running struct {
	daemon *daemon.Daemon
	cancel context.CancelFunc
	done   chan error
}

type upstream struct {
	*standin.Upstream
	service string
	cancel  context.CancelFunc
	done    <-chan error
}

// New prepares a fleet with one host for each name of a data centre. Nothing runs yet.
func New(cfg *config.Config, dataCentres []string, log logrus.FieldLogger) *Fleet {
	f := &Fleet{
		Records: standin.NewRecords(), cfg: cfg, log: log,
		daemons: map[string]*running{}, upstreams: map[string]*upstream{}, cut: map[string]bool{},
	}
	// A random network keeps fleets of parallel test processes apart.
	a, b := byte(16+rand.IntN(200)), byte(rand.IntN(256))
	for i, dc := range dataCentres {
		f.hosts = append(f.hosts, Host{
			Name: fmt.Sprintf("host-%d", i+1), DataCentre: dc,
			Addr: netip.AddrFrom4([4]byte{127, a, b, byte(i + 1)}),
		})
	}
	return f
}

// SetMisreport lets daemons that are started later misreport loads.
func (f *Fleet) SetMisreport(m daemon.Misreport) { f.misreport = m }

// Hosts returns the fleet's hosts.
func (f *Fleet) Hosts() []Host { return f.hosts }

// Start starts every daemon and waits until all serve.
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

// StartDaemon starts the daemon of a host without waiting for it.
func (f *Fleet) StartDaemon(i int) error {
	h := f.hosts[i]
	s := &settings.Daemon{
		Name: h.Name, DataCentre: h.DataCentre, Host: h.Addr,
		Ports: settings.Ports{Peer: peerPort, GRPC: grpcPort, HTTP: httpPort},
	}
	for j, other := range f.hosts {
		if !f.Distant && other.DataCentre != h.DataCentre && !slices.Contains(s.NearDataCentres, other.DataCentre) {
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
	r := &running{daemon: d, cancel: cancel, done: make(chan error, 1)}
	go func() {
		r.done <- d.Run(ctx)
		close(r.done) // a daemon may be killed while it stops: both wait
	}()
	f.mu.Lock()
	f.daemons[h.Name] = r
	f.mu.Unlock()
	return nil
}

// WaitReady waits until the daemon of a host serves.
func (f *Fleet) WaitReady(i int) error {
	select {
	case <-f.Daemon(i).Ready():
		return nil
	case <-time.After(readyTimeout):
		return errors.Errorf("daemon %s does not serve after %s: read its log", f.hosts[i].Name, readyTimeout)
	}
}

// Daemon returns the daemon of a host.
func (f *Fleet) Daemon(i int) *daemon.Daemon { return f.running(i).daemon }

func (f *Fleet) running(i int) *running {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[f.hosts[i].Name]
}

// StopDaemon stops the daemon of a host gracefully.
func (f *Fleet) StopDaemon(i int) error {
	r := f.running(i)
	r.cancel()
	return <-r.done
}

// KillDaemon stops the daemon of a host as a crash would.
func (f *Fleet) KillDaemon(i int) error {
	r := f.running(i)
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
	f.upstreams[cfg.Name] = &upstream{Upstream: u, service: cfg.Service, cancel: cancel, done: done}
	f.mu.Unlock()
	return nil
}

// DrainUpstream makes a stand-in announce that it is leaving.
func (f *Fleet) DrainUpstream(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstreams[name].Drain()
}

// KillUpstream stops a stand-in as a crash would: its connections break and it does not
// announce that it leaves.
func (f *Fleet) KillUpstream(name string) error {
	f.mu.Lock()
	u := f.upstreams[name]
	delete(f.upstreams, name)
	f.mu.Unlock()
	u.cancel()
	return <-u.done
}

// WaitUpstreams waits until every host knows the given number of upstreams and their
// owners are connected.
func (f *Fleet) WaitUpstreams(n int, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if f.upstreamsReady(n) {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.Errorf("not every daemon knows %d healthy upstreams after %s: read the daemons' logs", n, limit)
}

func (f *Fleet) upstreamsReady(n int) bool {
	healthy := 0
	for i := range f.hosts {
		st := f.Daemon(i).Status()
		if len(st.Upstreams) < n {
			return false
		}
		for _, u := range st.Upstreams {
			if u.Owned && u.Healthy {
				healthy++
			}
		}
	}
	return healthy >= n
}

// Client returns a client of a service behind a fabric over all hosts.
func (f *Fleet) Client(port uint16, faults FabricFaults, seed uint64, cfg client.Config) (*client.Client, error) {
	return f.ClientAt("", port, faults, seed, cfg)
}

// ClientAt returns a client in one data centre, behind a fabric over its hosts, which is
// cut off with it; an empty name stands for a fabric over all hosts.
func (f *Fleet) ClientAt(dataCentre string, port uint16, faults FabricFaults, seed uint64, cfg client.Config) (*client.Client, error) {
	var entries []netip.AddrPort
	for _, h := range f.hosts {
		if dataCentre == "" || h.DataCentre == dataCentre {
			entries = append(entries, netip.AddrPortFrom(h.Addr, port))
		}
	}
	t, err := newFabric(entries, faults, seed)
	if err != nil {
		return nil, err
	}
	if dataCentre != "" {
		t.blocked = f.unreachableFrom(dataCentre)
	}
	return client.New(t, cfg), nil
}

// Close stops everything at once.
func (f *Fleet) Close() {
	f.mu.Lock()
	daemons, upstreams := f.daemons, f.upstreams
	f.daemons, f.upstreams = map[string]*running{}, map[string]*upstream{}
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
