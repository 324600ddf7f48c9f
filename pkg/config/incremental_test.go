package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosemarygate/pkg/strictyaml"
)

// randomFile draws a file with names and ports from a small set, so that files name the same
// entries. Some files have faults.
func randomFile(t *rapid.T) string {
	switch rapid.IntRange(0, 19).Draw(t, "kind") {
	case 0:
		return rapid.SampledFrom([]string{"", "users: [", "other: 1", "users: {}", "users: {a: null}"}).Draw(t, "text")
	case 1:
		const secret = "secret: 000102030405060708090a0b0c0d0e0f}"
		return rapid.SampledFrom([]string{"token_keys: [{id: 1, " + secret + "]", "token_keys: [{id: 2, " + secret + ", {id: 2, " + secret + "]", "token_keys: []"}).Draw(t, "keys")
	}
	var users []string
	for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "a-b", "c"}), 1, 2, rapid.ID).Draw(t, "users") {
		users = append(users, name+": "+randomUser(t))
	}
	return "users: {" + strings.Join(users, ",\n ") + "}"
}

func randomUser(t *rapid.T) string {
	var keys []string
	switch rapid.IntRange(0, 9).Draw(t, "user") {
	case 0:
		keys = append(keys, rapid.SampledFrom([]string{"time_zone: Asia/Kolkata", "time_zone: Nowhere"}).Draw(t, "zone"))
	case 1:
		return "{remove: true}"
	case 2:
		keys = append(keys, "remove: "+rapid.SampledFrom([]string{"true", "false"}).Draw(t, "remove"))
	}
	var services []string
	for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"s", "t", "u"}), 0, 2, rapid.ID).Draw(t, "services") {
		services = append(services, name+": "+randomService(t))
	}
	if len(services) > 0 {
		keys = append(keys, "services: {"+strings.Join(services, ",\n  ")+"}")
	}
	return "{" + strings.Join(keys, ", ") + "}"
}

func randomService(t *rapid.T) string {
	port := rapid.IntRange(1, 9).Draw(t, "port")
	full := fmt.Sprintf("port: %d, credential: credential, classes: {x: {priority: 0, share: 0.5}}", port)
	return rapid.SampledFrom([]string{
		"{" + full + "}", "{" + full + "}", "{" + full + "}", "{" + full + "}", "{" + full + ", slots: 2}", "{" + full + ", flow_idle: 5s}", "{remove: true}", "{remove: true}",
		fmt.Sprintf("{port: %d}", port), "{queue_limit: 5}", "{slots: 0}", "{default_class: x}", "{remove: true, slots: 3}",
		"{classes: {y: {priority: 1, share: 0.6}}}", "{classes: {y: {priority: 1, share: 0.4}}}", "{classes: {x: {remove: true}}}", "{classes: {y: {remove: true}}}",
	}).Draw(t, "service")
}

// mergeAllFiles merges the whole folder.
func mergeAllFiles(files map[string]string) (*Config, error) {
	var list []File
	for _, name := range slices.Sorted(maps.Keys(files)) {
		list = append(list, File{name, []byte(files[name])})
	}
	f, err := FromFiles(list)
	if err != nil {
		return nil, err
	}
	return f.Merge()
}

// assertEqualConfigs compares values, origins and digests.
func assertEqualConfigs(t assert.TestingT, got, want *Config) {
	assert.Equal(t, got.Digest, want.Digest)
	assert.DeepEqual(t, got.Users, want.Users)
	assert.DeepEqual(t, got.TokenKeys, want.TokenKeys)
	assert.DeepEqual(t, got.origins, want.origins)
}

// daemonModel applies changes in the same way as a daemon.
type daemonModel struct {
	services map[string]Service
	users    map[string]string
}

func (f *daemonModel) apply(c *Changes) {
	for _, e := range c.Services {
		delete(f.services, e.FullName())
		if e.Settings != nil {
			f.services[e.FullName()] = *e.Settings
		}
	}
	for name, u := range c.Users {
		delete(f.users, name)
		if u != nil {
			f.users[name] = u.TimeZone
		}
	}
}

func (f *daemonModel) check(t assert.TestingT, c *Config) {
	services, users := map[string]Service{}, map[string]string{}
	for _, e := range c.Services() {
		services[e.FullName()] = *e.Settings
	}
	for name, u := range c.Users {
		users[name] = u.TimeZone
	}
	assert.DeepEqual(t, f.services, services)
	assert.DeepEqual(t, f.users, users)
}

// Guards against an incremental merge that differs from the merge of the whole folder in a value,
// an origin, a fault or the order of faults, that keeps part of a refused change, or that returns
// an incomplete list of changes. Replicas whose fault texts differ would hold different states.
func TestIncrementalEqualsMerge(t *testing.T) {
	validChanges := 0
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.SampledFrom([]int{0, 300, 1 << 20}).Draw(t, "cache")
		x := NewIncrementalMerger(NewDecodeCache(limit))
		f := &daemonModel{services: map[string]Service{}, users: map[string]string{}}
		files := map[string]string{}
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			next := maps.Clone(files)
			var put []File
			var remove []string
			for range rapid.IntRange(1, 3).Draw(t, "files") {
				name := fmt.Sprintf("%d-%s.yaml", rapid.IntRange(1, 12).Draw(t, "number"), rapid.SampledFrom([]string{"f", "f", "f", "f", "f", "g", "G"}).Draw(t, "name"))
				if slices.ContainsFunc(put, func(f File) bool { return f.Name == name }) || slices.Contains(remove, name) {
					continue
				}
				delete(next, name)
				if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
					remove = append(remove, name)
					continue
				}
				next[name] = randomFile(t)
				put = append(put, File{name, []byte(next[name])})
			}
			changes, err := x.Apply(put, remove)
			want, wantErr := mergeAllFiles(next)
			if wantErr == nil {
				assert.NilError(t, err)
				files = next
				f.apply(changes)
				validChanges++
			} else {
				assert.DeepEqual(t, err, wantErr)
				if want, wantErr = mergeAllFiles(files); wantErr != nil {
					assert.Equal(t, x.FileCount(), 0)
					continue
				}
			}
			assertEqualConfigs(t, x.Config(), want)
			f.check(t, want)
			longest := slices.MaxFunc(append(want.Services(), ServiceEntry{Settings: new(Service)}), func(a, b ServiceEntry) int {
				return int(a.Settings.FlowIdle - b.Settings.FlowIdle)
			})
			assert.Equal(t, x.LongestFlowIdle(), longest.Settings.FlowIdle)
			if rapid.IntRange(0, 19).Draw(t, "clear") == 0 {
				f.apply(x.Clear())
				f.check(t, &Config{})
				files = map[string]string{}
			}
		}
	})
	assert.Assert(t, validChanges > 100, "only %d changes were valid", validChanges)
	t.Logf("%d changes were valid", validChanges)
}

// Guards against a list of more than MaxFaults faults that the two merges truncate differently.
func TestIncrementalTruncatesFaultsLikeMerge(t *testing.T) {
	x := NewIncrementalMerger(NewDecodeCache(1 << 20))
	files := map[string]string{"1-a.yaml": baseFile}
	_, err := x.Apply([]File{{"1-a.yaml", []byte(baseFile)}}, nil)
	assert.NilError(t, err)
	var put []File
	for n := range 4 {
		var services strings.Builder
		for i := range strictyaml.MaxFaults / 2 {
			fmt.Fprintf(&services, "s%d: {classes: {x: {}}}, ", i*(n+1))
		}
		name := fmt.Sprintf("%d-b.yaml", n+2)
		files[name] = "users: {c: {services: {" + services.String() + "}}}"
		put = append(put, File{name, []byte(files[name])})
	}
	_, err = x.Apply(put, nil)
	_, want := mergeAllFiles(files)
	assert.DeepEqual(t, err, want)
	assert.Equal(t, len(want.(strictyaml.Errors)), strictyaml.MaxFaults+1)
}

// Measures a change of one file with one service.
func BenchmarkIncremental(b *testing.B) {
	for _, n := range []int{1000, 6000, 18_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			x := NewIncrementalMerger(NewDecodeCache(1 << 20))
			service := func(i, slots int) File {
				return File{fmt.Sprintf("%d-s.yaml", i+1), fmt.Appendf(nil, "users: {acme: {services: {s%d: {port: %d, credential: some-credential, slots: %d, classes: {a: {priority: 0}, b: {priority: 1}}}}}}", i, 1000+i, slots)}
			}
			var files []File
			for i := range n {
				files = append(files, service(i, 1))
			}
			_, err := x.Apply(files, nil)
			assert.NilError(b, err)
			i := 0
			for b.Loop() {
				i++
				_, err := x.Apply([]File{service(n/2, 1+i%2)}, nil)
				assert.NilError(b, err)
			}
		})
	}
}
