package controlhost

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/control/directory"
	"rosemarygate/pkg/events"
	"rosemarygate/pkg/storage"
)

const (
	// minSaveInterval is the shortest time between two writes of changed registrations, so that the
	// changes of many upstreams are written together.
	minSaveInterval = 100 * time.Millisecond
	// saveRetryInterval is the time after which a failed write is repeated.
	saveRetryInterval = time.Second
	registrationsFile = "registrations.bin"
)

// registrationSaver writes the registrations to the disk when they have changed. After all control hosts
// were lost at once, entry daemons then get the upstreams of open flows before these announce themselves
// again, and upstreams that had left stay away.
type registrationSaver struct {
	mu      sync.Mutex
	saved   uint64        // revision of the directory that is on the disk
	wake    chan struct{} // receives a value when the directory has changed
	waiters map[uint64][]chan struct{}
}

func newRegistrationSaver() *registrationSaver {
	return &registrationSaver{wake: make(chan struct{}, 1), waiters: map[uint64][]chan struct{}{}}
}

// request starts a write.
func (s *registrationSaver) request() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// savedFrom returns a channel that is closed once a revision is on the disk.
func (s *registrationSaver) savedFrom(revision uint64) <-chan struct{} {
	done := make(chan struct{})
	s.mu.Lock()
	if s.saved >= revision {
		close(done)
	} else {
		s.waiters[revision] = append(s.waiters[revision], done)
	}
	s.mu.Unlock()
	s.request()
	return done
}

func (s *registrationSaver) setSaved(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved = revision
	for waitedFor, waiters := range s.waiters {
		if waitedFor > revision {
			continue
		}
		for _, done := range waiters {
			close(done)
		}
		delete(s.waiters, waitedFor)
	}
}

// saveRegistrations writes the registrations whenever they have changed.
func (h *Host) saveRegistrations(ctx context.Context) error {
	var saved, savedAddresses uint64
	for {
		addresses := h.notifyAddresses.currentRevision()
		h.mu.Lock()
		revision := h.directory.Revision()
		changed := revision != saved || addresses != savedAddresses
		var registrations []directory.Registration
		if changed {
			registrations = h.directory.Changes(0)
		}
		h.mu.Unlock()
		pause := minSaveInterval
		if changed {
			if err := h.writeRegistrations(registrations); err != nil {
				events.RegistrationsNotSaved.Log(h.log, logrus.Fields{"error": err})
				h.count("registration_save_failures")
				pause = saveRetryInterval
				h.saver.request()
			} else {
				saved, savedAddresses = revision, addresses
				h.saver.setSaved(revision)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
		select {
		case <-ctx.Done():
			return nil
		case <-h.saver.wake:
		}
	}
}

func (h *Host) registrationsPath() string { return filepath.Join(h.cfg.DataDir, registrationsFile) }

func (h *Host) writeRegistrations(registrations []directory.Registration) error {
	batch := &entrypb.Batch{NotifyAddresses: h.notifyAddresses.texts(), Registrations: h.encodeRegistrations(registrations, h.clock())}
	data, err := proto.Marshal(batch)
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.Wrap(storage.WriteAtomic(h.cfg.FS, h.registrationsPath(), data), "write registrations")
}

// maxSilentShare is the share of silent upstreams of a service above which the previous process itself
// counts as having been cut off. It then does not know which upstreams live.
const maxSilentShare = 0.5

// restoreRegistrations reads the registrations that the previous process has stored. An upstream that was
// silent stays so until it announces itself, and all others count as announced now: the time for which
// this host was down is no silence of theirs.
func (h *Host) restoreRegistrations() {
	data, err := h.cfg.FS.ReadFile(h.registrationsPath())
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	var batch entrypb.Batch
	if err == nil {
		err = proto.Unmarshal(data, &batch)
	}
	if err != nil {
		events.RegistrationsNotRestored.Log(h.log, logrus.Fields{"error": err})
		return
	}
	h.learnNotifyAddresses(batch.GetNotifyAddresses())
	now := h.clock()
	total, silent := map[string]int{}, map[string]int{} // by service
	for _, p := range batch.GetRegistrations() {
		if p.GetState() != entrypb.State_STATE_GONE {
			total[p.GetService()]++
			if p.GetSilent() {
				silent[p.GetService()]++
			}
		}
	}
	restored, restoredSilent := 0, 0
	for _, p := range batch.GetRegistrations() {
		r, err := directory.FromProto(p, now)
		if err != nil {
			h.RefuseAnnouncement(p.GetName(), err)
			continue
		}
		r.LastAnnounced = now
		r.Silent = r.Silent && float64(silent[r.Service]) <= maxSilentShare*float64(total[r.Service])
		h.directory.Announce(r)
		restored++
		if r.Silent {
			restoredSilent++
		}
	}
	events.RegistrationsRestored.Log(h.log, logrus.Fields{"registrations": restored, "silent": restoredSilent})
}
