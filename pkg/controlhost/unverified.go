package controlhost

import (
	"context"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"rosemarygate/pkg/control/directory"
	"rosemarygate/pkg/events"
)

// Registrations of undeclared services.
//
// A new process displaces the live one with its key or at its address, and the open flows of that one are reset. An
// entry that names an undeclared service comes from a faulty writer and names no upstream. A host that has no
// configuration yet, or an older one than its peers, cannot tell. So a host without a configuration takes entries of
// unknown processes only if the group has none either, and keeps them until there is one; other callers try another
// host. Of what its peers share, it keeps what would displace a live process. Load pattern: the first entries of all
// upstreams at the first start, and later a process that starts while this host joins or while a service is added.

// maxUnverified bounds the registrations that wait for a configuration with their service. Further ones are dropped;
// 3,000 upstreams announce themselves before the first configuration of a large deployment.
const maxUnverified = 4096

// unverifiedRegistration is a registration that waits for a configuration with its service.
type unverifiedRegistration struct {
	directory.Registration
	shared bool // a peer has shared it; otherwise this host got it and shares it
}

// configWait is how long a process that a host does not know waits for the configuration of a host that joins. Its
// announcement takes at most a second, after which the process tries another host.
const configWait = 300 * time.Millisecond

// announceWithoutConfig handles the announcement of a process while this host has no configuration, and reports
// whether it did: not if the host knows the process, or gets a configuration meanwhile.
func (h *Host) announceWithoutConfig(ctx context.Context, r directory.Registration) (done bool, err error) {
	noConfig := h.knowsNoConfig()
	h.mu.Lock()
	_, known := h.directory.Get(r.Incarnation)
	if known || h.table.Load().Version > 0 {
		h.mu.Unlock()
		return false, nil
	}
	if noConfig {
		h.keepUnverified(unverifiedRegistration{r, false})
		h.mu.Unlock()
		return true, nil
	}
	h.mu.Unlock()
	timeoutCtx, cancel := context.WithTimeout(ctx, configWait)
	defer cancel()
	if h.awaitConfig(timeoutCtx) {
		return false, nil
	}
	h.count("announcements", "outcome", "no_config")
	return true, ErrNoConfig
}

// knowsNoConfig reports whether the group has no configuration for certain.
func (h *Host) knowsNoConfig() bool { return h.group.Current() && h.group.Document().Version == 0 }

// isUnverified reports whether a registration would displace a live process although the configuration in force here
// does not declare its service. The caller holds the lock.
func (h *Host) isUnverified(r *directory.Registration) bool {
	return !h.declares(r.Service) && h.directory.Displaces(r)
}

// declares reports whether the configuration in force here declares a service.
func (h *Host) declares(service string) bool {
	return h.table.Load().Version > 0 && h.checkService(service) == nil
}

// keepUnverified keeps a registration until its service is declared. The caller holds the lock.
func (h *Host) keepUnverified(r unverifiedRegistration) {
	outcome := "kept"
	if kept, known := h.unverified[r.Incarnation]; !known && len(h.unverified) >= maxUnverified {
		outcome = "dropped"
	} else if !known || r.Sequence >= kept.Sequence {
		h.unverified[r.Incarnation] = r
	}
	h.count("unverified_registrations", "outcome", outcome)
	h.logCall(events.RegistrationUnverified, logrus.Fields{"upstream": cutText(r.Name), "service": cutText(r.Service), "address": r.Address, "outcome": outcome})
}

// forgetUnverified drops the kept registration of a process that is about to exit, and reports whether there was one. A
// start of 0 stands for all processes with the key that have not announced themselves since the call may have been sent.
// The caller holds the lock.
func (h *Host) forgetUnverified(k directory.Key, startUnixMs int64, sentAfter time.Duration) bool {
	before := len(h.unverified)
	maps.DeleteFunc(h.unverified, func(i directory.Incarnation, r unverifiedRegistration) bool {
		return i.Key == k && (startUnixMs == 0 && r.LastAnnounced <= sentAfter || i.StartUnixMs == startUnixMs)
	})
	return len(h.unverified) < before
}

// announceVerified announces the kept registrations whose service the configuration declares now. Once there is a
// configuration, those of other services that this host got itself are refused.
func (h *Host) announceVerified(ctx context.Context) {
	var own []directory.Registration
	h.mu.Lock()
	for i, r := range h.unverified {
		declared := h.declares(r.Service)
		if declared || !r.shared {
			delete(h.unverified, i)
		}
		switch {
		case declared && r.shared:
			h.directory.Announce(r.Registration)
		case declared:
			own = append(own, r.Registration)
		}
	}
	h.mu.Unlock()
	for _, r := range own {
		_ = h.accept(ctx, r) // its caller has the reply already
	}
}
