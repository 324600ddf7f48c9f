package daemon

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"strings"

	"github.com/pkg/errors"

	"rosemarygate/pkg/config"
	"rosemarygate/pkg/dispatch"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/owner"
	"rosemarygate/pkg/token"
)

// serviceIndex is one configuration, indexed for the parts of the daemon. It is immutable.
type serviceIndex struct {
	version uint64
	digest  string
	// buckets holds the services by identifier, which is a hash. A change copies only the buckets of
	// its services.
	buckets      [indexBucketCount]map[ident.ServiceID]*indexedService
	keys         []token.Key
	namesChanged bool // the set of service names differs from that of the previous index
}

const indexBucketCount = 256

// indexedService is one service.
type indexedService struct {
	config.ServiceEntry
	name  string // full name
	owner *owner.Service
}

func bucketOf(id ident.ServiceID) int { return int(id % indexBucketCount) }

func (x *serviceIndex) byID(id ident.ServiceID) *indexedService { return x.buckets[bucketOf(id)][id] }

// byName returns the service of a full name; nil when there is none.
func (x *serviceIndex) byName(name string) *indexedService {
	user, service, _ := strings.Cut(name, "/")
	if s := x.byID(ident.Service(user, service)); s != nil && s.name == name {
		return s
	}
	return nil
}

// nameOf returns the full name of a service; empty when there is none.
func (x *serviceIndex) nameOf(id ident.ServiceID) string {
	if s := x.byID(id); s != nil {
		return s.name
	}
	return ""
}

// Service returns the settings of a service for the owner cores; nil when there is none.
func (x *serviceIndex) Service(id ident.ServiceID) *owner.Service {
	if s := x.byID(id); s != nil {
		return s.owner
	}
	return nil
}

// indexServices returns the index of a configuration. When it has no token keys, one is derived from
// the cluster key, which all daemons share.
func indexServices(cfg *config.Config, clusterKey []byte) (*serviceIndex, error) {
	x := new(serviceIndex).withChanges(cfg.Services())
	x.version, x.digest, x.namesChanged = cfg.Version, cfg.Digest, true
	var err error
	if x.keys, err = decodeTokenKeys(cfg.TokenKeys); err != nil {
		return nil, err
	}
	if len(x.keys) == 0 {
		x.keys = []token.Key{deriveTokenKey(clusterKey)}
	}
	return x, nil
}

func decodeTokenKeys(keys []config.TokenKey) ([]token.Key, error) {
	var out []token.Key
	for _, k := range keys {
		secret, err := hex.DecodeString(k.Secret)
		if err != nil {
			return nil, errors.Wrapf(err, "token key %d is not hexadecimal: write it with the digits 0-9 and a-f", k.ID)
		}
		out = append(out, token.Key{ID: k.ID, Secret: secret})
	}
	return out, nil
}

// withChanges returns the index after a change of services. Removed services have nil settings.
func (x *serviceIndex) withChanges(services []config.ServiceEntry) *serviceIndex {
	next := *x
	next.namesChanged = false
	copied := [indexBucketCount]bool{}
	for _, e := range services {
		b := bucketOf(e.ID)
		if !copied[b] {
			copied[b] = true
			next.buckets[b] = maps.Clone(x.buckets[b])
		}
		next.namesChanged = next.namesChanged || (next.byID(e.ID) == nil) != (e.Settings == nil)
		if e.Settings == nil {
			delete(next.buckets[b], e.ID)
			continue
		}
		if next.buckets[b] == nil {
			next.buckets[b] = map[ident.ServiceID]*indexedService{}
		}
		next.buckets[b][e.ID] = &indexedService{ServiceEntry: e, name: e.FullName(), owner: newOwnerService(e.Settings)}
	}
	return &next
}

// ports returns the port of each service.
func (x *serviceIndex) ports() map[ident.ServiceID]uint16 {
	out := map[ident.ServiceID]uint16{}
	for _, bucket := range x.buckets {
		for id, s := range bucket {
			out[id] = s.Settings.Port
		}
	}
	return out
}

func deriveTokenKey(clusterKey []byte) token.Key {
	mac := hmac.New(sha256.New, clusterKey)
	mac.Write([]byte("rosemarygate flow token"))
	return token.Key{Secret: mac.Sum(nil)}
}

func newOwnerService(s *config.Service) *owner.Service {
	out := &owner.Service{FlowIdle: s.FlowIdle, DefaultClass: s.DefaultClass}
	for _, name := range s.ClassNames() {
		c := s.Classes[name]
		out.Classes = append(out.Classes, dispatch.Class{
			Name: name, Share: c.Share, Priority: c.Priority, QueueLimit: c.QueueLimit,
		})
		out.Deadlines = append(out.Deadlines, c.Deadline)
	}
	return out
}
