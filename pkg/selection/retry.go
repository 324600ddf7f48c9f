package selection

import (
	"math"
	"time"

	"rosemarygate/pkg/ident"
)

// chooseRetry compares random upstreams of the local data centre and of the whole service by
// their queues. The number of flows does not show where the request can run: an upstream that
// refuses for lack of capacity usually has about as many flows as the others. With only
// local upstreams, a data centre with as few upstreams as a request has attempts would lose
// requests while others have free slots.
func (p *pool) chooseRetry(now time.Time, tried []ident.UpstreamID) *upstream {
	var best *upstream
	bestScore := math.Inf(1)
	consider := func(u *upstream) {
		if u == best || !p.usable(u, now, tried) {
			return
		}
		if score := p.retryScore(u); score < bestScore {
			best, bestScore = u, score
		}
	}
	for range choicesPerPick {
		if n := len(p.local.members); n > 0 {
			consider(&p.upstreams[p.local.sample(p.table.rng)])
		}
		if u := &p.upstreams[p.table.rng.IntN(len(p.upstreams))]; p.acceptsFlows(u, now) {
			consider(u)
		}
	}
	if best != nil {
		return best
	}
	return p.choose(now, tried)
}

// retryScore ranks upstreams for a retry: reported requests per slot, multiplied by the same
// penalty as the score of a new flow. Smaller is better. An upstream in another data centre has
// to be better by minSpillBenefit, and by more if the latency there is known to be higher.
func (p *pool) retryScore(u *upstream) float64 {
	score := (1 + u.reportedRequests/float64(max(1, u.Slots))) * u.health.penalty(p.medianLatency)
	if !u.remote {
		return score
	}
	score *= minSpillBenefit
	if g := p.groupOf(u); g != nil && p.local.comparableLatency() > 0 {
		score *= math.Max(1, g.comparableLatency()/p.local.comparableLatency())
	}
	return score
}

// acceptsFlows reports whether an upstream belongs in a group from which upstreams are chosen.
func (p *pool) acceptsFlows(u *upstream, now time.Time) bool {
	return !u.Draining && u.health.state != ejected && u.consideredHealthy(now)
}
