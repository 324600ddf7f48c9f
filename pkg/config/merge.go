package config

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"

	"rosemarygate/pkg/strictyaml"
)

const missingRemove = "delete the key, or declare it in a file with a smaller number"

// Merge decodes the files, merges them in the order of their numbers, sets the defaults
// and checks the result. The error is a strictyaml.Errors with every fault of the folder.
func (f *Folder) Merge() (*Config, error) {
	m := &merger{into: &Config{Digest: f.digest, Users: map[string]*User{}, origins: strictyaml.Origins{}}}
	for _, part := range decodeAll(f.files) {
		m.file(part)
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

// part is one decoded file.
type part struct {
	config  *Config
	origins strictyaml.Origins
	errs    strictyaml.Errors
}

// decodeAll decodes the files on all cores; decoding takes half of the time of a merge.
func decodeAll(files []File) []part {
	parts := make([]part, len(files))
	var next atomic.Int64
	var workers sync.WaitGroup
	for range min(runtime.GOMAXPROCS(0), len(files)) {
		workers.Go(func() {
			for i := next.Add(1) - 1; i < int64(len(files)); i = next.Add(1) - 1 {
				parts[i].config = new(Config)
				parts[i].origins, parts[i].errs = strictyaml.Decode(files[i].Name, files[i].Data, parts[i].config)
			}
		})
	}
	workers.Wait()
	return parts
}

func (m *merger) file(p part) {
	m.errs.Append(p.errs)
	m.from = p.origins
	m.tokenKeys(p.config)
	for name, u := range p.config.Users {
		m.user(name, u)
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

func (m *merger) user(name string, next *User) {
	path := "users." + name
	old, known := m.into.Users[name]
	if m.removal(path, "user", known, next.Remove) {
		if known {
			m.into.origins.Drop(old, path)
		}
		delete(m.into.Users, name)
		return
	}
	if !known {
		m.into.Users[name] = &User{Services: map[string]*Service{}}
		m.into.origins[path] = m.from[path]
	}
	u := m.into.Users[name]
	strictyaml.Overlay(u, next, path, m.into.origins, m.from)
	for service, s := range next.Services {
		m.service(u, service, path+".services."+service, s)
	}
}

func (m *merger) service(u *User, name, path string, next *Service) {
	old, known := u.Services[name]
	if m.removal(path, "service", known, next.Remove) {
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
	for class, c := range next.Classes {
		m.class(s, class, path+".classes."+class, c)
	}
}

func (m *merger) class(s *Service, name, path string, next *Class) {
	old, known := s.Classes[name]
	if m.removal(path, "class", known, next.Remove) {
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
func (m *merger) removal(path, what string, known, remove bool) bool {
	at, given := m.from[path+".remove"]
	if !given {
		return false
	}
	if !remove {
		m.errs.Add(strictyaml.BadValue, at, path+".remove", "value false has no effect", "write remove: true or delete the key")
		return false
	}
	for other := range m.from {
		if strings.HasPrefix(other, path+".") && other != path+".remove" {
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
		strictyaml.SetDefaults(u, "users."+name, origins)
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
