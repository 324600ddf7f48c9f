package controlhost

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/control/directory"
	"rosemarygate/pkg/routing"
)

// newIdleHost returns a host that does not run.
func newIdleHost(t *testing.T) *Host {
	t.Helper()
	return restartedHost(t, t.TempDir())
}

func stateOf(h *Host, key directory.Key, startUnixMs int64) directory.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, _ := h.directory.Get(directory.Incarnation{Key: key, StartUnixMs: startUnixMs})
	return r.State
}

// merge merges a registration as a peer shares it.
func merge(h *Host, r directory.Registration) {
	h.mergeBatch(&entrypb.Batch{Number: 2, Registrations: h.encodeRegistrations([]directory.Registration{r}, h.clock())})
}

// Guards against an entry of another writer with an undeclared service that displaces the live upstream at its
// address, or the one with its id, because it reaches a host that has no configuration yet, or reaches this host
// through such a peer.
func TestUndeclaredServiceDisplacesNothing(t *testing.T) {
	sameAddress := readyRegistration(2, 200, 1)
	sameAddress.Address, sameAddress.Service = readyRegistration(1, 100, 1).Address, "undeclared"
	sameID := readyRegistration(1, 200, 1)
	sameID.Service = "undeclared"
	draining := sameAddress
	draining.State = directory.Draining
	for name, entry := range map[string]directory.Registration{"same address": sameAddress, "same id": sameID, "draining": draining} {
		for _, version := range []uint64{0, 1} {
			h := newIdleHost(t)
			merge(h, readyRegistration(1, 100, 1)) // from a peer that has the configuration
			if version > 0 {
				h.table.Store(&routing.Table{Version: version, Services: []string{"a"}})
			}
			want := ErrNoConfig
			if version > 0 {
				want = ErrUnknownService
			}
			assert.ErrorIs(t, h.Announce(t.Context(), entry), want, "%s, version %d", name, version)
			merge(h, entry)
			assert.Equal(t, stateOf(h, 1, 100), directory.Ready, "%s, version %d", name, version)
			assert.Equal(t, stateOf(h, entry.Key, entry.StartUnixMs), directory.State(0), "%s, version %d", name, version)

			// The live upstream goes on, whatever the host knows of the configuration.
			assert.NilError(t, h.Announce(t.Context(), readyRegistration(1, 100, 2)))
			assert.Equal(t, stateOf(h, 1, 100), directory.Ready)
		}
	}
}

// Guards against a process that stays unknown because a peer with a newer configuration shared it first, and against
// one that takes over an address or restarts while its host has no configuration.
func TestRegistrationWaitsForItsService(t *testing.T) {
	successor := readyRegistration(2, 200, 1)
	successor.Address, successor.Service = readyRegistration(1, 100, 1).Address, "b"
	h := newIdleHost(t)
	h.table.Store(&routing.Table{Version: 1, Services: []string{"a"}})
	merge(h, readyRegistration(1, 100, 1))
	merge(h, successor)
	later := successor
	later.Sequence, later.Slots = 3, 7
	merge(h, later)
	merge(h, successor) // an older copy
	assert.Equal(t, stateOf(h, 2, 200), directory.State(0))
	h.table.Store(&routing.Table{Version: 2, Services: []string{"a", "b"}})
	h.announceVerified(t.Context())
	assert.Equal(t, stateOf(h, 1, 100), directory.Gone)
	assert.Equal(t, stateOf(h, 2, 200), directory.Ready)
	r, _ := h.directory.Get(successor.Incarnation)
	assert.Equal(t, r.Slots, 7)
	assert.Equal(t, len(h.unverified), 0)

}

// Guards against upstreams that are unknown after the first configuration, or whose undeclared service hides a live
// one: all of them announce themselves before, at different hosts.
func TestRegistrationsBeforeFirstConfig(t *testing.T) {
	hosts := startHosts(t, 3)
	eventually(t, "the group has a leader", func() bool { return hosts[0].knowsNoConfig() && hosts[1].knowsNoConfig() && hosts[2].knowsNoConfig() })
	undeclared := readyRegistration(9, 999, 1)
	undeclared.Address, undeclared.Service = readyRegistration(1, 100, 1).Address, "undeclared"
	assert.NilError(t, hosts[0].Announce(t.Context(), undeclared))
	for i, h := range hosts {
		assert.NilError(t, h.Announce(t.Context(), readyRegistration(directory.Key(i+1), 100, 1)))
		assert.NilError(t, h.Announce(t.Context(), readyRegistration(directory.Key(i+1), 200, 1)), "it starts again")
	}
	assert.NilError(t, hosts[2].Announce(t.Context(), readyRegistration(7, 100, 1)))
	assert.NilError(t, hosts[2].Deregister(t.Context(), 7, 0))
	replaceConfig(t, hosts[1], testConfig(t, 1, "a"))
	for _, h := range hosts {
		for key := range directory.Key(3) {
			eventually(t, "upstreams are registered", func() bool { return stateOf(h, key+1, 200) == directory.Ready })
		}
		assert.Equal(t, stateOf(h, 9, 999), directory.State(0))
		assert.Equal(t, stateOf(h, 7, 100), directory.State(0))
	}
}

// Guards against a faulty writer that fills the memory of a host.
func TestUnverifiedRegistrationsAreBounded(t *testing.T) {
	h := newIdleHost(t)
	h.table.Store(&routing.Table{Version: 1, Services: []string{"a"}})
	merge(h, readyRegistration(1, 100, 1))
	for key := range directory.Key(2 * maxUnverified) {
		r := readyRegistration(key+2, 200, 1)
		r.Address, r.Service = readyRegistration(1, 100, 1).Address, "undeclared"
		merge(h, r)
	}
	assert.Equal(t, len(h.unverified), maxUnverified)
}

// Guards against an entry with an undeclared service that a host without a log takes and shares: through the whole
// group, the upstream at its address stays in service.
func TestHostWithoutConfigSharesNoDisplacement(t *testing.T) {
	hosts := startRestartable(t, 3)
	replaceConfig(t, hosts[0].Host, testConfig(t, 1, "a"))
	assert.NilError(t, hosts[0].Announce(t.Context(), readyRegistration(1, 100, 1)))
	for _, h := range hosts {
		eventually(t, "the upstream is registered", func() bool { return stateOf(h.Host, 1, 100) == directory.Ready && h.Table().Version == 1 })
	}
	hosts[2].end(t, true)
	hosts[2].start(t)
	entry := readyRegistration(2, 200, 1)
	entry.Address, entry.Service = readyRegistration(1, 100, 1).Address, "undeclared"
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		_ = hosts[2].Announce(t.Context(), entry) // refused, or taken while the host knows nothing
		for _, h := range hosts {
			assert.Assert(t, stateOf(h.Host, 1, 100) != directory.Gone, "the live upstream counts as gone")
		}
	}
	eventually(t, "the upstream is registered at all hosts", func() bool { return stateOf(hosts[2].Host, 1, 100) == directory.Ready })
}
