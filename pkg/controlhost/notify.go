package controlhost

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/events"
)

// Control hosts and entry daemons that do not find each other.
//
// A daemon without state knows only the seeds. After a loss of power they may start last, and a daemon
// notices a host that starts only with its next attempt to connect. After planned replacements they may be gone
// for good. So each control host stores the addresses of the daemons of all hosts, and tells these daemons when it
// has started. A daemon whose watch has ended is told for a while that the host is there: it may start again with
// seeds that are gone. Load pattern: all daemons once for each start of a host, and a datagram a second for each
// daemon that has left a host.

const (
	// maxNotifyAddresses bounds the stored addresses. Hosts of larger deployments notify a part of the daemons.
	maxNotifyAddresses = 1024
	// notifyInterval is the time between two notifications, so that the host serves each daemon before
	// the next one connects.
	notifyInterval = 5 * time.Millisecond
	// remindFor is how long a daemon that has left is reminded, and remindInterval the time between two reminders.
	// A process starts again within seconds, and needs seconds for its first table.
	remindFor      = 30 * time.Second
	remindInterval = time.Second
)

// watchingDaemons are the addresses of the daemons that watch this host, or have done so lately.
type watchingDaemons struct {
	mu      sync.Mutex
	watches map[netip.AddrPort]int // by address
	leftAt  map[netip.AddrPort]time.Duration
}

// add records a watch, and returns a function that records its end at a time.
func (w *watchingDaemons) add(text string) (end func(now time.Duration)) {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return func(time.Duration) {}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.watches == nil {
		w.watches, w.leftAt = map[netip.AddrPort]int{}, map[netip.AddrPort]time.Duration{}
	}
	w.watches[a]++
	delete(w.leftAt, a)
	return func(now time.Duration) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.watches[a]--; w.watches[a] > 0 {
			return
		}
		delete(w.watches, a)
		if len(w.leftAt) < maxNotifyAddresses {
			w.leftAt[a] = now
		}
	}
}

// toRemind returns the daemons that have left lately.
func (w *watchingDaemons) toRemind(now time.Duration) []netip.AddrPort {
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.DeleteFunc(w.leftAt, func(_ netip.AddrPort, at time.Duration) bool { return now-at > remindFor })
	return slices.Collect(maps.Keys(w.leftAt))
}

// notifyAddresses are the addresses of entry daemons to which HostStarted is sent.
type notifyAddresses struct {
	mu       sync.Mutex
	known    map[netip.AddrPort]bool
	order    []netip.AddrPort // oldest first
	revision uint64
}

// add adds an address and reports whether it was unknown. The oldest one makes room for it.
func (n *notifyAddresses) add(a netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !a.IsValid() || n.known[a] {
		return false
	}
	if n.known == nil {
		n.known = map[netip.AddrPort]bool{}
	}
	if len(n.order) >= maxNotifyAddresses {
		delete(n.known, n.order[0])
		n.order = n.order[1:]
	}
	n.known[a] = true
	n.order = append(n.order, a)
	n.revision++
	return true
}

func (n *notifyAddresses) currentRevision() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.revision
}

// texts returns all addresses as text.
func (n *notifyAddresses) texts() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for _, a := range n.order {
		out = append(out, a.String())
	}
	return out
}

// learnNotifyAddresses adds addresses from a daemon, another host or the disk, and returns the new ones.
func (h *Host) learnNotifyAddresses(texts []string) []string {
	var added []string
	for _, text := range texts {
		if text == "" {
			continue
		}
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			events.NotifyAddressRefused.Log(h.log, logrus.Fields{"error": err})
			continue
		}
		if h.notifyAddresses.add(a) {
			added = append(added, text)
		}
	}
	if len(added) > 0 {
		h.saver.request()
	}
	return added
}

// notifyDaemons tells the known daemons once that this host has started and has a configuration, and reminds those
// that leave, until ctx ends. The daemons are those of the previous process, or without one those that the peers
// know.
func (h *Host) notifyDaemons(ctx context.Context, daemonsBefore []string) error {
	defer func() { <-ctx.Done() }() // the end of a part would stop the host
	if !h.awaitConfig(ctx) {
		return nil
	}
	datagram, err := proto.Marshal(&entrypb.HostStarted{Host: h.cfg.PeerAddress.String()})
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(h.cfg.PeerAddress.Addr(), 0)))
	if err != nil {
		events.NotificationFailed.Log(h.log, logrus.Fields{"error": err})
		return nil
	}
	defer conn.Close()
	send := func(address netip.AddrPort) {
		if _, err := conn.WriteToUDPAddrPort(datagram, address); err != nil {
			h.count("notifications", "outcome", "failed")
		} else {
			h.count("notifications", "outcome", "sent")
		}
	}
	if len(daemonsBefore) == 0 {
		// The peers share the addresses when their streams to this host start.
		if !sleep(ctx, learnDelay) {
			return nil
		}
		daemonsBefore = h.notifyAddresses.texts()
	}
	for _, text := range daemonsBefore {
		send(netip.MustParseAddrPort(text))
		if !sleep(ctx, notifyInterval) {
			return nil
		}
	}
	events.DaemonsNotified.Log(h.log, logrus.Fields{"daemons": len(daemonsBefore)})
	for sleep(ctx, remindInterval) {
		for _, a := range h.watchingDaemons.toRemind(h.clock()) {
			send(a)
		}
	}
	return nil
}

// learnDelay is the time for which a host without stored addresses waits for those of its peers.
const learnDelay = time.Second

// sleep waits, and reports false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// awaitConfig waits until the host has a configuration and reports whether it has.
func (h *Host) awaitConfig(ctx context.Context) bool {
	for h.table.Load().Version == 0 {
		h.mu.Lock()
		changed := h.changed
		h.mu.Unlock()
		if h.table.Load().Version > 0 {
			break
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
	return true
}
