package config

import (
	"bytes"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

const (
	defaultFlowIdle   = 30 * time.Second
	defaultQueueLimit = 64 // requests
	defaultDeadline   = 30 * time.Second
)

// Load reads and merges the YAML files of a folder in the order of their names.
func Load(dir string) (*Config, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	sort.Strings(names)
	merged := &Config{Users: map[string]*User{}}
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		if err := merged.mergeFile(data); err != nil {
			return nil, errors.Wrapf(err, "configuration file %s", name)
		}
	}
	if len(merged.Users) == 0 {
		return nil, errors.Errorf("configuration folder %s declares no user: add a file with users and services", dir)
	}
	merged.setDefaults()
	return merged, nil
}

func (c *Config) mergeFile(data []byte) error {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	next := &Config{Users: c.Users, TokenKeys: c.TokenKeys}
	if err := dec.Decode(next); err != nil {
		return errors.Errorf("%s: correct the named line", strings.TrimSpace(err.Error()))
	}
	c.Users, c.TokenKeys = next.Users, next.TokenKeys
	return nil
}

func (c *Config) setDefaults() {
	for _, e := range c.Services() {
		s := e.Settings
		if s.FlowIdle == 0 {
			s.FlowIdle = defaultFlowIdle
		}
		if s.QueueLimit == 0 {
			s.QueueLimit = defaultQueueLimit
		}
		for _, class := range s.Classes {
			if class.QueueLimit == 0 {
				class.QueueLimit = s.QueueLimit
			}
			if class.Deadline == 0 {
				class.Deadline = defaultDeadline
			}
		}
	}
}
