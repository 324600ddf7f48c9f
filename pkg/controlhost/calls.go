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
	"rosemarygate/pkg/wallclock"
)

// shareConfirmTimeout limits the wait until the other control hosts have confirmed that an upstream
// leaves. Because of the wait, all entry daemons are likely to have the change when the upstream gets
// its reply; if a host does not answer, they receive it later.
const shareConfirmTimeout = 200 * time.Millisecond

// Errors of calls.
var (
	// ErrUnknownService rejects an announcement for a service that the configuration does not
	// declare.
	ErrUnknownService = errors.New("the configuration declares no such service: correct the upstream's service or declare it")
	// ErrSuperseded rejects an announcement of a process that a later one has replaced.
	ErrSuperseded = errors.New("a later process is known under this id or at this address: the announcement is ignored")
	// ErrContradiction rejects an announcement with another service or address than the process
	// announced before.
	ErrContradiction = errors.New("the process announced another service or address before: the announcement is ignored")
	// ErrUnknownUpstream rejects the deregistration of an upstream that is not registered.
	ErrUnknownUpstream = errors.New("no such upstream is registered here")
	// ErrNoConfig is returned while no configuration has been accepted yet.
	ErrNoConfig = errors.New("no configuration was accepted yet: retry after the first one")
)

// maxStartAhead is how far the start of an upstream may be ahead of this host's time of day, which may jump
// by minutes. No process with an earlier start could replace one from the far future.
const maxStartAhead = time.Hour

// RefuseAnnouncement records that an announcement or a deregistration was refused because of its content.
func (h *Host) RefuseAnnouncement(upstream string, err error) {
	field := "unknown"
	var invalid *directory.InvalidError
	if errors.As(err, &invalid) {
		field = invalid.Field
	}
	h.count("announcements_refused", "field", field)
	h.logCall(events.AnnouncementRefused, logrus.Fields{"upstream": cutText(upstream), "field": field, "error": cutText(err.Error())})
}

// maxLoggedText bounds text from outside in log lines, in bytes.
const maxLoggedText = 200

func cutText(s string) string { return s[:min(len(s), maxLoggedText)] }

// Announce handles the announcement of an upstream. The warm-up of the registration is given as a
// duration, which starts now.
func (h *Host) Announce(ctx context.Context, r directory.Registration) error {
	defer h.observe("announce", time.Now())
	defer answerNow(ctx)
	now := h.clock()
	r.LastAnnounced = now
	if r.WarmupEnd > 0 {
		r.WarmupEnd += now
	}
	if time.UnixMilli(r.StartUnixMs).Sub(wallclock.Now()) > maxStartAhead {
		err := errors.WithStack(&directory.InvalidError{Field: "start", Problem: "is in the future"})
		h.RefuseAnnouncement(r.Name, err)
		return err
	}
	if h.table.Load().Version == 0 {
		if done, err := h.announceWithoutConfig(ctx, r); done {
			return err
		}
	}
	if err := h.checkService(r.Service); err != nil {
		h.logAnnouncement(r, "unknown_service")
		return err
	}
	return h.accept(ctx, r)
}

// accept registers what an upstream has announced and shares it with the other control hosts.
func (h *Host) accept(ctx context.Context, r directory.Registration) error {
	now := h.clock()
	h.mu.Lock()
	previous, known := h.directory.Get(r.Incarnation)
	if r.WarmupEnd > now && previous.WarmupSponsor == "" && previous.WarmupEnd <= now {
		r.WarmupSponsor = h.nameSponsor(r)
	}
	outcome := h.directory.Announce(r)
	revision := h.directory.Revision()
	h.mu.Unlock()
	h.count("announcements", "outcome", outcome.String())
	switch outcome {
	case directory.Superseded:
		if known && previous.State != directory.Gone && r.Sequence < previous.Sequence {
			return nil // a delayed earlier announcement of the same process
		}
		h.logAnnouncement(r, outcome.String())
		return ErrSuperseded
	case directory.Contradicted:
		h.logAnnouncement(r, outcome.String())
		return ErrContradiction
	case directory.Refreshed:
		h.sharing.shareRefresh(r)
		return nil
	}
	h.logAnnouncement(r, outcome.String())
	confirmed, saved := h.sharing.shareChange(r), h.saver.savedFrom(revision)
	h.notify()
	if r.State == directory.Draining {
		h.awaitLeave(ctx, confirmed, saved)
	}
	return nil
}

func (h *Host) checkService(service string) error {
	table := h.table.Load()
	if table.Version == 0 {
		return nil // no configuration is in force yet, so the services are unknown
	}
	for _, s := range table.Services {
		if s == service {
			return nil
		}
	}
	return ErrUnknownService
}

// logCall writes the log line of a call, unless the rate limit of these lines is exceeded.
func (h *Host) logCall(event events.Event, fields logrus.Fields) {
	ok, suppressed := h.callLogLimiter.Allow(time.Now())
	if !ok {
		return
	}
	if suppressed > 0 {
		fields["suppressed"] = suppressed
	}
	event.Log(h.log, fields)
}

func (h *Host) logAnnouncement(r directory.Registration, outcome string) {
	h.logCall(events.AnnouncementProcessed, logrus.Fields{
		"upstream": r.Name, "born": r.StartUnixMs, "sequence": r.Sequence, "service": r.Service, "address": r.Address,
		"state": r.State.String(), "outcome": outcome, "version": h.table.Load().Version,
		"warmup_ms": max(0, r.WarmupEnd-r.LastAnnounced).Milliseconds(), "sponsor": r.WarmupSponsor,
	})
}

// Deregister records that an upstream process is about to exit, and waits up to shareConfirmTimeout
// until the other control hosts have confirmed it and this one has stored it. startUnixMs identifies the process by its
// start time; 0 stands for the latest process when the call was sent. The error is ErrSuperseded if that process was
// replaced since.
func (h *Host) Deregister(ctx context.Context, k directory.Key, startUnixMs int64) error {
	defer h.observe("deregister", time.Now())
	now := h.clock()
	earliestSent := now - time.Since(sentAfter(ctx))
	h.mu.Lock()
	if startUnixMs == 0 && h.directory.IsNewerThan(k, earliestSent) {
		h.mu.Unlock()
		h.logCall(events.UpstreamLeft, logrus.Fields{"key": k.String(), "known": true, "superseded": true})
		return ErrSuperseded
	}
	if latest, known := h.directory.Latest(k); startUnixMs == 0 && known {
		startUnixMs = latest.StartUnixMs
	}
	forgotten := h.forgetUnverified(k, startUnixMs, earliestSent)
	found := h.directory.Deregister(k, startUnixMs, now)
	r, _ := h.directory.Get(directory.Incarnation{Key: k, StartUnixMs: startUnixMs})
	revision := h.directory.Revision()
	h.mu.Unlock()
	h.logCall(events.UpstreamLeft, logrus.Fields{"upstream": r.Name, "key": k.String(), "born": startUnixMs, "known": found})
	switch {
	case !found && forgotten:
		return nil
	case !found:
		return ErrUnknownUpstream
	}
	confirmed, saved := h.sharing.shareChange(r), h.saver.savedFrom(revision)
	h.notify()
	h.awaitLeave(ctx, confirmed, saved)
	return nil
}

// awaitLeave waits until the other control hosts have confirmed that an upstream leaves and this host has
// stored it, so that no restart brings the upstream back. A disk that stalls does not delay the reply
// beyond shareConfirmTimeout.
func (h *Host) awaitLeave(ctx context.Context, confirmed, saved <-chan struct{}) {
	timeout := time.After(shareConfirmTimeout)
	for _, step := range []struct {
		done    <-chan struct{}
		counter string
	}{{confirmed, "spread_timeouts"}, {saved, "save_timeouts"}} {
		select {
		case <-step.done:
		case <-ctx.Done():
			return
		case <-timeout:
			h.count(step.counter)
			return
		}
	}
}

// callTimeoutFor returns the timeout of a call with content of the given size.
func callTimeoutFor(contentBytes int) time.Duration {
	return callTimeout + time.Duration(contentBytes)*time.Second/contentBytesPerSecond
}

// ReplaceConfig stores a configuration. The error is a *routing.InvalidError if the configuration is
// invalid, and ensemble.ErrNoMajority if the outcome is unknown.
func (h *Host) ReplaceConfig(ctx context.Context, content []byte) error {
	begin := time.Now()
	defer h.observe("replace_config", begin)
	table, err := h.cfg.Decode(content)
	if err != nil {
		h.logConfig("refused", 0, begin, err)
		return err
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, callTimeoutFor(len(content)))
	defer cancel()
	if err := h.group.Submit(timeoutCtx, ensemble.Document{Version: table.Version, Content: content}); err != nil {
		h.logConfig("no_majority", table.Version, begin, err)
		return err
	}
	h.logConfig("acknowledged", table.Version, begin, nil)
	return nil
}

// observe records the duration of a call.
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
	h.logCall(events.ConfigSubmissionAnswered, fields)
}

// ReadConfig returns the content of the configuration in force, confirmed by a majority.
func (h *Host) ReadConfig(ctx context.Context) ([]byte, error) {
	defer h.observe("read_config", time.Now())
	timeoutCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	d, err := h.group.Read(timeoutCtx)
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
	h.logCall(events.ConfigReadAnswered, fields)
	return d.Content, err
}

// Table returns the latest routing table in force that this host has received.
func (h *Host) Table() *routing.Table { return h.table.Load() }

func (h *Host) count(name string, labels ...string) { h.cfg.Metrics.Counter(name, labels...).Inc() }
