// Package config holds the dynamic configuration: users, services, request classes,
// limits and credentials, read from a folder of numbered YAML files.
//
// The files are merged in the order of their numbers. A later file overrides single
// values and lists of an earlier one, adds users, services and classes, and removes them
// with the key remove. What the merged values may not do together (two services on one
// port, shares over 1) is a conflict, and no file order resolves it.
package config

import (
	"sort"
	"time"

	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/strictyaml"
)

// Config is one accepted or loaded configuration. It is immutable once built.
type Config struct {
	// Version is the index of the accepted change; 0 for a folder that was not pushed.
	Version uint64 `yaml:"-"`
	// Digest is a hash of the folder's contents.
	Digest string `yaml:"-"`
	// Users are the users by name.
	Users map[string]*User `yaml:"users,omitempty" keys:"user"`
	// TokenKeys are the keys of flow tokens, oldest first; the last one signs new tokens.
	TokenKeys []TokenKey `yaml:"token_keys,omitempty"`

	origins strictyaml.Origins
}

// TokenKey is one signing key of flow tokens.
type TokenKey struct {
	// ID identifies the key in a token.
	ID uint32 `yaml:"id" limit:"1..4294967295" required:"true"`
	// Secret is the key in hexadecimal, at least 16 bytes.
	Secret string `yaml:"secret" limit:"32..128" unit:"characters" secret:"true" required:"true"`
}

// User is one user of the system.
type User struct {
	// Remove deletes the user with its services; false in a merged configuration.
	Remove bool `yaml:"remove,omitempty"`
	// TimeZone is an IANA time zone; it defines when a day of the daily totals ends.
	TimeZone string `yaml:"time_zone,omitempty" default:"UTC"`
	// Services are the user's services by name.
	Services map[string]*Service `yaml:"services,omitempty" keys:"service"`
}

// Service is one service of a user.
type Service struct {
	// Remove deletes the service with its classes; false in a merged configuration.
	Remove bool `yaml:"remove,omitempty"`
	// Port is the UDP port of the service on every daemon, unique in the folder.
	Port uint16 `yaml:"port" limit:"1..65535" required:"true"`
	// Credential is the secret that an upstream presents when it announces itself.
	Credential string `yaml:"credential" limit:"8..256" unit:"characters" secret:"true" required:"true"`
	// Slots is the number of concurrent requests of an upstream that announces no number of
	// slots.
	Slots int `yaml:"slots" limit:"1..1024" default:"1" unit:"requests"`
	// FlowLimit is the number of open flows of an upstream that announces no limit.
	FlowLimit int `yaml:"flow_limit" limit:"1..1000000" default:"2000" unit:"flows"`
	// QueueLimit is the queue limit of each class that sets none.
	QueueLimit int `yaml:"queue_limit" limit:"1..100000" default:"64" unit:"requests"`
	// FlowIdle is the time without a packet from the caller after which a flow ends.
	FlowIdle time.Duration `yaml:"flow_idle" limit:"1s..24h" default:"30s"`
	// DefaultClass is the class of requests whose class is empty or not declared. When it is
	// empty, such requests are refused as not run.
	DefaultClass string `yaml:"default_class,omitempty"`
	// Classes are the request classes by name.
	Classes map[string]*Class `yaml:"classes" keys:"class" required:"true"`
}

// Class is one request class of a service.
type Class struct {
	// Remove deletes the class; false in a merged configuration.
	Remove bool `yaml:"remove,omitempty"`
	// Priority is the order in which classes get spare slots; 0 is the most urgent.
	Priority int `yaml:"priority" limit:"0..99" required:"true"`
	// Share is the guaranteed fraction of an upstream's slots. The shares of a service add up to
	// at most 1.
	Share float64 `yaml:"share" limit:"0..1" default:"0" unit:"of the slots"`
	// QueueLimit is the number of requests that may be queued at one upstream.
	QueueLimit int `yaml:"queue_limit" limit:"1..100000" unit:"requests"`
	// Deadline is the longest deadline that a caller may request.
	Deadline time.Duration `yaml:"deadline" limit:"10ms..1h" default:"30s"`
}

// ServiceEntry is a service with its names and its identifier.
type ServiceEntry struct {
	ID       ident.ServiceID
	User     string
	Name     string // without the user
	Settings *Service
}

// FullName returns "user/service".
func (e *ServiceEntry) FullName() string { return e.User + "/" + e.Name }

func (e *ServiceEntry) path() string { return servicePath(e.User, e.Name) }

func userPath(user string) string { return "users." + user }

func servicePath(user, service string) string { return userPath(user) + ".services." + service }

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

// ClassFor returns the class of a request with the given class name: the class of that name, or
// the default class of the service. It returns false when the request has to be refused.
func (s *Service) ClassFor(name string) (string, *Class, bool) {
	if c, ok := s.Classes[name]; ok {
		return name, c, true
	}
	c, ok := s.Classes[s.DefaultClass]
	return s.DefaultClass, c, ok
}

// ClassNames returns the names of the classes by priority, the most urgent first. Classes of
// equal priority are sorted by name.
func (s *Service) ClassNames() []string {
	names := make([]string, 0, len(s.Classes))
	for name := range s.Classes {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := s.Classes[names[i]], s.Classes[names[j]]
		if a.Priority != b.Priority {
			return a.Priority < b.Priority
		}
		return names[i] < names[j]
	})
	return names
}

// Origin returns the file and line that set the value at a path such as
// "users.acme.services.label.port". The zero Origin stands for the default.
func (c *Config) Origin(path string) strictyaml.Origin { return c.origins[path] }
