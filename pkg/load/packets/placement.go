package packets

import (
	"math/rand/v2"
	"net/netip"
	"strconv"
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
		Incarnation: directory.Incarnation{Key: key, StartUnixMs: 1}, Name: key.String(), Service: service, DataCentre: d.dataCentre(n),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 8080), Slots: d.Slots, State: directory.Ready,
	}
}

// dataCentre returns the data centre of the n-th daemon or upstream.
func (d *Deployment) dataCentre(n int) string {
	return "data-centre-" + strconv.Itoa(n%max(d.DataCentres, 1))
}

func (r *run) newBalancer(placement Placement, n int, rng *rand.Rand) balancer {
	d := r.deployment
	switch placement {
	case Random, FewestFlows, Informed:
		b := &plainBalancer{rng: rng, openFlows: make([]int, d.Upstreams)}
		switch placement {
		case FewestFlows:
			b.load = func(n int) int { return b.openFlows[n] }
		case Informed:
			b.load = func(n int) int { return r.upstreams[n].busySlots + len(r.upstreams[n].queue) }
		}
		for n := range d.Upstreams {
			b.upstreams = append(b.upstreams, &forward.Upstream{Registration: registration(d, n)})
		}
		return b
	}
	admission := map[Placement]forward.Admission{OursByRejections: forward.AdmitByRejections, OursByAllRejections: forward.AdmitByAllRejections, OursWithoutRefusal: forward.AdmitAll}[placement]
	measure := map[Placement]forward.Placement{OursByRequests: forward.ByRequests}[placement]
	cfg := forward.Config{DataCentre: d.dataCentre(n), Admission: admission, Placement: measure}
	if placement != OursWithoutLink {
		cfg.LinkBytesPerSecond = d.LinkBytesPerSecond
	}
	core := forward.New(cfg, rng)
	core.SetTable(routingTable(d))
	for n := range d.Upstreams {
		core.SetUpstream(registration(d, n))
	}
	core.SetPrepared()
	return core
}

// plainBalancer places each flow on a random upstream, or on one with the lowest load.
type plainBalancer struct {
	rng       *rand.Rand
	load      func(n int) int // nil places at random
	upstreams []*forward.Upstream
	openFlows []int // that this daemon has placed
}

// HandlePacket implements balancer.
func (b *plainBalancer) HandlePacket(_ time.Duration, p *forward.Packet) forward.Action {
	switch {
	case p.Flags&forward.FIN != 0:
		b.openFlows[p.Cookie-1]--
	case p.Flags&forward.SYN != 0:
		n := b.rng.IntN(len(b.upstreams))
		if b.load != nil {
			ties := 0
			for i := range b.upstreams {
				switch load, lowest := b.load(i), b.load(n); {
				case load < lowest:
					n, ties = i, 1
				case load == lowest:
					if ties++; b.rng.IntN(ties) == 0 {
						n = i
					}
				}
			}
		}
		b.openFlows[n]++
		return forward.Action{Verdict: forward.Forward, Upstream: b.upstreams[n], Cookie: directory.Cookie(n + 1)}
	}
	return forward.Action{Verdict: forward.Forward}
}
