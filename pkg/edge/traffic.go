package edge

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"rosemarygate/pkg/events"
	"rosemarygate/pkg/forward"
	"rosemarygate/pkg/telemetry"
)

// datagramOverhead is what a datagram takes on the link beside its payload, in bytes: the headers of UDP (8) and
// IPv4 (20), and the header, checksum, preamble and gap of an Ethernet frame (38). With 28 bytes the estimated
// queue of a loaded link was a third of the measured one; most packets are as small as their overhead.
const datagramOverhead = 66

// Kinds of packets in the counters of bytes.
const (
	synKind = iota
	synCopyKind
	payloadKind
	ackKind
	finKind
	rstKind
	kindCount
)

var kindNames = [kindCount]string{"syn", "syn_copy", "payload", "ack", "fin", "rst"}

// trafficCounters count the bytes on the link, with the overhead of the datagrams.
type trafficCounters struct{ received, sent [kindCount]*metrics.Counter }

func newTrafficCounters(m *telemetry.Set) trafficCounters {
	var t trafficCounters
	for kind, name := range kindNames {
		t.received[kind] = m.Counter("packet_bytes", "direction", "received", "kind", name)
		t.sent[kind] = m.Counter("packet_bytes", "direction", "sent", "kind", name)
	}
	return t
}

func kindOf(p *forward.Packet) int {
	switch {
	case p.Flags&forward.SYN != 0 && p.Ack > 0:
		return synCopyKind
	case p.Flags&forward.SYN != 0:
		return synKind
	case p.Flags&forward.RST != 0:
		return rstKind
	case p.Flags&forward.FIN != 0:
		return finKind
	case p.Length == 0:
		return ackKind
	}
	return payloadKind
}

// recordTraffic counts the bytes of a packet and of the datagram that was sent because of it; 0 stands for no
// packet and no datagram. The caller holds the lock.
func (d *Daemon) recordTraffic(now time.Duration, p *forward.Packet, a forward.Action, received, sent int) {
	kind := kindOf(p)
	if received > 0 {
		received += datagramOverhead
		d.trafficCounters.received[kind].Add(received)
	}
	if sent > 0 {
		sent += datagramOverhead
		if a.Verdict == forward.Reset {
			kind = rstKind
		}
		d.trafficCounters.sent[kind].Add(sent)
	}
	d.core.RecordTraffic(now, p, a, received, sent)
}

// logLinkChanges logs when the daemon begins and ceases to refuse flows for lack of room on its link.
func (d *Daemon) logLinkChanges(changes []forward.LinkChange) {
	for _, change := range changes {
		event := events.LinkRelieved
		if change.Refusing {
			event = events.LinkOverloaded
		}
		event.Log(d.log, logrus.Fields{"link_backlog_ms": change.Backlog.Milliseconds(), "link_bits_per_second": d.cfg.LinkBitsPerSecond})
	}
}
