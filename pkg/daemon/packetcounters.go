package daemon

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"rosemarygate/pkg/frame"
	"rosemarygate/pkg/relay"
	"rosemarygate/pkg/telemetry"
	"rosemarygate/pkg/token"
)

// packetCounters counts packets that were dropped before an owner core saw them, by reason.
type packetCounters struct {
	wrongService  *metrics.Counter
	overload      *metrics.Counter
	hops          *metrics.Counter
	noRoute       *metrics.Counter
	missingToken  *metrics.Counter
	forgedPeer    *metrics.Counter
	malformedPeer *metrics.Counter
	peerQueueFull *metrics.Counter
	badAddress    *metrics.Counter
	relayed       *metrics.Counter
	frames        map[frame.Kind]*metrics.Counter
	tokens        map[token.Kind]*metrics.Counter
}

func newPacketCounters(set *telemetry.Set) *packetCounters {
	dropped := func(reason string) *metrics.Counter {
		return set.Counter("packets_dropped", "reason", reason)
	}
	return &packetCounters{
		wrongService:  dropped("wrong_service"),
		overload:      dropped("overload"),
		hops:          dropped("hops"),
		noRoute:       dropped("no_route"),
		missingToken:  dropped("missing_token"),
		forgedPeer:    dropped("forged_peer"),
		malformedPeer: dropped("malformed_peer"),
		peerQueueFull: dropped("peer_queue_full"),
		badAddress:    dropped("bad_address"),
		relayed:       set.Counter("packets_relayed"),
		frames: map[frame.Kind]*metrics.Counter{
			frame.Oversize:  dropped("oversize"),
			frame.Malformed: dropped("malformed"),
			frame.Undersize: dropped("undersize"),
			frame.BadPart:   dropped("bad_part"),
		},
		tokens: map[token.Kind]*metrics.Counter{
			token.Malformed:  dropped("token_malformed"),
			token.UnknownKey: dropped("token_unknown_key"),
			token.Forged:     dropped("token_forged"),
		},
	}
}

func (c *packetCounters) frameRefused(err error) {
	var e *frame.Error
	if errors.As(err, &e) {
		c.frames[e.Kind].Inc()
	}
}

func (c *packetCounters) tokenRefused(err error) {
	var e *token.Error
	if errors.As(err, &e) {
		c.tokens[e.Kind].Inc()
	}
}

// membershipRefused counts a membership message that was not taken; nil counts nothing.
func (c *packetCounters) membershipRefused(err error) {
	switch {
	case errors.Is(err, relay.ErrMalformed):
		c.malformedPeer.Inc()
	case err != nil:
		c.peerQueueFull.Inc()
	}
}
