package controlhost

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/events"
)

// Restart of control hosts and entry daemons at the same time.
//
// A daemon without state knows only the seeds. After a loss of power they may start last, and a daemon
// notices a host that starts only with its next attempt to connect. So each control host stores the
// addresses of the daemons of all hosts, and tells these daemons when it has started.

const (
	// maxNotifyAddresses bounds the stored addresses. Hosts of larger deployments notify a part of the daemons.
	maxNotifyAddresses = 1024
	// notifyInterval is the time between two notifications, so that the host serves each daemon before
	// the next one connects.
	notifyInterval = 5 * time.Millisecond
)

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

// notifyDaemons tells the known daemons once that this host has started and has a configuration. It runs
// until all are told or ctx ends.
func (h *Host) notifyDaemons(ctx context.Context, addresses []string) error {
	defer func() { <-ctx.Done() }() // the end of a part would stop the host
	if len(addresses) == 0 || !h.awaitConfig(ctx) {
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
	ticker := time.NewTicker(notifyInterval)
	defer ticker.Stop()
	for i, text := range addresses {
		// The daemons try the seeds anyway, so a lost datagram is not repeated.
		if _, err := conn.WriteToUDPAddrPort(datagram, netip.MustParseAddrPort(text)); err != nil {
			h.count("notifications", "outcome", "failed")
		} else {
			h.count("notifications", "outcome", "sent")
		}
		if i == len(addresses)-1 {
			break
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
	events.DaemonsNotified.Log(h.log, logrus.Fields{"daemons": len(addresses)})
	return nil
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
