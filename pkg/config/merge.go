package config

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"rosemarygate/pkg/strictyaml"
)

const missingRemove = "delete the key, or declare it in a file with a smaller number"

// Merge decodes the files, merges them in the order of their numbers, sets the defaults
// and checks the result. The error is a strictyaml.Errors with every fault of the folder.
func (f *Folder) Merge() (*Config, error) {
	m := newMerger()
	m.into.Digest = f.digest
	for _, d := range decodeAll(f.files) {
		m.file(d)
	}
	m.defaults()
	m.check()
	if err := m.errs.Err(); err != nil {
		return nil, err
	}
	return m.into, nil
}

type merger struct {
	into *Config
	errs strictyaml.Errors
	// from are the origins of the file that is being merged.
	from strictyaml.Origins
}

func newMerger() *merger {
	return &merger{into: &Config{Users: map[string]*User{}, origins: strictyaml.Origins{}}}
}

// file merges one file. Entries are taken in the order of their names, so that equal folders give
// equal lists of faults, also when the list is cut.
func (m *merger) file(d *decoded) {
	m.errs.Append(d.errs)
	m.from = d.origins
	m.tokenKeys(d.config)
	for _, name := range slices.Sorted(maps.Keys(d.config.Users)) {
		next := d.config.Users[name]
		u := m.user(name, next)
		if u == nil {
			continue
		}
		for _, service := range slices.Sorted(maps.Keys(next.Services)) {
			m.service(u, service, servicePath(name, service), next.Services[service])
		}
	}
}

// tokenKeys replaces the whole list and the origins of its elements.
func (m *merger) tokenKeys(next *Config) {
	if _, given := m.from["token_keys"]; !given {
		return
	}
	old := &Config{TokenKeys: m.into.TokenKeys}
	m.into.origins.Drop(old, "")
	m.into.TokenKeys = next.TokenKeys
	for path, origin := range m.from {
		if strings.HasPrefix(path, "token_keys") {
			m.into.origins[path] = origin
		}
	}
}

// user merges a user without its services and returns it; nil when the file removes it.
func (m *merger) user(name string, next *User) *User {
	path := userPath(name)
	old, known := m.into.Users[name]
	if m.removal(path, "user", known, next) {
		if known {
			m.into.origins.Drop(old, path)
		}
		delete(m.into.Users, name)
		return nil
	}
	if !known {
		m.into.Users[name] = &User{Services: map[string]*Service{}}
		m.into.origins[path] = m.from[path]
	}
	u := m.into.Users[name]
	strictyaml.Overlay(u, next, path, m.into.origins, m.from)
	return u
}

func (m *merger) service(u *User, name, path string, next *Service) {
	old, known := u.Services[name]
	if m.removal(path, "service", known, next) {
		if known {
			m.into.origins.Drop(old, path)
		}
		delete(u.Services, name)
		return
	}
	if !known {
		u.Services[name] = &Service{Classes: map[string]*Class{}}
		m.into.origins[path] = m.from[path]
	}
	s := u.Services[name]
	strictyaml.Overlay(s, next, path, m.into.origins, m.from)
	for _, class := range slices.Sorted(maps.Keys(next.Classes)) {
		m.class(s, class, path+".classes."+class, next.Classes[class])
	}
}

func (m *merger) class(s *Service, name, path string, next *Class) {
	old, known := s.Classes[name]
	if m.removal(path, "class", known, next) {
		if known {
			m.into.origins.Drop(old, path)
		}
		delete(s.Classes, name)
		return
	}
	if !known {
		s.Classes[name] = new(Class)
		m.into.origins[path] = m.from[path]
	}
	strictyaml.Overlay(s.Classes[name], next, path, m.into.origins, m.from)
}

// removal reports whether the file removes the entry at path, and the faults of doing so.
func (m *merger) removal(path, what string, known bool, next any) bool {
	at, given := m.from[path+".remove"]
	if !given {
		return false
	}
	entry := reflect.ValueOf(next).Elem()
	if !entry.FieldByName("Remove").Bool() {
		m.errs.Add(strictyaml.BadValue, at, path+".remove", "value false has no effect", "write remove: true or delete the key")
		return false
	}
	for _, f := range strictyaml.Fields(entry.Type()) {
		if _, changed := m.from[path+"."+f.Key]; changed && f.Key != "remove" {
			m.errs.Add(strictyaml.Conflict, at, path, fmt.Sprintf("%s is removed and changed in one file", what), "delete remove or the other keys")
			break
		}
	}
	if !known {
		m.errs.Add(strictyaml.Conflict, at, path, fmt.Sprintf("%s is removed, but no earlier file declares it", what), missingRemove)
	}
	return true
}

func (m *merger) defaults() {
	origins := m.into.origins
	for name, u := range m.into.Users {
		strictyaml.SetDefaults(u, userPath(name), origins)
	}
	for _, e := range m.into.Services() {
		strictyaml.SetDefaults(e.Settings, e.path(), origins)
		for name, c := range e.Settings.Classes {
			path := e.path() + ".classes." + name
			strictyaml.SetDefaults(c, path, origins)
			if _, given := origins[path+".queue_limit"]; !given {
				c.QueueLimit = e.Settings.QueueLimit
			}
		}
	}
}
