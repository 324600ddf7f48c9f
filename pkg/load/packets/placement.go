package packets

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"rosemarygate/pkg/control/directory"
	"rosemarygate/pkg/forward"
	"rosemarygate/pkg/routing"
)

// balancer decides how one entry daemon handles packets.
type balancer interface {
	HandlePacket(now time.Duration, p *forward.Packet) forward.Action
}

const (
	service        = "service"
	dataCentre     = "data-centre"
	urgentPriority = 1
	usualPriority  = 2
)

var (
	usualRoute  = netip.MustParseAddrPort("198.18.0.1:443")
	urgentRoute = netip.MustParseAddrPort("198.18.0.1:80")
)

func routingTable(d Deployment) *routing.Table {
	split := []routing.Share{{Service: service, Weight: 1}}
	return &routing.Table{Version: 1, Services: []string{service}, Routes: []routing.Route{
		{Name: "usual", Address: usualRoute, Timeout: time.Second, Objective: d.Objective, Priority: usualPriority, Idempotent: true, Split: split},
		{Name: "urgent", Address: urgentRoute, Timeout: time.Second, Objective: d.Objective, Priority: urgentPriority, Split: split},
	}}
}

// registration returns the registration of the n-th upstream.
func registration(d Deployment, n int) directory.Registration {
	key := directory.Key(n + 1)
	return directory.Registration{
		Incarnation: directory.Incarnation{Key: key, StartUnixMs: 1}, Name: key.String(), Service: service, DataCentre: dataCentre,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 8080), Slots: d.Slots, State: directory.Ready,
	}
}

func newBalancer(d Deployment, placement Placement, rng *rand.Rand) balancer {
	switch placement {
	case Random, FewestFlows:
		b := &plainBalancer{rng: rng, fewestFlows: placement == FewestFlows, openFlows: make([]int, d.Upstreams)}
		for n := range d.Upstreams {
			b.upstreams = append(b.upstreams, &forward.Upstream{Registration: registration(d, n)})
		}
		return b
	}
	admission := map[Placement]forward.Admission{OursByRejections: forward.AdmitByRejections, OursWithoutRefusal: forward.AdmitAll}[placement]
	core := forward.New(forward.Config{DataCentre: dataCentre, Admission: admission}, rng)
	core.SetTable(routingTable(d))
	for n := range d.Upstreams {
		core.SetUpstream(registration(d, n))
	}
	core.SetPrepared()
	return core
}

// plainBalancer places each flow on a random upstream, or on the one with the fewest flows that it
// has placed and that are still open.
type plainBalancer struct {
	rng         *rand.Rand
	fewestFlows bool
	upstreams   []*forward.Upstream
	openFlows   []int
}

// HandlePacket implements balancer.
func (b *plainBalancer) HandlePacket(_ time.Duration, p *forward.Packet) forward.Action {
	switch {
	case p.Flags&forward.FIN != 0:
		b.openFlows[p.Cookie-1]--
	case p.Flags&forward.SYN != 0:
		n := b.rng.IntN(len(b.upstreams))
		for i := range b.upstreams {
			if b.fewestFlows && b.openFlows[i] < b.openFlows[n] {
				n = i
			}
		}
		b.openFlows[n]++
		return forward.Action{Verdict: forward.Forward, Upstream: b.upstreams[n], Cookie: directory.Cookie(n + 1)}
	}
	return forward.Action{Verdict: forward.Forward}
}
