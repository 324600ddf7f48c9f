package forward

import (
	"time"

	"rosemarygate/pkg/control/directory"
)

// maxOpenedFlows bounds the memory of opened flows; an entry takes about 200 bytes.
const maxOpenedFlows = 4096

// openedFlows are the flows of which this daemon has lately seen an acknowledgement and nothing else.
//
// The first packet after a handshake may come through another daemon than its SYN, and a second upstream may answer a
// copy of the SYN later. That answer changes the cookie of the flow. Load pattern: an entry for each flow
// whose handshake a change of the rotation has divided, and for the last acknowledgement of closed flows.
type openedFlows struct {
	byFlow map[Flow]openedFlow
	order  []openedFlow // in order of time; some have been seen again since
}

type openedFlow struct {
	flow     Flow
	upstream *Upstream
	ack      uint32
	at       time.Duration
}

func (o *openedFlows) add(now time.Duration, p *Packet, u *Upstream) {
	entry := openedFlow{p.Flow(), u, p.Ack, now}
	if o.byFlow == nil {
		o.byFlow = map[Flow]openedFlow{}
	}
	o.byFlow[entry.flow] = entry
	o.order = append(o.order, entry)
	for len(o.order) > maxOpenedFlows || now-o.order[0].at >= synRetryWindow {
		if first := o.order[0]; o.byFlow[first.flow] == first {
			delete(o.byFlow, first.flow)
		}
		o.order = o.order[1:]
	}
}

// upstreamOf returns the upstream at which a packet's flow is open, nil if it is unknown or has ended.
func (o *openedFlows) upstreamOf(now time.Duration, p *Packet) *Upstream {
	entry, ok := o.byFlow[p.Flow()]
	if !ok || now-entry.at >= synRetryWindow || entry.upstream.State == directory.Gone || !continuesFrom(entry.ack, p) {
		return nil
	}
	return entry.upstream
}
