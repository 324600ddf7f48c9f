package controlhost

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/control/directory"
	"rosemarygate/pkg/events"
	"rosemarygate/pkg/storage"
	"rosemarygate/pkg/supervise"
)

const (
	// persistInterval is the time between two writes of changed registrations to the disk.
	persistInterval   = time.Second
	registrationsFile = "registrations.bin"
)

// persistRegistrations writes the registrations to the disk when they have changed. After all control
// hosts were lost at once, entry daemons then get the upstreams of open flows before these announce
// themselves again.
func (h *Host) persistRegistrations(ctx context.Context) error {
	var persisted uint64
	return supervise.Every(ctx, persistInterval, func() {
		h.mu.Lock()
		revision := h.directory.Revision()
		var registrations []directory.Registration
		if revision != persisted {
			registrations = h.directory.Changes(0)
		}
		h.mu.Unlock()
		if revision == persisted {
			return
		}
		if err := h.writeRegistrations(registrations); err != nil {
			events.RegistrationsNotSaved.Log(h.log, logrus.Fields{"error": err})
			return
		}
		persisted = revision
	})
}

func (h *Host) registrationsPath() string { return filepath.Join(h.cfg.DataDir, registrationsFile) }

func (h *Host) writeRegistrations(registrations []directory.Registration) error {
	batch := &entrypb.Batch{}
	now := h.clock()
	for i := range registrations {
		batch.Registrations = append(batch.Registrations, registrations[i].Proto(now))
	}
	data, err := proto.Marshal(batch)
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.Wrap(storage.WriteAtomic(h.cfg.FS, h.registrationsPath(), data), "write registrations")
}

// restoreRegistrations reads the registrations that the previous process has stored. Each counts as
// announced now: if the restored upstreams were silent, the first one to announce itself would get
// all new flows.
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
	now := h.clock()
	for _, p := range batch.GetRegistrations() {
		r := directory.FromProto(p, now)
		r.Silent, r.LastAnnounced = false, now
		h.directory.Announce(r)
	}
	events.RegistrationsRestored.Log(h.log, logrus.Fields{"registrations": len(batch.GetRegistrations())})
}
