package config

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"rosemarygate/pkg/ident"
)

// Incremental is a valid folder with its merged configuration. A change of it costs as much as the
// files that name the same users and services as the changed files; the result and the faults are
// those of a merge of the whole folder. It is not safe for concurrent use.
//
// Invariant: the files of the state merge without a fault, so a fault after a change concerns a
// changed file, or a user or service that one names.
type Incremental struct {
	cache    *Cache
	files    map[string]*file // by name
	numbers  map[int]*file
	size     int // bytes of all files
	keyFiles []*file
	keys     []TokenKey
	users    map[string]*userState
	declared int // users that exist
	count    int // services that exist

	ports     map[uint16][]*serviceState
	ids       map[ident.ServiceID][]*serviceState
	flowIdles map[time.Duration]int // number of services by flow_idle

	undo []func() // of the change that is being made
}

// file is one file of the state with the names in it. It is immutable.
type file struct {
	name   string
	number int
	data   []byte
	key    fileKey
	keys   bool // it gives token_keys
	users  []userNames
}

// userNames are the names in one user of a file.
type userNames struct {
	name     string
	settings bool // it sets or removes the user itself
	removes  bool
	services []string
}

// userState is what the files say of one user. Files are in the order of the merge.
type userState struct {
	name     string
	files    []*file // that name the user
	special  []*file // of them those with settings
	current  *User   // without services; nil when the user does not exist
	services map[string]*serviceState
}

// serviceState is what the files say of one service.
type serviceState struct {
	id         ident.ServiceID
	user, name string
	files      []*file
	current    *Service // nil when the service does not exist
}

// Changes are what a change of files made of the merged configuration.
type Changes struct {
	// Services are the services that were added, changed or removed, by full name. Those
	// removed have no Settings.
	Services []ServiceEntry
	// Users are the users that were added, changed or removed, without their services. Those
	// removed are nil.
	Users map[string]*User
	// TokenKeys tells that the token keys changed.
	TokenKeys bool
}

// NewIncremental returns an empty state.
func NewIncremental(cache *Cache) *Incremental {
	return &Incremental{
		cache: cache, files: map[string]*file{}, numbers: map[int]*file{}, users: map[string]*userState{},
		ports: map[uint16][]*serviceState{}, ids: map[ident.ServiceID][]*serviceState{}, flowIdles: map[time.Duration]int{},
	}
}

// Apply puts and removes files by name. The error is that of FromFiles or Merge for the resulting
// folder, and the state is then unchanged.
func (x *Incremental) Apply(put []File, remove []string) (*Changes, error) {
	if err := x.checkFolder(put, remove); err != nil {
		return nil, err
	}
	a := x.replace(put, remove)
	m, changes := x.remerge(a)
	if err := m.errs.Err(); err != nil {
		for _, undo := range slices.Backward(x.undo) {
			undo()
		}
		x.undo = nil
		return nil, err
	}
	x.undo = nil
	x.forget(a)
	return changes, nil
}

// Clear removes all files. Apply would refuse that, since a folder without users is not valid.
func (x *Incremental) Clear() *Changes {
	changes := &Changes{Users: map[string]*User{}, TokenKeys: len(x.keys) > 0}
	for name, u := range x.users {
		if u.current != nil {
			changes.Users[name] = nil
		}
		for _, s := range u.services {
			if s.current != nil {
				changes.Services = append(changes.Services, ServiceEntry{ID: s.id, User: s.user, Name: s.name})
			}
		}
	}
	sortServices(changes.Services)
	*x = *NewIncremental(x.cache)
	return changes
}

// forget deletes the services and users that no file names any more.
func (x *Incremental) forget(a *affected) {
	for name, u := range a.users {
		for service, s := range u.services {
			if len(s.files) == 0 {
				delete(u.state.services, service)
			}
		}
		if len(u.state.files) == 0 {
			delete(x.users, name)
		}
	}
}

// Files returns the number of files.
func (x *Incremental) Files() int { return len(x.files) }

// TokenKeys returns the token keys of the files.
func (x *Incremental) TokenKeys() []TokenKey { return x.keys }

// LongestFlowIdle returns the longest flow_idle of any service.
func (x *Incremental) LongestFlowIdle() time.Duration {
	longest := time.Duration(0)
	for d := range x.flowIdles {
		longest = max(longest, d)
	}
	return longest
}

// Config returns the whole merged configuration with its origins, which are not kept: it decodes
// and merges every file.
func (x *Incremental) Config() *Config {
	folder, _ := build(x.candidate(nil, nil))
	a := newAffected()
	for _, u := range x.users {
		a.all(u)
		a.user(u).entry = true
	}
	a.keys = true
	c := x.merge(a).into
	c.Digest, c.TokenKeys = folder.digest, x.keys
	c.Users = map[string]*User{}
	for name, u := range x.users {
		if u.current == nil {
			continue
		}
		c.Users[name] = &User{TimeZone: u.current.TimeZone, Services: map[string]*Service{}}
		for service, s := range u.services {
			if s.current != nil {
				c.Users[name].Services[service] = s.current
			}
		}
	}
	return c
}

// checkFolder returns the faults of the names, numbers and sizes of the resulting files.
func (x *Incremental) checkFolder(put []File, remove []string) error {
	count, size := len(x.files), x.size
	gone := map[string]bool{}
	for _, name := range remove {
		if old := x.files[name]; old != nil && !gone[name] {
			gone[name] = true
			count--
			size -= len(old.data)
		}
	}
	taken := map[int]string{}
	for _, f := range put {
		n, ok := f.Number()
		if old := x.files[f.Name]; old != nil && !gone[f.Name] {
			count--
			size -= len(old.data)
		}
		count++
		size += len(f.Data)
		holder := x.numbers[n]
		other, twice := taken[n]
		occupied := holder != nil && holder.name != f.Name && !gone[holder.name] || twice && other != f.Name
		if !ok || occupied || len(f.Data) > MaxFileBytes {
			_, err := FromFiles(x.candidate(put, remove))
			return err
		}
		taken[n] = f.Name
	}
	if count > MaxFiles || size > MaxFolderBytes {
		_, err := FromFiles(x.candidate(put, remove))
		return err
	}
	return nil
}

// candidate returns the files after a change, by name.
func (x *Incremental) candidate(put []File, remove []string) []File {
	all := map[string][]byte{}
	for _, f := range x.files {
		all[f.name] = f.data
	}
	for _, name := range remove {
		delete(all, name)
	}
	for _, f := range put {
		all[f.Name] = f.Data
	}
	var out []File
	for _, name := range slices.Sorted(maps.Keys(all)) {
		out = append(out, File{Name: name, Data: all[name]})
	}
	return out
}

// replace puts and removes the files and returns what that affects.
func (x *Incremental) replace(put []File, remove []string) *affected {
	var gone []*file
	added := x.describe(put)
	remove = slices.Clone(remove)
	for _, f := range added {
		remove = append(remove, f.name)
	}
	for _, name := range remove {
		if old := x.files[name]; old != nil {
			gone = append(gone, old)
			x.drop(old)
		}
	}
	slices.SortFunc(added, compareFiles)
	for _, f := range added {
		x.add(f)
	}
	return x.affectedBy(gone, added)
}

// remerge merges what is affected, takes it over and checks it.
func (x *Incremental) remerge(a *affected) (*merger, *Changes) {
	m := x.merge(a)
	changes := x.update(a, m)
	x.check(a, m)
	return m, changes
}

// describe returns the files with the names in them.
func (x *Incremental) describe(put []File) []*file {
	out := make([]*file, len(put))
	for i, f := range put {
		n, _ := f.Number()
		out[i] = &file{name: f.Name, number: n, data: f.Data, key: keyOf(f)}
	}
	for i, d := range x.cache.decodeAll(out) {
		out[i].index(d)
	}
	return out
}

func (f *file) index(d *decoded) {
	_, f.keys = d.origins["token_keys"]
	for _, name := range slices.Sorted(maps.Keys(d.config.Users)) {
		u := userNames{name: name, services: slices.Sorted(maps.Keys(d.config.Users[name].Services))}
		path := userPath(name)
		_, zone := d.origins[path+".time_zone"]
		_, remove := d.origins[path+".remove"]
		u.settings = zone || remove
		u.removes = d.config.Users[name].Remove
		f.users = append(f.users, u)
	}
}

func compareFiles(a, b *file) int {
	return cmp.Or(cmp.Compare(a.number, b.number), strings.Compare(a.name, b.name))
}

func (x *Incremental) add(f *file) {
	x.putIn(f)
	x.undo = append(x.undo, func() { x.takeOut(f) })
}

func (x *Incremental) drop(f *file) {
	x.takeOut(f)
	x.undo = append(x.undo, func() { x.putIn(f) })
}

func (x *Incremental) putIn(f *file) {
	x.files[f.name], x.numbers[f.number] = f, f
	x.size += len(f.data)
	if f.keys {
		x.keyFiles = insert(x.keyFiles, f)
	}
	for _, n := range f.users {
		u := x.user(n.name)
		u.files = insert(u.files, f)
		if n.settings {
			u.special = insert(u.special, f)
		}
		for _, name := range n.services {
			s := u.service(name)
			s.files = insert(s.files, f)
		}
	}
}

func (x *Incremental) takeOut(f *file) {
	delete(x.files, f.name)
	if x.numbers[f.number] == f {
		delete(x.numbers, f.number)
	}
	x.size -= len(f.data)
	x.keyFiles = cut(x.keyFiles, f)
	for _, n := range f.users {
		u := x.users[n.name]
		u.files, u.special = cut(u.files, f), cut(u.special, f)
		for _, name := range n.services {
			s := u.services[name]
			s.files = cut(s.files, f)
		}
	}
}

func (x *Incremental) user(name string) *userState {
	u := x.users[name]
	if u == nil {
		u = &userState{name: name, services: map[string]*serviceState{}}
		x.users[name] = u
	}
	return u
}

func (u *userState) service(name string) *serviceState {
	s := u.services[name]
	if s == nil {
		s = &serviceState{id: ident.Service(u.name, name), user: u.name, name: name}
		u.services[name] = s
	}
	return s
}

func insert(files []*file, f *file) []*file {
	i, _ := slices.BinarySearchFunc(files, f, compareFiles)
	return slices.Insert(files, i, f)
}

func cut(files []*file, f *file) []*file {
	i, found := slices.BinarySearchFunc(files, f, compareFiles)
	if !found {
		return files
	}
	return slices.Delete(files, i, i+1)
}

// sameValues reports whether two merged entries hold the same values.
func sameValues[T any](a, b *T) bool {
	return a == nil && b == nil || a != nil && b != nil && reflect.DeepEqual(a, b)
}
