package daemon

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"maps"

	"github.com/pkg/errors"

	"rosemarygate/pkg/config"
	"rosemarygate/pkg/dispatch"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/owner"
	"rosemarygate/pkg/token"
)

// serviceIndex is one configuration in the forms that the daemon's parts need. It is immutable.
type serviceIndex struct {
	version uint64
	digest  string
	byName  map[string]*config.ServiceEntry
	names   map[ident.ServiceID]string
	owners  map[ident.ServiceID]*owner.Service
	keys    []token.Key
	renamed bool // names differ from those of the index before
}

// indexServices prepares a configuration. Without token keys in the configuration, one is
// derived from the cluster key, which all daemons share.
func indexServices(cfg *config.Config, clusterKey []byte) (*serviceIndex, error) {
	x := &serviceIndex{
		version: cfg.Version, digest: cfg.Digest, renamed: true,
		byName: map[string]*config.ServiceEntry{}, names: map[ident.ServiceID]string{},
		owners: map[ident.ServiceID]*owner.Service{},
	}
	for _, e := range cfg.Services() {
		x.put(e)
	}
	var err error
	if x.keys, err = fileKeys(cfg.TokenKeys); err != nil {
		return nil, err
	}
	if len(x.keys) == 0 {
		x.keys = []token.Key{derivedKey(clusterKey)}
	}
	return x, nil
}

func fileKeys(keys []config.TokenKey) ([]token.Key, error) {
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

// with returns the index after a change of services. Those removed have no settings.
func (x *serviceIndex) with(services []config.ServiceEntry) *serviceIndex {
	if len(services) == 0 {
		next := *x
		next.renamed = false
		return &next
	}
	next := &serviceIndex{keys: x.keys, byName: maps.Clone(x.byName), names: x.names, owners: maps.Clone(x.owners)}
	for _, e := range services {
		_, known := x.names[e.ID]
		if known != (e.Settings != nil) {
			next.names, next.renamed = maps.Clone(x.names), true
			break
		}
	}
	for _, e := range services {
		next.put(e)
	}
	return next
}

func (x *serviceIndex) put(e config.ServiceEntry) {
	if e.Settings == nil {
		delete(x.byName, e.FullName())
		delete(x.names, e.ID)
		delete(x.owners, e.ID)
		return
	}
	x.byName[e.FullName()] = &e
	if _, known := x.names[e.ID]; !known {
		x.names[e.ID] = e.FullName()
	}
	x.owners[e.ID] = ownerService(e.Settings)
}

// ports returns the ports of the services.
func (x *serviceIndex) ports() map[ident.ServiceID]uint16 {
	out := make(map[ident.ServiceID]uint16, len(x.byName))
	for _, e := range x.byName {
		out[e.ID] = e.Settings.Port
	}
	return out
}

func derivedKey(clusterKey []byte) token.Key {
	mac := hmac.New(sha256.New, clusterKey)
	mac.Write([]byte("rosemarygate flow token"))
	return token.Key{Secret: mac.Sum(nil)}
}

func ownerService(s *config.Service) *owner.Service {
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
