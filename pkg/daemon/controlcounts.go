package daemon

import (
	"strings"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/control/totals"
	"rosemarygate/pkg/owner"
	"rosemarygate/pkg/refusal"
)

// dailyKinds are the counters of the owner cores that enter the daily totals. A flow counts as
// carried when its caller confirmed it, so that one adopted by another owner counts once.
var dailyKinds = map[owner.Counter]controlpb.Counter_Kind{
	owner.FlowsConfirmed: controlpb.Counter_KIND_FLOWS_CARRIED,
	owner.FlowsBroken:    controlpb.Counter_KIND_FLOWS_BROKEN,
	owner.RequestsNotRun: controlpb.Counter_KIND_REQUESTS_REFUSED,
}

// count adds a count of an owner core to the daily totals.
func (c *control) count(n owner.Count, service string) {
	kind, daily := dailyKinds[n.Counter]
	user, name, named := strings.Cut(service, "/")
	if c == nil || !daily || !named {
		return
	}
	key := totals.Key{User: user, Service: name, Kind: kind}
	if n.Reason != 0 {
		key.Reason = refusal.Name(n.Reason)
	}
	c.subscription.Count(key, 1)
}
