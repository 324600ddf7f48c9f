package daemon

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/membership"
	"rosemarygate/pkg/ownership"
	"rosemarygate/pkg/registration"
)

// Guards against building a table for each of the 80 views of a lost rack, against a last view that is
// never put in force, and against a delay of a single change.
func TestViewsOfLostRackAreMerged(t *testing.T) {
	const hosts = 40
	self := membership.Member{ID: 1, Name: "self", DataCentre: "dc", Incarnation: 1}
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	c := newCluster(nil, log, nil, nil, self, nil, nil)
	c.assignment = newAssignment(self, nil)
	c.joined = true
	var inForce []*membership.View
	c.hooks.viewInForce = func(_ membership.Member, v *membership.View, _ *ownership.Table) { inForce = append(inForce, v) }
	c.hooks.registrationsChanged = func(time.Time, map[ident.ServiceID][]registration.Registration) {}

	v := &membership.View{Version: 1, Members: []membership.Member{{ID: 1, DataCentre: "dc", State: membership.Serving}}}
	for i := range hosts {
		v.Members = append(v.Members, membership.Member{ID: ident.DaemonID(i + 2), DataCentre: "dc", State: membership.Serving})
	}
	change := func(at time.Time, member int, s membership.State) {
		next := &membership.View{Version: v.Version + 1, Members: append([]membership.Member(nil), v.Members...)}
		next.Members[member].State = s
		v = next
		c.viewChanged(at, v)
	}
	now := time.Unix(1000, 0)
	c.viewChanged(now, v)
	now = now.Add(time.Second)
	change(now, 1, membership.Suspect)
	assert.Assert(t, inForce[len(inForce)-1] == v, "a single change is delayed")

	now, inForce = now.Add(time.Second), nil
	begin := now
	for i := range 2 * hosts {
		change(now, 1+i%hosts, []membership.State{membership.Suspect, membership.Dead}[i/hosts])
		assert.Assert(t, i > 0 || len(inForce) == 1, "the first change is delayed")
		now = now.Add(25 * time.Millisecond)
		c.tick(now)
	}
	t.Logf("built %d tables for %d views in %v", len(inForce), 2*hosts, now.Sub(begin))
	assert.Assert(t, len(inForce) <= 21)
	c.tick(now.Add(minViewPeriod))
	assert.Assert(t, inForce[len(inForce)-1] == v, "the last view is not in force")

	change(now.Add(minViewPeriod+time.Millisecond), 0, membership.Leaving)
	assert.Assert(t, inForce[len(inForce)-1] == v, "a change of the daemon's own state is delayed")
}
