package daemon

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"

	"rosemarygate/pkg/config"
	"rosemarygate/pkg/dispatch"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/owner"
	"rosemarygate/pkg/token"
)

// serviceIndex is one configuration in the forms that the daemon's parts need.
type serviceIndex struct {
	version uint64
	digest  string
	byName  map[string]*config.ServiceEntry
	names   map[ident.ServiceID]string
	ports   map[ident.ServiceID]uint16
	owners  map[ident.ServiceID]*owner.Service
	keys    []token.Key
}

// indexServices prepares a configuration. Without token keys in the configuration, one is
// derived from the cluster key, which all daemons share.
func indexServices(cfg *config.Config, clusterKey []byte) (*serviceIndex, error) {
	x := &serviceIndex{
		version: cfg.Version, digest: cfg.Digest,
		byName: map[string]*config.ServiceEntry{}, names: map[ident.ServiceID]string{},
		ports: map[ident.ServiceID]uint16{}, owners: map[ident.ServiceID]*owner.Service{},
	}
	for _, e := range cfg.Services() {
		x.byName[e.FullName()] = &e
		x.names[e.ID] = e.FullName()
		x.ports[e.ID] = e.Settings.Port
		x.owners[e.ID] = ownerService(e.Settings)
	}
	for _, k := range cfg.TokenKeys {
		secret, err := hex.DecodeString(k.Secret)
		if err != nil {
			return nil, errors.Wrapf(err, "token key %d is not hexadecimal: write it with the digits 0-9 and a-f", k.ID)
		}
		x.keys = append(x.keys, token.Key{ID: k.ID, Secret: secret})
	}
	if len(x.keys) == 0 {
		x.keys = []token.Key{derivedKey(clusterKey)}
	}
	return x, nil
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
