package selection

import (
	"math"
	"time"

	"rosemarygate/pkg/ident"
)

// chooseRetry compares random upstreams of the local data centre and of the whole service
// by their queues. An upstream that refuses for lack of capacity usually has about as many
// flows as the others, so flows do not show where the request can run. A data centre with
// as few upstreams as a request has attempts would otherwise lose requests while others
// have free slots.
func (p *pool) chooseRetry(now time.Time, tried []ident.UpstreamID) *upstream {
	var won *upstream
	score := math.Inf(1)
	consider := func(u *upstream) {
		if u == won || !p.usable(u, now, tried) {
			return
		}
		if x := p.retryScore(u); x < score {
			won, score = u, x
		}
	}
	for range choices {
		if n := len(p.local.members); n > 0 {
			consider(&p.upstreams[p.local.sample(p.table.rng)])
		}
		if u := &p.upstreams[p.table.rng.IntN(len(p.upstreams))]; p.mayServe(u, now) {
			consider(u)
		}
	}
	if won != nil {
		return won
	}
	return p.choose(now, tried)
}

// retryScore orders upstreams for a retry: reported requests per slot, raised like the
// score of a new flow. Another data centre has to be better by spillBenefit, and more if
// its latency is known to be higher.
func (p *pool) retryScore(u *upstream) float64 {
	x := (1 + u.requests/float64(max(1, u.Slots))) * u.health.penalty(p.latency)
	if !u.remote {
		return x
	}
	x *= spillBenefit
	if g := p.groupOf(u); g != nil && p.local.knownLatency() > 0 {
		x *= math.Max(1, g.knownLatency()/p.local.knownLatency())
	}
	return x
}

// mayServe reports whether an upstream belongs to a group from which flows are placed.
func (p *pool) mayServe(u *upstream, now time.Time) bool {
	return !u.Draining && u.health.state != ejected && u.believedHealthy(now)
}
