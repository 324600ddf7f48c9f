package config

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"rosemarygate/pkg/strictyaml"
)

const missingEntryRemedy = "delete the key, or declare it in a file with a smaller number"

// Merge decodes the files, merges them in the order of their numbers, sets the defaults and
// checks the result. The error is a strictyaml.Errors with all faults of the folder.
func (f *Folder) Merge() (*Config, error) {
	m := newMerger()
	m.result.Digest = f.digest
	for _, d := range decodeAll(f.files) {
		m.mergeFile(d)
	}
	m.setDefaults()
	m.check()
	if err := m.errs.Err(); err != nil {
		return nil, err
	}
	return m.result, nil
}

// merger merges files into one configuration and collects the faults.
type merger struct {
	result *Config
	errs   strictyaml.Errors
	// fileOrigins are the origins of the values in the file that is being merged.
	fileOrigins strictyaml.Origins
}

func newMerger() *merger {
	return &merger{result: &Config{Users: map[string]*User{}, origins: strictyaml.Origins{}}}
}

// mergeFile merges one file. It takes entries in the order of their names, so that equal folders
// give equal lists of faults, also when the list is truncated.
func (m *merger) mergeFile(d *decodedFile) {
	m.errs.Append(d.errs)
	m.fileOrigins = d.origins
	m.mergeTokenKeys(d.config)
	for _, name := range slices.Sorted(maps.Keys(d.config.Users)) {
		next := d.config.Users[name]
		u := m.mergeUser(name, next)
		if u == nil {
			continue
		}
		for _, service := range slices.Sorted(maps.Keys(next.Services)) {
			m.mergeService(u, service, servicePath(name, service), next.Services[service])
		}
	}
}

// mergeTokenKeys replaces the whole list of keys and the origins of its elements.
func (m *merger) mergeTokenKeys(next *Config) {
	if _, given := m.fileOrigins["token_keys"]; !given {
		return
	}
	old := &Config{TokenKeys: m.result.TokenKeys}
	m.result.origins.RemoveAll(old, "")
	m.result.TokenKeys = next.TokenKeys
	for path, origin := range m.fileOrigins {
		if strings.HasPrefix(path, "token_keys") {
			m.result.origins[path] = origin
		}
	}
}

// mergeUser merges a user without its services and returns it, or nil when the file removes it.
func (m *merger) mergeUser(name string, next *User) *User {
	path := userPath(name)
	old, exists := m.result.Users[name]
	if m.removesEntry(path, "user", exists, next) {
		if exists {
			m.result.origins.RemoveAll(old, path)
		}
		delete(m.result.Users, name)
		return nil
	}
	if !exists {
		m.result.Users[name] = &User{Services: map[string]*Service{}}
		m.result.origins[path] = m.fileOrigins[path]
	}
	u := m.result.Users[name]
	strictyaml.Overlay(u, next, path, m.result.origins, m.fileOrigins)
	return u
}

func (m *merger) mergeService(u *User, name, path string, next *Service) {
	old, exists := u.Services[name]
	if m.removesEntry(path, "service", exists, next) {
		if exists {
			m.result.origins.RemoveAll(old, path)
		}
		delete(u.Services, name)
		return
	}
	if !exists {
		u.Services[name] = &Service{Classes: map[string]*Class{}}
		m.result.origins[path] = m.fileOrigins[path]
	}
	s := u.Services[name]
	strictyaml.Overlay(s, next, path, m.result.origins, m.fileOrigins)
	for _, class := range slices.Sorted(maps.Keys(next.Classes)) {
		m.mergeClass(s, class, path+".classes."+class, next.Classes[class])
	}
}

func (m *merger) mergeClass(s *Service, name, path string, next *Class) {
	old, exists := s.Classes[name]
	if m.removesEntry(path, "class", exists, next) {
		if exists {
			m.result.origins.RemoveAll(old, path)
		}
		delete(s.Classes, name)
		return
	}
	if !exists {
		s.Classes[name] = new(Class)
		m.result.origins[path] = m.fileOrigins[path]
	}
	strictyaml.Overlay(s.Classes[name], next, path, m.result.origins, m.fileOrigins)
}

// removesEntry reports whether the file removes the entry at path, and adds the faults of the
// removal.
func (m *merger) removesEntry(path, entryKind string, exists bool, next any) bool {
	origin, given := m.fileOrigins[path+".remove"]
	if !given {
		return false
	}
	entry := reflect.ValueOf(next).Elem()
	if !entry.FieldByName("Remove").Bool() {
		m.errs.Add(strictyaml.BadValue, origin, path+".remove", "value false has no effect", "write remove: true or delete the key")
		return false
	}
	for _, f := range strictyaml.Fields(entry.Type()) {
		if _, changed := m.fileOrigins[path+"."+f.Key]; changed && f.Key != "remove" {
			m.errs.Add(strictyaml.Conflict, origin, path, fmt.Sprintf("%s is removed and changed in one file", entryKind), "delete remove or the other keys")
			break
		}
	}
	if !exists {
		m.errs.Add(strictyaml.Conflict, origin, path, fmt.Sprintf("%s is removed, but no earlier file declares it", entryKind), missingEntryRemedy)
	}
	return true
}

func (m *merger) setDefaults() {
	origins := m.result.origins
	for name, u := range m.result.Users {
		strictyaml.SetDefaults(u, userPath(name), origins)
	}
	for _, e := range m.result.Services() {
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
