// Package config holds the dynamic configuration: users, services, request classes,
// limits and credentials, read from a folder of numbered YAML files.
package config

import (
	"sort"
	"time"

	"rosemarygate/pkg/ident"
)

// Config is one accepted or loaded configuration. It is immutable once built.
type Config struct {
	// Version is the index of the accepted change; 0 for a folder that was not pushed.
	Version uint64 `yaml:"-"`
	// Digest is a hash of the folder's contents.
	Digest string `yaml:"-"`
	Users  map[string]*User
	// TokenKeys are the keys of flow tokens, oldest first; the last one signs.
	TokenKeys []TokenKey `yaml:"token_keys,omitempty"`
}

// TokenKey is one signing key of flow tokens.
type TokenKey struct {
	ID     uint32 `yaml:"id"`
	Secret string `yaml:"secret"` // hexadecimal, at least 16 bytes
}

// User is one user of the system.
type User struct {
	TimeZone string              `yaml:"time_zone"` // IANA name; the day of the totals ends there
	Services map[string]*Service `yaml:"services"`
}

// Service is one service of a user.
type Service struct {
	Port       uint16            `yaml:"port"`       // UDP port of the service's address on every daemon
	Credential string            `yaml:"credential"` // what an upstream has to present to announce itself
	Slots      int               `yaml:"slots"`      // requests an upstream runs at once, when it announces none
	FlowLimit  int               `yaml:"flow_limit"` // open flows an upstream holds, when it announces none
	QueueLimit int               `yaml:"queue_limit"`
	Classes    map[string]*Class `yaml:"classes"`
	// FlowIdle is how long a flow lives without a packet from its caller.
	FlowIdle time.Duration `yaml:"flow_idle"`
}

// Class is one request class of a service.
type Class struct {
	Priority   int           `yaml:"priority"`    // 0 is the most urgent
	Share      float64       `yaml:"share"`       // guaranteed part of an upstream's slots, 0 to 1
	QueueLimit int           `yaml:"queue_limit"` // queued requests an upstream
	Deadline   time.Duration `yaml:"deadline"`    // longest deadline a caller may ask for
}

// ServiceEntry is a service with its names and identifier.
type ServiceEntry struct {
	ID       ident.ServiceID
	User     string
	Name     string // without the user
	Settings *Service
}

// FullName returns "user/service".
func (e *ServiceEntry) FullName() string { return e.User + "/" + e.Name }

// Services returns all services, sorted by full name.
func (c *Config) Services() []ServiceEntry {
	var out []ServiceEntry
	for user, u := range c.Users {
		for name, s := range u.Services {
			out = append(out, ServiceEntry{ID: ident.Service(user, name), User: user, Name: name, Settings: s})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].FullName() < out[j].FullName() })
	return out
}
