package forward

import "time"

// maxRefusedFlows bounds the memory of refused flows; an entry takes about 200 bytes.
const maxRefusedFlows = 4096

// refusedFlows are the flows that this daemon has refused lately.
//
// The reset of a refused flow may be lost, most likely when the link is short. The caller then sends a copy of
// its SYN, and a daemon that had forgotten the refusal would have to place it.
type refusedFlows struct {
	byFlow map[Flow]refusedFlow
	order  []refusedFlow // in order of time; some have been refused again since
}

type refusedFlow struct {
	flow Flow
	copy uint32 // number of the copy of the SYN that was refused last
	at   time.Duration
}

// add records a refusal, unless an upstream may have got an earlier copy of the SYN.
func (r *refusedFlows) add(now time.Duration, p *Packet) {
	if p.Ack > 0 && !r.includesAllBefore(now, p) {
		return
	}
	entry := refusedFlow{p.Flow(), p.Ack, now}
	if r.byFlow == nil {
		r.byFlow = map[Flow]refusedFlow{}
	}
	r.byFlow[entry.flow] = entry
	r.order = append(r.order, entry)
	for len(r.order) > maxRefusedFlows || now-r.order[0].at >= synRetryWindow {
		if first := r.order[0]; r.byFlow[first.flow] == first {
			delete(r.byFlow, first.flow)
		}
		r.order = r.order[1:]
	}
}

// remove forgets the refusal of a flow, because an upstream gets a copy of its SYN.
func (r *refusedFlows) remove(f Flow) { delete(r.byFlow, f) }

// includesAllBefore reports whether this daemon has refused all earlier copies of a SYN, so that no upstream
// has got one.
func (r *refusedFlows) includesAllBefore(now time.Duration, p *Packet) bool {
	entry, ok := r.byFlow[p.Flow()]
	return ok && now-entry.at < synRetryWindow && p.Ack <= entry.copy+1
}
