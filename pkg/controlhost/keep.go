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
	// keepPeriod is how often changed registrations are written to the disk.
	keepPeriod = time.Second
	keptFile   = "registrations.bin"
)

// keep writes the registrations to the disk when they have changed. After the loss of all control
// hosts at once, entry daemons then know the upstreams of open flows before these announce
// themselves again.
func (h *Host) keep(ctx context.Context) error {
	var kept uint64
	return supervise.Every(ctx, keepPeriod, func() {
		h.mu.Lock()
		revision := h.directory.Revision()
		var all []directory.Registration
		if revision != kept {
			all = h.directory.Changes(0)
		}
		h.mu.Unlock()
		if revision == kept {
			return
		}
		if err := h.writeKept(all); err != nil {
			events.RegistrationsNotKept.Log(h.log, logrus.Fields{"error": err})
			return
		}
		kept = revision
	})
}

func (h *Host) keptPath() string { return filepath.Join(h.cfg.Dir, keptFile) }

func (h *Host) writeKept(all []directory.Registration) error {
	b := &entrypb.Batch{}
	now := h.clock()
	for i := range all {
		b.Registrations = append(b.Registrations, all[i].Proto(now))
	}
	data, err := proto.Marshal(b)
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.Wrap(storage.WriteAtomic(h.cfg.FS, h.keptPath(), data), "write registrations")
}

// restore reads the registrations of the process before. Each counts as heard now: were the restored
// upstreams silent, the first one that announces itself would get all new flows.
func (h *Host) restore() {
	data, err := h.cfg.FS.ReadFile(h.keptPath())
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	var b entrypb.Batch
	if err == nil {
		err = proto.Unmarshal(data, &b)
	}
	if err != nil {
		events.RegistrationsNotRestored.Log(h.log, logrus.Fields{"error": err})
		return
	}
	now := h.clock()
	for _, p := range b.GetRegistrations() {
		r := directory.FromProto(p, now)
		r.Silent, r.Heard = false, now
		h.directory.Announce(r)
	}
	events.RegistrationsRestored.Log(h.log, logrus.Fields{"registrations": len(b.GetRegistrations())})
}
