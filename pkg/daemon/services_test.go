package daemon

import (
	"fmt"
	"maps"
	"net"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/config"
	"rosemarygate/pkg/control/folder"
	"rosemarygate/pkg/ident"
)

// Guards against an incrementally updated index that differs from the index of the whole configuration,
// and against a change that modifies the previous index, which data path goroutines may be reading.
func TestIndexOfChangesEqualsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index, err := indexServices(&config.Config{}, nil)
		assert.NilError(t, err)
		merged := config.NewIncrementalMerger(config.NewDecodeCache(0))
		for range rapid.IntRange(1, 10).Draw(t, "changes") {
			var put []config.File
			for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(1, 4), 1, 3, rapid.ID).Draw(t, "files") {
				port := n*10 + rapid.IntRange(0, 1).Draw(t, "port")
				put = append(put, config.File{Name: fmt.Sprintf("%d-s.yaml", n), Data: fmt.Appendf(nil, "users: {acme: {services: {s%d: {port: %d, credential: credential, classes: {c: {priority: 0}}}}}}", n, port)})
			}
			var remove []string
			if other := fmt.Sprintf("%d-s.yaml", rapid.IntRange(1, 4).Draw(t, "remove")); !slices.ContainsFunc(put, func(f config.File) bool { return f.Name == other }) {
				remove = append(remove, other)
			}
			before, ports := index, index.ports()
			changes, err := merged.Apply(put, remove)
			assert.NilError(t, err)
			index = index.withChanges(changes.Services)
			whole, err := indexServices(merged.Config(), nil)
			assert.NilError(t, err)
			assert.DeepEqual(t, index.ports(), whole.ports())
			for id := range whole.ports() {
				assert.Assert(t, reflect.DeepEqual(index.byID(id), whole.byID(id)))
				assert.Equal(t, index.byName(index.nameOf(id)), index.byID(id))
			}
			assert.DeepEqual(t, before.ports(), ports)
			assert.Equal(t, index.namesChanged, !slices.Equal(slices.Sorted(maps.Keys(ports)), slices.Sorted(maps.Keys(index.ports()))))
		}
	})
}

// Guards against services that cannot exchange their ports, against a change that closes the sockets of
// other services, and against a port that is not bound after it became free.
func TestSocketsFollowChanges(t *testing.T) {
	host := netip.MustParseAddr("127.1.9.9")
	s := &sockets{
		host: host, byService: map[ident.ServiceID]*serviceSocket{}, unbound: map[ident.ServiceID]uint16{},
		receivers: &sync.Pool{New: func() any { return (*receiver)(nil) }},
	}
	taken, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(host, 7103)))
	assert.NilError(t, err)
	assert.NilError(t, s.setPorts(map[ident.ServiceID]uint16{1: 7101, 2: 7102, 4: 7104}))
	kept := s.find(4)
	assert.NilError(t, s.changePorts(map[ident.ServiceID]uint16{1: 7102, 2: 7101}))
	err = s.changePorts(map[ident.ServiceID]uint16{2: 0, 3: 7103})
	assert.Assert(t, err != nil && strings.Contains(err.Error(), "7103 cannot be bound"))
	assert.Assert(t, s.find(2) == nil && s.find(3) == nil)
	taken.Close()
	assert.NilError(t, s.changePorts(map[ident.ServiceID]uint16{5: 7101}))
	ports := map[ident.ServiceID]uint16{}
	for id, sock := range s.byService {
		ports[id] = sock.port
	}
	assert.DeepEqual(t, ports, map[ident.ServiceID]uint16{1: 7102, 3: 7103, 4: 7104, 5: 7101})
	assert.Assert(t, s.find(4) == kept)
	assert.NilError(t, s.setPorts(nil))
	s.wg.Wait()
}

// Measures the change of one service at a daemon: merge, validation and index.
func BenchmarkConfigurationChange(b *testing.B) {
	for _, n := range []int{1000, 6000, 24_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			file := func(i, slots int) *controlpb.File {
				data := fmt.Appendf(nil, "users: {acme: {services: {s%d: {port: %d, credential: credential, slots: %d, classes: {a: {priority: 0}, b: {priority: 1}}}}}}", i, 1000+i, slots)
				return &controlpb.File{Name: fmt.Sprintf("%05d-s.yaml", i+1), Data: data}
			}
			var files []*controlpb.File
			for i := range n {
				files = append(files, file(i, 1))
			}
			current := folder.New(nil, nil, 0).WithChange(1, files, nil)
			c := &control{merged: config.NewIncrementalMerger(config.NewDecodeCache(decodedCacheBytes))}
			changes, err := c.merge(current.Files())
			assert.NilError(b, err)
			index, err := indexServices(&config.Config{}, nil)
			assert.NilError(b, err)
			index = index.withChanges(changes.Services)
			i := 0
			for b.Loop() {
				i++
				current = current.WithChange(uint64(i+1), []*controlpb.File{file(n/2, 1+i%2)}, nil)
				changes, err := c.merge(current.Files())
				assert.NilError(b, err)
				index = index.withChanges(changes.Services)
			}
		})
	}
}
