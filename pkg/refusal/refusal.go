// Package refusal provides the names, meanings and remedies of the reasons for which requests and flows
// are refused.
package refusal

import (
	"slices"
	"strings"

	wirepb "rosemarygate/api/wire/v1"
)

// table has the texts of every reason in replies to callers, counters and log lines.
var table = map[wirepb.Reason]struct{ meaning, remedy string }{
	wirepb.Reason_REASON_QUEUE_FULL:        {"the upstream's queue of the request class is full", "send the request again later or on another flow; raise queue_limit or add upstreams"},
	wirepb.Reason_REASON_DEADLINE:          {"the deadline passed, or cannot be met", "allow a longer deadline or add upstreams"},
	wirepb.Reason_REASON_UPSTREAM_DRAINING: {"the upstream is draining and accepts no new work", "open a flow to another upstream; the client library's Caller does so"},
	wirepb.Reason_REASON_UPSTREAM_SHED:     {"the upstream declined the request before it began", "send the request again later; lower the declared slots if it repeats"},
	wirepb.Reason_REASON_UPSTREAM_GONE:     {"the upstream's process or lease has ended", "open a new flow; check the upstream if it should run"},
	wirepb.Reason_REASON_OWNER_GONE:        {"the daemon that held the request's record has crashed", "ask the service whether the request took effect before sending it as a new one"},
	wirepb.Reason_REASON_CANCELLED:         {"the caller cancelled", "none"},
	wirepb.Reason_REASON_UNKNOWN_CLASS:     {"the service has no such request class and no default class", "use a class of the service's configuration, or set default_class"},
	wirepb.Reason_REASON_NO_UPSTREAM:       {"no upstream of the service can be reached", "check that upstreams announce themselves, and that their data centre can be reached"},
	wirepb.Reason_REASON_FLOWS_FULL:        {"the upstreams have reached their flow limits", "raise flow_limit or add upstreams"},
	wirepb.Reason_REASON_WRONG_SERVICE:     {"the token belongs to another service", "send a flow's packets to the address that it was opened at"},
	wirepb.Reason_REASON_BAD_TOKEN:         {"the token is malformed, forged or signed with a retired key", "open a new flow"},
	wirepb.Reason_REASON_LIMIT:             {"a limit of the flow or of the daemon's memory is reached", "wait until earlier requests of the flow have ended, or send less at once"},
	wirepb.Reason_REASON_RETRY_BUDGET:      {"the service's retry budget is used up", "wait until the service answers again; add upstreams"},
	wirepb.Reason_REASON_RECORD_EXPIRED:    {"the record of the request was discarded; the request may have run", "ask the service whether the request took effect before sending it as a new one"},
	wirepb.Reason_REASON_OVERLOAD:          {"the daemon is overloaded", "send less; add entry hosts"},
	wirepb.Reason_REASON_RETRY_ELSEWHERE:   {"another upstream may take the request", "send the request again on a new flow"},
}

// Name returns the name of a reason in counters and log lines.
func Name(r wirepb.Reason) string {
	return strings.ToLower(strings.TrimPrefix(r.String(), "REASON_"))
}

// Meaning returns a description of a reason.
func Meaning(r wirepb.Reason) string { return table[r].meaning }

// Remedy returns what a caller or an operator can do about a reason.
func Remedy(r wirepb.Reason) string { return table[r].remedy }

// All returns every reason in the order of its number in the protocol.
func All() []wirepb.Reason {
	out := make([]wirepb.Reason, 0, len(table))
	for r := range table {
		out = append(out, r)
	}
	slices.Sort(out)
	return out
}
