package edge

import (
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/events"
)

const (
	// maxNotification is the buffer size for a notification; a valid one is shorter.
	maxNotification = 256
	// maxStartedHosts bounds the control hosts that have told that they have started.
	maxStartedHosts = 8
)

func (d *Daemon) notifyAddressText() string {
	if !d.cfg.NotifyAddress.IsValid() {
		return ""
	}
	return d.cfg.NotifyAddress.String()
}

// readNotifications handles datagrams of control hosts that have started, until the socket is closed.
func (w *watches) readNotifications(conn *net.UDPConn) error {
	buffer := make([]byte, maxNotification)
	for {
		n, sender, err := conn.ReadFromUDPAddrPort(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			events.SocketFailed.Log(w.daemon.log, logrus.Fields{"error": err})
			time.Sleep(readErrorPause)
			continue
		}
		var started entrypb.HostStarted
		if err := proto.Unmarshal(buffer[:n], &started); err != nil {
			w.daemon.malformed.Inc()
			continue
		}
		host, err := netip.ParseAddrPort(started.GetHost())
		// Anyone can send a datagram, so a sender can only name itself.
		if err != nil || host.Addr() != sender.Addr().Unmap() {
			w.daemon.malformed.Inc()
			continue
		}
		w.hostStarted(host)
	}
}

// hostStarted makes a stream that is not connected try a control host at once. While all streams are
// connected, nothing changes.
func (w *watches) hostStarted(host netip.AddrPort) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if slices.Contains(w.startedHosts, host) || slices.Contains(w.usedHosts[:], host) && w.anyConnectedTo(host) || len(w.startedHosts) >= maxStartedHosts {
		return
	}
	for stream, connected := range w.connected {
		if connected {
			continue
		}
		w.startedHosts = append(w.startedHosts, host)
		events.HostStartReceived.Log(w.daemon.log, logrus.Fields{"host": host})
		if w.cancelDial[stream] != nil {
			w.cancelDial[stream]()
		}
		return
	}
}

func (w *watches) anyConnectedTo(host netip.AddrPort) bool {
	for stream, used := range w.usedHosts {
		if used == host && w.connected[stream] {
			return true
		}
	}
	return false
}

// hasStartedHost reports whether a stream can try a control host that has just started.
func (w *watches) hasStartedHost(stream int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.startedHosts, func(a netip.AddrPort) bool { return !w.usedByOtherStream(stream, a) })
}
