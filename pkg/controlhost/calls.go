package controlhost

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"rosemarygate/pkg/control/directory"
	"rosemarygate/pkg/control/ensemble"
	"rosemarygate/pkg/events"
	"rosemarygate/pkg/routing"
)

// spreadTimeout bounds the wait until the other control hosts have confirmed that an upstream leaves.
// The wait makes it likely that all entry daemons know when the upstream gets its reply; they learn of
// it later all the same when a host does not answer.
const spreadTimeout = 200 * time.Millisecond

// Errors of calls.
var (
	// ErrUnknownService refuses an announcement for a service that the configuration does not declare.
	ErrUnknownService = errors.New("the configuration declares no such service: correct the upstream's service or declare it")
	// ErrSuperseded refuses an announcement of a process that a later one has replaced.
	ErrSuperseded = errors.New("a later process is known under this id or at this address: the announcement is ignored")
	// ErrContradiction refuses an announcement that changes what a process cannot change.
	ErrContradiction = errors.New("the process announced another service or address before: the announcement is ignored")
	// ErrUnknownUpstream refuses the deregistration of an upstream that is not known.
	ErrUnknownUpstream = errors.New("no such upstream is registered here")
	// ErrNoConfig says that no configuration was accepted yet.
	ErrNoConfig = errors.New("no configuration was accepted yet: retry after the first one")
)

// Announce takes the announcement of an upstream. WarmAt of the registration counts from now on.
func (h *Host) Announce(ctx context.Context, r directory.Registration) error {
	defer h.observe("announce", time.Now())
	now := h.clock()
	r.Heard, r.WarmAt = now, now+r.WarmAt
	if err := h.checkService(r.Service); err != nil {
		h.logAnnouncement(r, "unknown_service")
		return err
	}
	h.mu.Lock()
	before, known := h.directory.Get(r.Incarnation)
	outcome := h.directory.Announce(r)
	h.mu.Unlock()
	h.count("announcements", "outcome", outcome.String())
	switch outcome {
	case directory.Superseded:
		if known && before.State != directory.Gone && r.Sequence < before.Sequence {
			return nil // an earlier announcement of the same process that was delayed
		}
		h.logAnnouncement(r, outcome.String())
		return ErrSuperseded
	case directory.Contradicted:
		h.logAnnouncement(r, outcome.String())
		return ErrContradiction
	case directory.Refreshed:
		h.sharing.refreshed(r)
		return nil
	}
	h.logAnnouncement(r, outcome.String())
	spread := h.sharing.changed(r)
	h.notify()
	if r.State == directory.Draining {
		h.awaitSpread(ctx, spread)
	}
	return nil
}

func (h *Host) checkService(service string) error {
	t := h.table.Load()
	if t.Version == 0 {
		return nil // the host cannot tell
	}
	for _, s := range t.Services {
		if s == service {
			return nil
		}
	}
	return ErrUnknownService
}

// logCall writes the line of a call, unless calls flood the log.
func (h *Host) logCall(event events.Event, fields logrus.Fields) {
	ok, suppressed := h.lines.Allow(time.Now())
	if !ok {
		return
	}
	if suppressed > 0 {
		fields["suppressed"] = suppressed
	}
	event.Log(h.log, fields)
}

func (h *Host) logAnnouncement(r directory.Registration, outcome string) {
	h.logCall(events.Announcement, logrus.Fields{
		"upstream": r.Name, "born": r.Born, "sequence": r.Sequence, "service": r.Service, "address": r.Address,
		"state": r.State.String(), "outcome": outcome, "version": h.table.Load().Version,
	})
}

// Deregister takes the last word of an upstream process. A born of 0 stands for the latest process.
func (h *Host) Deregister(ctx context.Context, k directory.Key, born int64) error {
	defer h.observe("deregister", time.Now())
	now := h.clock()
	h.mu.Lock()
	if latest, known := h.directory.Latest(k); born == 0 && known {
		born = latest.Born
	}
	found := h.directory.Deregister(k, born, now)
	r, _ := h.directory.Get(directory.Incarnation{Key: k, Born: born})
	h.mu.Unlock()
	h.logCall(events.UpstreamLeft, logrus.Fields{"upstream": r.Name, "key": k.String(), "born": born, "known": found})
	if !found {
		return ErrUnknownUpstream
	}
	spread := h.sharing.changed(r)
	h.notify()
	h.awaitSpread(ctx, spread)
	return nil
}

func (h *Host) awaitSpread(ctx context.Context, spread <-chan struct{}) {
	select {
	case <-spread:
	case <-ctx.Done():
	case <-time.After(spreadTimeout):
		h.count("spread_timeouts")
	}
}

// timeFor returns the time that a call with a body of so many bytes gets.
func timeFor(bytes int) time.Duration {
	return callTimeout + time.Duration(bytes)*time.Second/bytesPerSecond
}

// ReplaceConfig stores a configuration. The error is a *routing.InvalidError if it is refused for good,
// and ensemble.ErrNoMajority if its fate is not known.
func (h *Host) ReplaceConfig(ctx context.Context, content []byte) error {
	begin := time.Now()
	defer h.observe("replace_config", begin)
	t, err := h.cfg.Decode(content)
	if err != nil {
		h.logConfig("refused", 0, begin, err)
		return err
	}
	limited, cancel := context.WithTimeout(ctx, timeFor(len(content)))
	defer cancel()
	if err := h.group.Submit(limited, ensemble.Document{Version: t.Version, Content: content}); err != nil {
		h.logConfig("no_majority", t.Version, begin, err)
		return err
	}
	h.logConfig("acknowledged", t.Version, begin, nil)
	return nil
}

// observe records how long a call took.
func (h *Host) observe(call string, begin time.Time) {
	h.cfg.Metrics.Histogram("call_seconds", "call", call).UpdateDuration(begin)
}

func (h *Host) logConfig(outcome string, version uint64, begin time.Time, err error) {
	h.count("config_changes", "outcome", outcome)
	fields := logrus.Fields{
		"outcome": outcome, "version": version, "in_force": h.group.Document().Version, "took_ms": time.Since(begin).Milliseconds(),
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	h.logCall(events.ConfigSubmitted, fields)
}

// ReadConfig returns the content of the configuration in force, confirmed by a majority.
func (h *Host) ReadConfig(ctx context.Context) ([]byte, error) {
	defer h.observe("read_config", time.Now())
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	d, err := h.group.Read(limited)
	if err == nil && d.Version == 0 {
		err = ErrNoConfig
	}
	fields := logrus.Fields{"version": d.Version}
	if err != nil {
		fields["error"] = err.Error()
		h.count("config_reads", "outcome", "refused")
	} else {
		h.count("config_reads", "outcome", "answered")
	}
	h.logCall(events.ConfigRead, fields)
	return d.Content, err
}

// Table returns the routing table in force as far as this host knows.
func (h *Host) Table() *routing.Table { return h.table.Load() }

func (h *Host) count(name string, labels ...string) { h.cfg.Metrics.Counter(name, labels...).Inc() }
