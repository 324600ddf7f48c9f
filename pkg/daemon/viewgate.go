package daemon

import (
	"time"

	"rosemarygate/pkg/membership"
)

// minViewPeriod is the least time between two views that are put in force. The loss of a rack of 40
// hosts changes the view 80 times in 2 s, and putting a view of 18,000 daemons in force takes 12 to
// 23 ms.
const minViewPeriod = 100 * time.Millisecond

// viewGate limits how often a new view is put in force: the first one at once, and of those that
// follow within minViewPeriod only the newest.
type viewGate struct {
	pending *membership.View
	nextAt  time.Time
}

// offer passes a view to the gate and returns the view to put in force now, if any. An urgent view
// does not wait.
func (g *viewGate) offer(now time.Time, v *membership.View, urgent bool) *membership.View {
	if g.pending == nil || v.Version > g.pending.Version {
		g.pending = v
	}
	if urgent {
		g.nextAt = now
	}
	return g.due(now)
}

// due returns the pending view if it may be put in force now.
func (g *viewGate) due(now time.Time) *membership.View {
	v := g.pending
	if v == nil || now.Before(g.nextAt) {
		return nil
	}
	g.pending = nil
	g.nextAt = now.Add(minViewPeriod)
	return v
}
