package daemon

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"rosemarygate/pkg/frame"
	"rosemarygate/pkg/relay"
	"rosemarygate/pkg/telemetry"
	"rosemarygate/pkg/token"
)

// packetCounters counts, by reason, packets that are dropped before they reach an owner core, and the
// packets that are forwarded to other daemons.
type packetCounters struct {
	wrongService  *metrics.Counter
	overload      *metrics.Counter
	tooManyHops   *metrics.Counter
	noRoute       *metrics.Counter
	missingToken  *metrics.Counter
	forgedPeer    *metrics.Counter
	malformedPeer *metrics.Counter
	peerQueueFull *metrics.Counter
	badAddress    *metrics.Counter
	relayed       *metrics.Counter
	framesByKind  map[frame.ErrorKind]*metrics.Counter
	tokensByKind  map[token.ErrorKind]*metrics.Counter
}

func newPacketCounters(set *telemetry.Set) *packetCounters {
	dropped := func(reason string) *metrics.Counter {
		return set.Counter("packets_dropped", "reason", reason)
	}
	return &packetCounters{
		wrongService:  dropped("wrong_service"),
		overload:      dropped("overload"),
		tooManyHops:   dropped("hops"),
		noRoute:       dropped("no_route"),
		missingToken:  dropped("missing_token"),
		forgedPeer:    dropped("forged_peer"),
		malformedPeer: dropped("malformed_peer"),
		peerQueueFull: dropped("peer_queue_full"),
		badAddress:    dropped("bad_address"),
		relayed:       set.Counter("packets_relayed"),
		framesByKind: map[frame.ErrorKind]*metrics.Counter{
			frame.Oversize:  dropped("oversize"),
			frame.Malformed: dropped("malformed"),
			frame.Undersize: dropped("undersize"),
			frame.BadPart:   dropped("bad_part"),
		},
		tokensByKind: map[token.ErrorKind]*metrics.Counter{
			token.Malformed:  dropped("token_malformed"),
			token.UnknownKey: dropped("token_unknown_key"),
			token.Forged:     dropped("token_forged"),
		},
	}
}

func (c *packetCounters) countFrameError(err error) {
	var e *frame.Error
	if errors.As(err, &e) {
		c.framesByKind[e.Kind].Inc()
	}
}

func (c *packetCounters) countTokenError(err error) {
	var e *token.Error
	if errors.As(err, &e) {
		c.tokensByKind[e.Kind].Inc()
	}
}

// countMembershipError counts a membership message that was dropped; a nil error counts nothing.
func (c *packetCounters) countMembershipError(err error) {
	switch {
	case errors.Is(err, relay.ErrMalformed):
		c.malformedPeer.Inc()
	case err != nil:
		c.peerQueueFull.Inc()
	}
}
