package daemon

import (
	"context"
	"encoding/hex"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/config"
	"rosemarygate/pkg/control/distribution"
	"rosemarygate/pkg/control/folder"
	"rosemarygate/pkg/control/replica"
	"rosemarygate/pkg/control/state"
	"rosemarygate/pkg/control/subscription"
	"rosemarygate/pkg/events"
	"rosemarygate/pkg/owner"
	"rosemarygate/pkg/settings"
	"rosemarygate/pkg/storage"
	"rosemarygate/pkg/token"
)

const (
	copyFile       = "accepted.copy"
	dataPermission = 0o700
	transferLimit  = 3 * time.Second
	// decodedBytes holds a file of the largest size, which each change of one of its services needs.
	decodedBytes = 1 << 20
)

// control takes the configuration from the control replicas, and runs a replica on hosts that
// are one.
type control struct {
	d            *Daemon
	subscription *subscription.Subscription
	replica      *replica.Replica // nil on other hosts

	applying sync.Mutex // held while a configuration is put in force
	merged   *config.Incremental
	files    []*folder.File    // those of merged
	zones    map[string]string // time zones by user that the subscription does not know yet

	mu          sync.Mutex
	dataCentres map[string]string // by daemon
	asked       time.Time
}

// DialControl connects to a control replica.
type DialControl func(ctx context.Context, address string) (net.Conn, error)

// WithControlDialer makes the daemon connect to control replicas through dial, for tests
// that count or cut the connections.
func WithControlDialer(dial DialControl) Option {
	return func(d *Daemon) { d.dialControl = dial }
}

// WithControlFS makes the daemon's control replica keep its files in fs, for tests of disk faults.
func WithControlFS(fs storage.FS) Option {
	return func(d *Daemon) { d.controlFS = fs }
}

// initialConfig returns the configuration before the first accepted version is put in force.
func initialConfig(s *settings.Daemon, cfg *config.Config) *config.Config {
	if cfg == nil || len(s.Control.Replicas) > 0 {
		return &config.Config{Users: map[string]*config.User{}}
	}
	return cfg
}

// newControl prepares the control plane of a daemon whose settings name control replicas.
func newControl(d *Daemon, dial DialControl) (*control, error) {
	s := d.settings
	if len(s.Control.Replicas) == 0 {
		return nil, nil
	}
	c := &control{
		d: d, dataCentres: map[string]string{}, zones: map[string]string{},
		merged: config.NewIncremental(config.NewCache(decodedBytes)),
	}
	options := []grpc.DialOption{d.identity.Client()}
	if dial != nil {
		options = append(options, grpc.WithContextDialer(dial))
	}
	var hosts []*controlpb.ReplicaHost
	for _, r := range s.Control.Replicas {
		hosts = append(hosts, &controlpb.ReplicaHost{Name: r.Name, Address: r.Address.String()})
	}
	store, err := openStore(s.DataDir)
	if err != nil {
		return nil, err
	}
	log := d.log
	if s.Control.Replica {
		c.replica, err = replica.New(replica.Config{
			Name: s.Name, DataCentre: s.DataCentre, Replicas: hosts, DataCentreOf: c.dataCentreOf,
			DataDir: s.DataDir, DialOptions: options, Log: log, FS: d.controlFS,
		})
		if err != nil {
			return nil, err
		}
	}
	c.subscription = subscription.New(subscription.Config{
		Daemon: s.Name, Incarnation: uint64(time.Now().UnixMilli()), DataCentre: s.DataCentre,
		Replicas: hosts, DataCentreOf: c.dataCentreOf, Store: store, Dial: options, Apply: c.apply, Log: log,
	})
	c.setLocations(nil)
	d.counters.daily = c.count
	return c, nil
}

// openStore returns the store of the accepted configuration, nil on hosts without a disk.
func openStore(dir string) (distribution.Store, error) {
	if dir == "" {
		return nil, nil
	}
	if err := os.MkdirAll(dir, dataPermission); err != nil {
		return nil, errors.Wrap(err, "data folder cannot be created: check data_dir")
	}
	return distribution.NewFileStore(filepath.Join(dir, copyFile))
}

// apply puts an accepted configuration in force. Before the first push it has no files.
func (c *control) apply(held *distribution.Held) error {
	c.applying.Lock()
	defer c.applying.Unlock()
	if err := c.d.ctx.Err(); err != nil {
		return err // a stopped daemon must not open sockets again
	}
	changes, err := c.merge(held.Folder.Files())
	if err != nil {
		return err
	}
	index := c.d.services.Load().with(changes.Services)
	index.version, index.digest = held.Version, hex.EncodeToString(held.Digest[:])
	index.keys = c.tokenKeys(held)
	c.d.configureChanges(index, changes.Services)
	c.setLocations(changes.Users)
	return nil
}

// merge moves the merged configuration to the files of an accepted one and returns what changed.
func (c *control) merge(files []*folder.File) (*config.Changes, error) {
	put, removed := folder.Compare(c.files, files)
	changes := new(config.Changes)
	var err error
	switch {
	case len(files) == 0:
		changes = c.merged.Clear()
	case len(put)+len(removed) > 0:
		changes, err = c.merged.Apply(replica.ConfigFiles(put), removed)
	}
	if err == nil {
		c.files = files
	}
	return changes, err
}

// tokenKeys returns the accepted keys, else those of the files.
func (c *control) tokenKeys(held *distribution.Held) []token.Key {
	if keys := state.TokenKeys(held.Keys, time.Now()); len(keys) > 0 {
		return keys
	}
	keys, err := fileKeys(c.merged.TokenKeys())
	if err != nil || len(keys) == 0 { // the merge refuses keys that are not hexadecimal
		return []token.Key{derivedKey(c.d.path.key)}
	}
	return keys
}

// setLocations sets where the days of the users end. The stored copy is put in force before the
// subscription exists; newControl then calls it again.
func (c *control) setLocations(users map[string]*config.User) {
	for name, u := range users {
		if u != nil {
			c.zones[name] = u.TimeZone
		}
	}
	if c.subscription == nil {
		return
	}
	for name, zone := range c.zones {
		if loc, err := time.LoadLocation(zone); err == nil {
			c.subscription.SetLocation(name, loc)
		}
	}
	clear(c.zones)
}

// dataCentreOf returns the data centre of a daemon by the member list.
func (c *control) dataCentreOf(name string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.asked) > time.Second {
		c.asked = time.Now()
		c.d.cluster.call(c.d.ctx, func(time.Time) {
			if c.d.cluster.view == nil {
				return
			}
			for _, m := range c.d.cluster.view.Members {
				c.dataCentres[m.Name] = m.DataCentre
			}
		})
	}
	return c.dataCentres[name]
}

// controlServices are the gRPC services that need a verified peer.
func controlServices() []string {
	return []string{
		controlpb.Agreement_ServiceDesc.ServiceName, controlpb.Replication_ServiceDesc.ServiceName,
		controlpb.Operator_ServiceDesc.ServiceName, controlpb.Distribution_ServiceDesc.ServiceName,
	}
}

// register adds the services of a replica.
func (c *control) register(s *grpc.Server) {
	if c != nil && c.replica != nil {
		c.replica.Register(s)
	}
}

// add adds the actors of the control plane.
func (c *control) add(g *run.Group) {
	if c == nil {
		return
	}
	addActor(g, c.d.ctx, c.subscription.Run)
	addActor(g, c.d.ctx, c.completeStart)
	if c.replica != nil {
		addActor(g, c.d.ctx, c.replica.Run)
	}
}

// completeStart puts the present configuration in force again when the daemon serves. A version
// that arrives while the daemon joins can otherwise miss the shards or sockets that are being made
// from the version before it.
func (c *control) completeStart(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-c.d.ready:
	}
	c.applying.Lock()
	index, sh := c.d.services.Load(), c.d.shards.Load()
	sh.broadcast(owner.ServicesChanged{Services: index})
	sh.broadcast(owner.KeysChanged{Keys: index.keys})
	c.d.openSockets()
	c.applying.Unlock()
	<-ctx.Done()
	return nil
}

// leave hands the leadership of the replicas over before a planned stop.
func (c *control) leave() {
	if c == nil || c.replica == nil {
		return
	}
	ctx, cancel := context.WithTimeout(c.d.ctx, transferLimit)
	defer cancel()
	if err := c.replica.TransferLeadership(ctx); err != nil {
		events.LeadershipNotTransferred.Log(c.d.log, logrus.Fields{"error": err})
	}
}

// Control returns the daemon's control replica, nil if it is none.
func (d *Daemon) Control() *replica.Replica {
	if d.control == nil {
		return nil
	}
	return d.control.replica
}
