package config

import (
	"maps"
	"slices"
	"sort"
	"sync"
)

// affected is what a change of files may change in the merged configuration.
type affected struct {
	added []*file
	keys  bool
	users map[string]*affectedUser
}

type affectedUser struct {
	state    *userState
	entry    bool // the user itself, without its services
	services map[string]*serviceState
}

func newAffected() *affected { return &affected{users: map[string]*affectedUser{}} }

func (a *affected) user(u *userState) *affectedUser {
	out := a.users[u.name]
	if out == nil {
		out = &affectedUser{state: u, services: map[string]*serviceState{}}
		a.users[u.name] = out
	}
	return out
}

func (a *affected) all(u *userState) { maps.Copy(a.user(u).services, u.services) }

// affectedBy returns what the files name that were taken out and added.
func (x *Incremental) affectedBy(gone, added []*file) *affected {
	a := newAffected()
	a.added = added
	for _, f := range gone {
		x.affectedByFile(a, f)
	}
	for _, f := range added {
		x.affectedByFile(a, f)
	}
	return a
}

func (x *Incremental) affectedByFile(a *affected, f *file) {
	a.keys = a.keys || f.keys
	for _, n := range f.users {
		u := x.users[n.name]
		out := a.user(u)
		if n.removes {
			a.all(u)
		}
		for _, name := range n.services {
			out.services[name] = u.services[name]
		}
		// Other files only repeat that the user exists.
		out.entry = out.entry || n.settings || u.declares(f)
	}
}

// declares reports whether the file is, or was, one that decides on the user's existence: the first
// one or the first after a removal.
func (u *userState) declares(f *file) bool {
	i, _ := slices.BinarySearchFunc(u.files, f, compareFiles)
	return i == 0 || u.files[i-1].removes(u.name)
}

func (f *file) removes(user string) bool {
	for _, n := range f.users {
		if n.name == user {
			return n.removes
		}
	}
	return false
}

// deciding returns the files that decide on the user itself: those with settings, the first one and
// the first after each removal.
func (u *userState) deciding() []*file {
	out := slices.Clone(u.special)
	if len(u.files) > 0 {
		out = append(out, u.files[0])
	}
	for _, f := range u.special {
		i, _ := slices.BinarySearchFunc(u.files, f, compareFiles)
		if f.removes(u.name) && i+1 < len(u.files) {
			out = append(out, u.files[i+1])
		}
	}
	return out
}

// removals returns the files that remove the user.
func (u *userState) removals() []*file {
	var out []*file
	for _, f := range u.special {
		if f.removes(u.name) {
			out = append(out, f)
		}
	}
	return out
}

// filesFor returns the files that decide on what is affected, in the order of the merge.
func (x *Incremental) filesFor(a *affected) []*file {
	out := slices.Clone(a.added)
	if a.keys && len(x.keyFiles) > 0 {
		out = append(out, x.keyFiles[len(x.keyFiles)-1])
	}
	for _, u := range a.users {
		out = append(out, u.state.removals()...)
		if u.entry {
			out = append(out, u.state.deciding()...)
		}
		for _, s := range u.services {
			out = append(out, s.files...)
		}
	}
	slices.SortFunc(out, compareFiles)
	return slices.Compact(out)
}

// merge merges what is affected. The faults of files that did not change cannot occur, by the
// invariant of the state; those of a user whose entry is not affected are dropped, since they
// come from the files that are left out here.
func (x *Incremental) merge(a *affected) *merger {
	files := x.filesFor(a)
	m := newMerger()
	for i, d := range x.cache.decodeAll(files) {
		m.errs.Append(d.errs)
		m.from = d.origins
		if a.keys {
			m.tokenKeys(d.config)
		}
		for _, n := range files[i].users {
			if u := a.users[n.name]; u != nil {
				m.affectedUser(u, n, d.config.Users[n.name])
			}
		}
	}
	m.defaults()
	return m
}

func (m *merger) affectedUser(a *affectedUser, n userNames, next *User) {
	faults := len(m.errs)
	u := m.user(n.name, next)
	if !a.entry {
		m.errs = m.errs[:faults]
	}
	if u == nil {
		return
	}
	for _, name := range n.services {
		if a.services[name] != nil {
			m.service(u, name, servicePath(n.name, name), next.Services[name])
		}
	}
}

// update takes the merged values over into the state and returns what changed.
func (x *Incremental) update(a *affected, m *merger) *Changes {
	changes := &Changes{Users: map[string]*User{}}
	if a.keys {
		old := x.keys
		x.undo = append(x.undo, func() { x.keys = old })
		x.keys = m.into.TokenKeys
		changes.TokenKeys = !slices.Equal(old, x.keys)
	}
	for name, u := range a.users {
		merged := m.into.Users[name]
		if u.entry {
			var next *User
			if merged != nil {
				next = &User{TimeZone: merged.TimeZone}
			}
			if !sameValues(u.state.current, next) {
				changes.Users[name] = next
				x.setUser(u.state, next)
			}
		}
		for service, s := range u.services {
			var next *Service
			if merged != nil {
				next = merged.Services[service]
			}
			if !sameValues(s.current, next) {
				x.setService(s, next)
				changes.Services = append(changes.Services, s.entry())
			}
		}
	}
	sortServices(changes.Services)
	return changes
}

func (x *Incremental) setUser(u *userState, next *User) {
	old := u.current
	x.undo = append(x.undo, func() { x.putUser(u, old) })
	x.putUser(u, next)
}

func (x *Incremental) putUser(u *userState, next *User) {
	if u.current != nil {
		x.declared--
	}
	if next != nil {
		x.declared++
	}
	u.current = next
}

func (x *Incremental) setService(s *serviceState, next *Service) {
	old := s.current
	x.undo = append(x.undo, func() { x.putService(s, old) })
	x.putService(s, next)
}

func (x *Incremental) putService(s *serviceState, next *Service) {
	if old := s.current; old != nil {
		x.count--
		removeFrom(x.ports, old.Port, s)
		removeFrom(x.ids, s.id, s)
		x.flowIdles[old.FlowIdle]--
		if x.flowIdles[old.FlowIdle] == 0 {
			delete(x.flowIdles, old.FlowIdle)
		}
	}
	if s.current = next; next != nil {
		x.count++
		x.ports[next.Port] = append(x.ports[next.Port], s)
		x.ids[s.id] = append(x.ids[s.id], s)
		x.flowIdles[next.FlowIdle]++
	}
}

func removeFrom[K comparable](holders map[K][]*serviceState, key K, s *serviceState) {
	if i := slices.Index(holders[key], s); i >= 0 {
		holders[key] = slices.Delete(holders[key], i, i+1)
	}
	if len(holders[key]) == 0 {
		delete(holders, key)
	}
}

// check adds the faults that single values cannot show, in the order of merger.check.
func (x *Incremental) check(a *affected, m *merger) {
	m.checkUsers(x.declared)
	for _, name := range slices.Sorted(maps.Keys(a.users)) {
		if u := a.users[name]; u.entry && u.state.current != nil {
			m.checkTimeZone(name, u.state.current)
		}
	}
	m.checkServices(x.count)
	var services, samePort, sameID []*serviceState
	for _, u := range a.users {
		for _, s := range u.services {
			if s.current == nil {
				continue
			}
			services = append(services, s)
			if holders := x.ports[s.current.Port]; len(holders) > 1 {
				samePort = append(samePort, holders...)
			}
			if holders := x.ids[s.id]; len(holders) > 1 {
				sameID = append(sameID, holders...)
			}
		}
	}
	for _, e := range entries(services) {
		m.checkService(e)
	}
	x.addOrigins(m, append(slices.Clone(samePort), sameID...))
	m.checkPorts(entries(samePort), sync.OnceValue(x.freePort))
	m.checkIDs(entries(sameID))
	if a.keys {
		m.checkTokenKeys()
	}
}

// addOrigins adds the origins of services that are not affected themselves but share a port or an
// identifier with one that is.
func (x *Incremental) addOrigins(m *merger, services []*serviceState) {
	if len(services) == 0 {
		return
	}
	a := newAffected()
	for _, s := range services {
		a.user(x.users[s.user]).services[s.name] = s
	}
	for path, at := range x.merge(a).into.origins {
		if _, known := m.into.origins[path]; !known {
			m.into.origins[path] = at
		}
	}
}

func (x *Incremental) freePort() int { return freePort(x.ports) }

func (s *serviceState) entry() ServiceEntry {
	return ServiceEntry{ID: s.id, User: s.user, Name: s.name, Settings: s.current}
}

// entries returns the services once each, by full name.
func entries(services []*serviceState) []ServiceEntry {
	var out []ServiceEntry
	for _, s := range services {
		out = append(out, s.entry())
	}
	sortServices(out)
	return slices.CompactFunc(out, func(a, b ServiceEntry) bool { return a.User == b.User && a.Name == b.Name })
}

func sortServices(list []ServiceEntry) {
	sort.Slice(list, func(i, j int) bool { return list[i].FullName() < list[j].FullName() })
}
