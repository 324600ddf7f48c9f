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
	acceptedCopyFile          = "accepted.copy"
	dataPermission            = 0o700
	leadershipTransferTimeout = 3 * time.Second
	// decodedCacheBytes has room for one file of the largest size. Each change of a service in such a
	// file needs the decoded file.
	decodedCacheBytes = 1 << 20
)

// control receives the configuration from the control replicas. On replica hosts it also runs the
// replica.
type control struct {
	daemon       *Daemon
	subscription *subscription.Subscription
	replica      *replica.Replica // nil on hosts that run none

	applyMu          sync.Mutex // locked while a configuration is put in force
	merged           *config.IncrementalMerger
	files            []*folder.File    // the files that merged consists of
	pendingTimeZones map[string]string // time zones by user, not yet passed to the subscription

	mu                   sync.Mutex
	dataCentres          map[string]string // data centres by daemon name
	dataCentresUpdatedAt time.Time
}

// DialControl connects to a control replica.
type DialControl func(ctx context.Context, address string) (net.Conn, error)

// WithControlDialer makes the daemon connect to control replicas through dial. Tests use it to count
// bytes and to cut connections.
func WithControlDialer(dial DialControl) Option {
	return func(d *Daemon) { d.dialControl = dial }
}

// WithControlFS makes the daemon's control replica store its files in fs. Tests use it to inject disk
// faults.
func WithControlFS(fs storage.FS) Option {
	return func(d *Daemon) { d.controlFS = fs }
}

// initialConfig returns the configuration that is in force before the first accepted version. It is
// empty when there are control replicas.
func initialConfig(s *settings.Daemon, cfg *config.Config) *config.Config {
	if cfg == nil || len(s.Control.Replicas) > 0 {
		return &config.Config{Users: map[string]*config.User{}}
	}
	return cfg
}

// newControl prepares the control plane of a daemon. It returns nil when the settings name no control
// replicas.
func newControl(d *Daemon, dial DialControl) (*control, error) {
	s := d.settings
	if len(s.Control.Replicas) == 0 {
		return nil, nil
	}
	c := &control{
		daemon: d, dataCentres: map[string]string{}, pendingTimeZones: map[string]string{},
		merged: config.NewIncrementalMerger(config.NewDecodeCache(decodedCacheBytes)),
	}
	options := []grpc.DialOption{d.identity.DialOption()}
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
		Replicas: hosts, DataCentreOf: c.dataCentreOf, Store: store, DialOptions: options, Apply: c.apply, Log: log,
	})
	c.setTimeZones(nil)
	d.counters.countDaily = c.countDaily
	return c, nil
}

// openStore returns the store of the accepted configuration; nil on hosts without a data folder.
func openStore(dir string) (distribution.Store, error) {
	if dir == "" {
		return nil, nil
	}
	if err := os.MkdirAll(dir, dataPermission); err != nil {
		return nil, errors.Wrap(err, "data folder cannot be created: check data_dir")
	}
	return distribution.NewFileStore(filepath.Join(dir, acceptedCopyFile))
}

// apply puts an accepted configuration in force. The configuration has no files before the first
// push.
func (c *control) apply(accepted *distribution.HeldConfig) error {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	if err := c.daemon.ctx.Err(); err != nil {
		return err // a stopped daemon must not open sockets again
	}
	changes, err := c.merge(accepted.Folder.Files())
	if err != nil {
		return err
	}
	index := c.daemon.services.Load().withChanges(changes.Services)
	index.version, index.digest = accepted.Version, hex.EncodeToString(accepted.Digest[:])
	index.keys = c.tokenKeys(accepted)
	c.daemon.configureChanges(index, changes.Services)
	c.setTimeZones(changes.Users)
	return nil
}

// merge updates the merged configuration to the given accepted files and returns the changes.
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

// tokenKeys returns the accepted token keys. Without any it returns those of the configuration files,
// and without those the key derived from the cluster key.
func (c *control) tokenKeys(accepted *distribution.HeldConfig) []token.Key {
	if keys := state.TokenKeys(accepted.Keys, time.Now()); len(keys) > 0 {
		return keys
	}
	keys, err := decodeTokenKeys(c.merged.TokenKeys())
	if err != nil || len(keys) == 0 { // no error is expected: merging refuses keys that are not hexadecimal
		return []token.Key{deriveTokenKey(c.daemon.datapath.clusterKey)}
	}
	return keys
}

// setTimeZones sets the time zones in which the days of the users end. The stored copy is put in
// force before the subscription exists; newControl passes its time zones on afterwards.
func (c *control) setTimeZones(users map[string]*config.User) {
	for name, u := range users {
		if u != nil {
			c.pendingTimeZones[name] = u.TimeZone
		}
	}
	if c.subscription == nil {
		return
	}
	for name, zone := range c.pendingTimeZones {
		if loc, err := time.LoadLocation(zone); err == nil {
			c.subscription.SetLocation(name, loc)
		}
	}
	clear(c.pendingTimeZones)
}

// dataCentreOf returns the data centre of a daemon from the member list, which it reads at most once
// a second.
func (c *control) dataCentreOf(name string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.dataCentresUpdatedAt) > time.Second {
		c.dataCentresUpdatedAt = time.Now()
		c.daemon.cluster.call(c.daemon.ctx, func(time.Time) {
			if c.daemon.cluster.view == nil {
				return
			}
			for _, m := range c.daemon.cluster.view.Members {
				c.dataCentres[m.Name] = m.DataCentre
			}
		})
	}
	return c.dataCentres[name]
}

// controlServices returns the names of the control plane's gRPC services, which require a verified
// peer.
func controlServices() []string {
	return []string{
		controlpb.Agreement_ServiceDesc.ServiceName, controlpb.Replication_ServiceDesc.ServiceName,
		controlpb.Operator_ServiceDesc.ServiceName, controlpb.Distribution_ServiceDesc.ServiceName,
	}
}

// registerServices registers the gRPC services of the replica, if there is one.
func (c *control) registerServices(s *grpc.Server) {
	if c != nil && c.replica != nil {
		c.replica.Register(s)
	}
}

// addActors adds the actors of the control plane.
func (c *control) addActors(g *run.Group) {
	if c == nil {
		return
	}
	addActor(g, c.daemon.ctx, c.subscription.Run)
	addActor(g, c.daemon.ctx, c.reapplyWhenReady)
	if c.replica != nil {
		addActor(g, c.daemon.ctx, c.replica.Run)
	}
}

// reapplyWhenReady puts the present configuration in force again when the daemon starts to serve. A
// version that arrives while the daemon joins can otherwise miss the shards or sockets that are
// being created from the previous version.
func (c *control) reapplyWhenReady(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-c.daemon.ready:
	}
	c.applyMu.Lock()
	index, sh := c.daemon.services.Load(), c.daemon.shards.Load()
	sh.broadcast(owner.ServicesChanged{Services: index})
	sh.broadcast(owner.KeysChanged{Keys: index.keys})
	c.daemon.openSockets()
	c.applyMu.Unlock()
	<-ctx.Done()
	return nil
}

// transferLeadership transfers the leadership of the replica group before a planned stop.
func (c *control) transferLeadership() {
	if c == nil || c.replica == nil {
		return
	}
	ctx, cancel := context.WithTimeout(c.daemon.ctx, leadershipTransferTimeout)
	defer cancel()
	if err := c.replica.TransferLeadership(ctx); err != nil {
		events.LeadershipNotTransferred.Log(c.daemon.log, logrus.Fields{"error": err})
	}
}

// ControlReplica returns the daemon's control replica; nil if it runs none.
func (d *Daemon) ControlReplica() *replica.Replica {
	if d.control == nil {
		return nil
	}
	return d.control.replica
}
