package daemon

import (
	"strings"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/control/totals"
	"rosemarygate/pkg/owner"
	"rosemarygate/pkg/refusal"
)

// dailyKinds maps the counters of the owner cores that enter the daily totals to their kind. A flow
// counts as carried when its caller has confirmed it, so a flow that another owner adopts counts
// once.
var dailyKinds = map[owner.Counter]controlpb.Counter_Kind{
	owner.FlowsConfirmed: controlpb.Counter_KIND_FLOWS_CARRIED,
	owner.FlowsBroken:    controlpb.Counter_KIND_FLOWS_BROKEN,
	owner.RequestsNotRun: controlpb.Counter_KIND_REQUESTS_REFUSED,
}

// countDaily adds a count of an owner core to the daily totals of its service.
func (c *control) countDaily(n owner.Count, service string) {
	kind, isDaily := dailyKinds[n.Counter]
	user, name, isNamed := strings.Cut(service, "/")
	if c == nil || !isDaily || !isNamed {
		return
	}
	key := totals.Key{User: user, Service: name, Kind: kind}
	if n.Reason != 0 {
		key.Reason = refusal.Name(n.Reason)
	}
	c.subscription.Count(key, 1)
}
