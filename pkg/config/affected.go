package config

import (
	"maps"
	"slices"
	"sort"
	"sync"
)

// affectedSet is the part of the merged configuration that a change of files may alter.
type affectedSet struct {
	addedFiles []*file
	tokenKeys  bool
	users      map[string]*affectedUser
}

// affectedUser is a user of whom the change may alter the user itself or some services.
type affectedUser struct {
	state        *userState
	userAffected bool // the user itself, apart from its services
	services     map[string]*serviceState
}

func newAffected() *affectedSet { return &affectedSet{users: map[string]*affectedUser{}} }

func (a *affectedSet) addUser(u *userState) *affectedUser {
	out := a.users[u.name]
	if out == nil {
		out = &affectedUser{state: u, services: map[string]*serviceState{}}
		a.users[u.name] = out
	}
	return out
}

func (a *affectedSet) addServices(u *userState) { maps.Copy(a.addUser(u).services, u.services) }

// affectedBy returns the entries that the removed and the added files name.
func (x *IncrementalMerger) affectedBy(removed, added []*file) *affectedSet {
	a := newAffected()
	a.addedFiles = added
	for _, f := range removed {
		x.addAffectedByFile(a, f)
	}
	for _, f := range added {
		x.addAffectedByFile(a, f)
	}
	return a
}

func (x *IncrementalMerger) addAffectedByFile(a *affectedSet, f *file) {
	a.tokenKeys = a.tokenKeys || f.hasTokenKeys
	for _, n := range f.users {
		u := x.users[n.name]
		out := a.addUser(u)
		if n.removes {
			a.addServices(u)
		}
		for _, name := range n.services {
			out.services[name] = u.services[name]
		}
		// Other files do not change whether the user exists.
		out.userAffected = out.userAffected || n.hasSettings || u.startsDeclaration(f)
	}
}

// startsDeclaration reports whether the file declares the user, or did so before it was removed:
// it is the first one that names the user, or the first after a removal.
func (u *userState) startsDeclaration(f *file) bool {
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

// decidingFiles returns the files that determine the user itself: those with settings, the first
// one and the first after each removal.
func (u *userState) decidingFiles() []*file {
	out := slices.Clone(u.settingsFiles)
	if len(u.files) > 0 {
		out = append(out, u.files[0])
	}
	for _, f := range u.settingsFiles {
		i, _ := slices.BinarySearchFunc(u.files, f, compareFiles)
		if f.removes(u.name) && i+1 < len(u.files) {
			out = append(out, u.files[i+1])
		}
	}
	return out
}

// removalFiles returns the files that remove the user.
func (u *userState) removalFiles() []*file {
	var out []*file
	for _, f := range u.settingsFiles {
		if f.removes(u.name) {
			out = append(out, f)
		}
	}
	return out
}

// filesFor returns the files that determine the affected entries, in the order of the merge.
func (x *IncrementalMerger) filesFor(a *affectedSet) []*file {
	out := slices.Clone(a.addedFiles)
	if a.tokenKeys && len(x.tokenKeyFiles) > 0 {
		out = append(out, x.tokenKeyFiles[len(x.tokenKeyFiles)-1])
	}
	for _, u := range a.users {
		out = append(out, u.state.removalFiles()...)
		if u.userAffected {
			out = append(out, u.state.decidingFiles()...)
		}
		for _, s := range u.services {
			out = append(out, s.files...)
		}
	}
	slices.SortFunc(out, compareFiles)
	return slices.Compact(out)
}

// merge merges the affected entries. By the invariant of IncrementalMerger, files that did not change
// have no faults. The faults of a user that is not affected itself are dropped, since they arise
// only because other files are left out here.
func (x *IncrementalMerger) merge(a *affectedSet) *merger {
	files := x.filesFor(a)
	m := newMerger()
	for i, d := range x.cache.decodeAll(files) {
		m.errs.Append(d.errs)
		m.fileOrigins = d.origins
		if a.tokenKeys {
			m.mergeTokenKeys(d.config)
		}
		for _, n := range files[i].users {
			if u := a.users[n.name]; u != nil {
				m.mergeAffectedUser(u, n, d.config.Users[n.name])
			}
		}
	}
	m.setDefaults()
	return m
}

func (m *merger) mergeAffectedUser(a *affectedUser, n userNames, next *User) {
	faultCount := len(m.errs)
	u := m.mergeUser(n.name, next)
	if !a.userAffected {
		m.errs = m.errs[:faultCount]
	}
	if u == nil {
		return
	}
	for _, name := range n.services {
		if a.services[name] != nil {
			m.mergeService(u, name, servicePath(n.name, name), next.Services[name])
		}
	}
}

// updateState copies the merged values into the state and returns the changes.
func (x *IncrementalMerger) updateState(a *affectedSet, m *merger) *Changes {
	changes := &Changes{Users: map[string]*User{}}
	if a.tokenKeys {
		old := x.tokenKeys
		x.undoSteps = append(x.undoSteps, func() { x.tokenKeys = old })
		x.tokenKeys = m.result.TokenKeys
		changes.TokenKeys = !slices.Equal(old, x.tokenKeys)
	}
	for name, u := range a.users {
		merged := m.result.Users[name]
		if u.userAffected {
			var next *User
			if merged != nil {
				next = &User{TimeZone: merged.TimeZone}
			}
			if !equalValues(u.state.current, next) {
				changes.Users[name] = next
				x.setUser(u.state, next)
			}
		}
		for service, s := range u.services {
			var next *Service
			if merged != nil {
				next = merged.Services[service]
			}
			if !equalValues(s.current, next) {
				x.setService(s, next)
				changes.Services = append(changes.Services, s.entry())
			}
		}
	}
	sortServices(changes.Services)
	return changes
}

// setUser replaces the values of a user and records how to undo it.
func (x *IncrementalMerger) setUser(u *userState, next *User) {
	old := u.current
	x.undoSteps = append(x.undoSteps, func() { x.replaceUser(u, old) })
	x.replaceUser(u, next)
}

func (x *IncrementalMerger) replaceUser(u *userState, next *User) {
	if u.current != nil {
		x.userCount--
	}
	if next != nil {
		x.userCount++
	}
	u.current = next
}

// setService replaces the values of a service and records how to undo it.
func (x *IncrementalMerger) setService(s *serviceState, next *Service) {
	old := s.current
	x.undoSteps = append(x.undoSteps, func() { x.replaceService(s, old) })
	x.replaceService(s, next)
}

func (x *IncrementalMerger) replaceService(s *serviceState, next *Service) {
	if old := s.current; old != nil {
		x.serviceCount--
		removeFromIndex(x.servicesByPort, old.Port, s)
		removeFromIndex(x.servicesByID, s.id, s)
		x.flowIdleCounts[old.FlowIdle]--
		if x.flowIdleCounts[old.FlowIdle] == 0 {
			delete(x.flowIdleCounts, old.FlowIdle)
		}
	}
	if s.current = next; next != nil {
		x.serviceCount++
		x.servicesByPort[next.Port] = append(x.servicesByPort[next.Port], s)
		x.servicesByID[s.id] = append(x.servicesByID[s.id], s)
		x.flowIdleCounts[next.FlowIdle]++
	}
}

func removeFromIndex[K comparable](index map[K][]*serviceState, key K, s *serviceState) {
	if i := slices.Index(index[key], s); i >= 0 {
		index[key] = slices.Delete(index[key], i, i+1)
	}
	if len(index[key]) == 0 {
		delete(index, key)
	}
}

// check reports the faults that involve several values, in the order of merger.check.
func (x *IncrementalMerger) check(a *affectedSet, m *merger) {
	m.checkUserCount(x.userCount)
	for _, name := range slices.Sorted(maps.Keys(a.users)) {
		if u := a.users[name]; u.userAffected && u.state.current != nil {
			m.checkTimeZone(name, u.state.current)
		}
	}
	m.checkServiceCount(x.serviceCount)
	var services, samePort, sameID []*serviceState
	for _, u := range a.users {
		for _, s := range u.services {
			if s.current == nil {
				continue
			}
			services = append(services, s)
			if sharing := x.servicesByPort[s.current.Port]; len(sharing) > 1 {
				samePort = append(samePort, sharing...)
			}
			if sharing := x.servicesByID[s.id]; len(sharing) > 1 {
				sameID = append(sameID, sharing...)
			}
		}
	}
	for _, e := range sortedEntries(services) {
		m.checkService(e)
	}
	x.addOrigins(m, append(slices.Clone(samePort), sameID...))
	m.checkPorts(sortedEntries(samePort), sync.OnceValue(x.freePort))
	m.checkIDs(sortedEntries(sameID))
	if a.tokenKeys {
		m.checkTokenKeys()
	}
}

// addOrigins adds the origins of services that share a port or an identifier with an affected
// one, but are not affected themselves.
func (x *IncrementalMerger) addOrigins(m *merger, services []*serviceState) {
	if len(services) == 0 {
		return
	}
	a := newAffected()
	for _, s := range services {
		a.addUser(x.users[s.user]).services[s.name] = s
	}
	for path, origin := range x.merge(a).result.origins {
		if _, exists := m.result.origins[path]; !exists {
			m.result.origins[path] = origin
		}
	}
}

func (x *IncrementalMerger) freePort() int { return freePort(x.servicesByPort) }

func (s *serviceState) entry() ServiceEntry {
	return ServiceEntry{ID: s.id, User: s.user, Name: s.name, Settings: s.current}
}

// sortedEntries returns the services without duplicates, sorted by full name.
func sortedEntries(services []*serviceState) []ServiceEntry {
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
