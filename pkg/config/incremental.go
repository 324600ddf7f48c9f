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

// IncrementalMerger keeps the merged configuration of a valid folder up to date. The cost of a change
// grows with the number of files that name the same users and services as the changed files. The
// result and the faults are those of a merge of the whole folder. It is not safe for concurrent
// use.
//
// Invariant: the files of the state merge without a fault. A fault after a change therefore concerns a
// changed file, or a user or service that a changed file names.
type IncrementalMerger struct {
	cache         *DecodeCache
	filesByName   map[string]*file
	filesByNumber map[int]*file
	totalBytes    int // of all file contents
	tokenKeyFiles []*file
	tokenKeys     []TokenKey
	users         map[string]*userState
	userCount     int // declared users
	serviceCount  int // declared services

	servicesByPort map[uint16][]*serviceState
	servicesByID   map[ident.ServiceID][]*serviceState
	flowIdleCounts map[time.Duration]int // number of services by flow_idle

	undoSteps []func() // revert the change that is being made, last one first
}

// file is one file of the state with the names that it contains. It is immutable.
type file struct {
	name         string
	number       int
	data         []byte
	key          fileKey
	hasTokenKeys bool // it sets token_keys
	users        []userNames
}

// userNames are the names that a file contains for one user.
type userNames struct {
	name        string
	hasSettings bool // the file sets values of the user itself or removes it
	removes     bool // the file removes the user
	services    []string
}

// userState is the state of one user. Its lists of files are in the order of the merge.
type userState struct {
	name          string
	files         []*file // files that name the user
	settingsFiles []*file // files that set values of the user itself or remove it
	current       *User   // merged values without services; nil when the user does not exist
	services      map[string]*serviceState
}

// serviceState is the state of one service.
type serviceState struct {
	id         ident.ServiceID
	user, name string
	files      []*file  // files that name the service, in the order of the merge
	current    *Service // merged values; nil when the service does not exist
}

// Changes are the differences in the merged configuration after a change of files.
type Changes struct {
	// Services are the services that were added, changed or removed, sorted by full name. The
	// Settings of a removed service are nil.
	Services []ServiceEntry
	// Users are the users that were added, changed or removed, without their services. A removed
	// user is nil.
	Users map[string]*User
	// TokenKeys reports whether the token keys changed.
	TokenKeys bool
}

// NewIncrementalMerger returns the state of an empty folder.
func NewIncrementalMerger(cache *DecodeCache) *IncrementalMerger {
	return &IncrementalMerger{
		cache: cache, filesByName: map[string]*file{}, filesByNumber: map[int]*file{}, users: map[string]*userState{},
		servicesByPort: map[uint16][]*serviceState{}, servicesByID: map[ident.ServiceID][]*serviceState{}, flowIdleCounts: map[time.Duration]int{},
	}
}

// Apply adds or replaces the files in put and removes the files named in remove. The error is
// that of FromFiles or Merge for the resulting folder; the state is then unchanged.
func (x *IncrementalMerger) Apply(put []File, remove []string) (*Changes, error) {
	if err := x.checkFolder(put, remove); err != nil {
		return nil, err
	}
	a := x.replace(put, remove)
	m, changes := x.remerge(a)
	if err := m.errs.Err(); err != nil {
		for _, undo := range slices.Backward(x.undoSteps) {
			undo()
		}
		x.undoSteps = nil
		return nil, err
	}
	x.undoSteps = nil
	x.deleteUnreferenced(a)
	return changes, nil
}

// Clear removes all files. Apply refuses that, since a folder without users is not valid.
func (x *IncrementalMerger) Clear() *Changes {
	changes := &Changes{Users: map[string]*User{}, TokenKeys: len(x.tokenKeys) > 0}
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
	*x = *NewIncrementalMerger(x.cache)
	return changes
}

// deleteUnreferenced deletes the services and users that no file names any more.
func (x *IncrementalMerger) deleteUnreferenced(a *affectedSet) {
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

// FileCount returns the number of files.
func (x *IncrementalMerger) FileCount() int { return len(x.filesByName) }

// TokenKeys returns the token keys of the files.
func (x *IncrementalMerger) TokenKeys() []TokenKey { return x.tokenKeys }

// LongestFlowIdle returns the longest flow_idle of any service.
func (x *IncrementalMerger) LongestFlowIdle() time.Duration {
	longest := time.Duration(0)
	for d := range x.flowIdleCounts {
		longest = max(longest, d)
	}
	return longest
}

// Config returns the whole merged configuration with its origins. The state holds no origins, so
// this decodes and merges every file.
func (x *IncrementalMerger) Config() *Config {
	folder, _ := buildFolder(x.filesAfter(nil, nil))
	a := newAffected()
	for _, u := range x.users {
		a.addServices(u)
		a.addUser(u).userAffected = true
	}
	a.tokenKeys = true
	c := x.merge(a).result
	c.Digest, c.TokenKeys = folder.digest, x.tokenKeys
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

// checkFolder returns the faults in the names, numbers and sizes of the resulting files.
func (x *IncrementalMerger) checkFolder(put []File, remove []string) error {
	count, size := len(x.filesByName), x.totalBytes
	removed := map[string]bool{}
	for _, name := range remove {
		if old := x.filesByName[name]; old != nil && !removed[name] {
			removed[name] = true
			count--
			size -= len(old.data)
		}
	}
	nameByNumber := map[int]string{}
	for _, f := range put {
		n, ok := f.Number()
		if old := x.filesByName[f.Name]; old != nil && !removed[f.Name] {
			count--
			size -= len(old.data)
		}
		count++
		size += len(f.Data)
		current := x.filesByNumber[n]
		other, repeated := nameByNumber[n]
		occupied := current != nil && current.name != f.Name && !removed[current.name] || repeated && other != f.Name
		if !ok || occupied || len(f.Data) > MaxFileBytes {
			_, err := FromFiles(x.filesAfter(put, remove))
			return err
		}
		nameByNumber[n] = f.Name
	}
	if count > MaxFiles || size > MaxFolderBytes {
		_, err := FromFiles(x.filesAfter(put, remove))
		return err
	}
	return nil
}

// filesAfter returns the files after a change, sorted by name.
func (x *IncrementalMerger) filesAfter(put []File, remove []string) []File {
	contents := map[string][]byte{}
	for _, f := range x.filesByName {
		contents[f.name] = f.data
	}
	for _, name := range remove {
		delete(contents, name)
	}
	for _, f := range put {
		contents[f.Name] = f.Data
	}
	var out []File
	for _, name := range slices.Sorted(maps.Keys(contents)) {
		out = append(out, File{Name: name, Data: contents[name]})
	}
	return out
}

// replace adds and removes the files and returns the affected entries.
func (x *IncrementalMerger) replace(put []File, remove []string) *affectedSet {
	var removed []*file
	added := x.indexFiles(put)
	remove = slices.Clone(remove)
	for _, f := range added {
		remove = append(remove, f.name)
	}
	for _, name := range remove {
		if old := x.filesByName[name]; old != nil {
			removed = append(removed, old)
			x.removeFile(old)
		}
	}
	slices.SortFunc(added, compareFiles)
	for _, f := range added {
		x.addFile(f)
	}
	return x.affectedBy(removed, added)
}

// remerge merges the affected entries, copies them into the state and checks the result.
func (x *IncrementalMerger) remerge(a *affectedSet) (*merger, *Changes) {
	m := x.merge(a)
	changes := x.updateState(a, m)
	x.check(a, m)
	return m, changes
}

// indexFiles decodes the files and collects the names that they contain.
func (x *IncrementalMerger) indexFiles(put []File) []*file {
	out := make([]*file, len(put))
	for i, f := range put {
		n, _ := f.Number()
		out[i] = &file{name: f.Name, number: n, data: f.Data, key: fileKeyOf(f)}
	}
	for i, d := range x.cache.decodeAll(out) {
		out[i].indexNames(d)
	}
	return out
}

func (f *file) indexNames(d *decodedFile) {
	_, f.hasTokenKeys = d.origins["token_keys"]
	for _, name := range slices.Sorted(maps.Keys(d.config.Users)) {
		u := userNames{name: name, services: slices.Sorted(maps.Keys(d.config.Users[name].Services))}
		path := userPath(name)
		_, hasTimeZone := d.origins[path+".time_zone"]
		_, hasRemove := d.origins[path+".remove"]
		u.hasSettings = hasTimeZone || hasRemove
		u.removes = d.config.Users[name].Remove
		f.users = append(f.users, u)
	}
}

func compareFiles(a, b *file) int {
	return cmp.Or(cmp.Compare(a.number, b.number), strings.Compare(a.name, b.name))
}

// addFile adds a file and records how to undo it.
func (x *IncrementalMerger) addFile(f *file) {
	x.indexFile(f)
	x.undoSteps = append(x.undoSteps, func() { x.unindexFile(f) })
}

// removeFile removes a file and records how to undo it.
func (x *IncrementalMerger) removeFile(f *file) {
	x.unindexFile(f)
	x.undoSteps = append(x.undoSteps, func() { x.indexFile(f) })
}

func (x *IncrementalMerger) indexFile(f *file) {
	x.filesByName[f.name], x.filesByNumber[f.number] = f, f
	x.totalBytes += len(f.data)
	if f.hasTokenKeys {
		x.tokenKeyFiles = insertSorted(x.tokenKeyFiles, f)
	}
	for _, n := range f.users {
		u := x.findOrAddUser(n.name)
		u.files = insertSorted(u.files, f)
		if n.hasSettings {
			u.settingsFiles = insertSorted(u.settingsFiles, f)
		}
		for _, name := range n.services {
			s := u.findOrAddService(name)
			s.files = insertSorted(s.files, f)
		}
	}
}

func (x *IncrementalMerger) unindexFile(f *file) {
	delete(x.filesByName, f.name)
	if x.filesByNumber[f.number] == f {
		delete(x.filesByNumber, f.number)
	}
	x.totalBytes -= len(f.data)
	x.tokenKeyFiles = removeSorted(x.tokenKeyFiles, f)
	for _, n := range f.users {
		u := x.users[n.name]
		u.files, u.settingsFiles = removeSorted(u.files, f), removeSorted(u.settingsFiles, f)
		for _, name := range n.services {
			s := u.services[name]
			s.files = removeSorted(s.files, f)
		}
	}
}

func (x *IncrementalMerger) findOrAddUser(name string) *userState {
	u := x.users[name]
	if u == nil {
		u = &userState{name: name, services: map[string]*serviceState{}}
		x.users[name] = u
	}
	return u
}

func (u *userState) findOrAddService(name string) *serviceState {
	s := u.services[name]
	if s == nil {
		s = &serviceState{id: ident.Service(u.name, name), user: u.name, name: name}
		u.services[name] = s
	}
	return s
}

func insertSorted(files []*file, f *file) []*file {
	i, _ := slices.BinarySearchFunc(files, f, compareFiles)
	return slices.Insert(files, i, f)
}

func removeSorted(files []*file, f *file) []*file {
	i, found := slices.BinarySearchFunc(files, f, compareFiles)
	if !found {
		return files
	}
	return slices.Delete(files, i, i+1)
}

// equalValues reports whether two merged entries hold the same values.
func equalValues[T any](a, b *T) bool {
	return a == nil && b == nil || a != nil && b != nil && reflect.DeepEqual(a, b)
}
