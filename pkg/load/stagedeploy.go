package load

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"rosemarygate/pkg/load/model"
)

// staged is a deployment of the model on a live fleet: one service with the model's classes,
// shares and loads.
type staged struct {
	deployment
	specs []model.ClassSpec
}

// capacity returns the slots of n upstreams.
func (d *staged) capacity(upstreams int) float64 { return float64(upstreams * d.slots) }

const stagedPort = 4301

// size is what a live experiment changes of a model's deployment.
type size struct {
	upstreams int
	flowLimit int
	// slower multiplies the model's service times, so that one machine carries the requests
	// of a flood.
	slower float64
	hosts  []string
}

// leastUrgentSizes and mostUrgentSizes keep 10 times the capacity at 400 to 6,300 requests per
// second, and service times well above the milliseconds in which a busy machine schedules a
// process. Latency has 2 s to recover after a flood, whatever the service times are.
var (
	leastUrgentSizes = map[string]size{
		karri.name: {upstreams: 5, flowLimit: 2000, slower: 4, hosts: karri.hosts},
		guild.name: {upstreams: 5, flowLimit: 2000, slower: 4, hosts: guild.hosts},
	}
	mostUrgentSizes = map[string]size{
		karri.name: {upstreams: 5, flowLimit: 2000, slower: 8, hosts: karri.hosts},
		guild.name: {upstreams: 5, flowLimit: 2000, slower: 4, hosts: guild.hosts},
	}
)

// balanceSizes have one data centre, as the model's scenario.
var balanceSizes = map[string]size{
	karri.name: {upstreams: 15, flowLimit: 2000, slower: 1.5, hosts: slices.Repeat([]string{"perth-a"}, 7)},
	guild.name: {upstreams: 15, flowLimit: 2000, slower: 1.5, hosts: slices.Repeat([]string{"ahmedabad"}, 7)},
}

// newStaged returns the live form of a model's deployment.
func newStaged(name string, sizes map[string]size) (staged, error) {
	if name == "" {
		name = karri.name
	}
	found, err := modelDeployments(name)
	if err != nil {
		return staged{}, err
	}
	m, z := found[0], sizes[name]
	d := staged{specs: slowed(m.Classes, z.slower)}
	d.deployment = deployment{name: name, hosts: z.hosts, slots: m.Slots}
	for _, h := range z.hosts {
		if len(d.centres) == 0 || d.centres[len(d.centres)-1] != h {
			d.centres = append(d.centres, h)
		}
	}
	d.services = []service{{name: name + "/main", port: stagedPort, upstreams: z.upstreams, prefix: "main"}}
	d.flowLimit = z.flowLimit
	d.serviceTimes = map[string]time.Duration{}
	for _, c := range d.specs {
		d.classes = append(d.classes, class{name: c.Name, idempotent: c.Idempotent})
		d.serviceTimes[c.Name] = c.Service
	}
	d.folder = d.yaml()
	return d, nil
}

// slowed multiplies service times and deadlines.
func slowed(classes []model.ClassSpec, factor float64) []model.ClassSpec {
	out := make([]model.ClassSpec, len(classes))
	for i, c := range classes {
		c.Service = time.Duration(float64(c.Service) * factor)
		c.Deadline = time.Duration(float64(c.Deadline) * factor)
		out[i] = c
	}
	return out
}

func (d *staged) yaml() string {
	var b strings.Builder
	fmt.Fprintf(&b, "users:\n  %s:\n    time_zone: UTC\n    services:\n      main:\n", d.name)
	fmt.Fprintf(&b, "        port: %d\n        credential: %s\n        slots: %d\n        flow_limit: %d\n        classes:\n",
		stagedPort, credential, d.slots, d.flowLimit)
	for _, c := range d.specs {
		fmt.Fprintf(&b, "          %s: {priority: %d, share: %g, queue_limit: %d, deadline: %s}\n",
			c.Name, c.Priority, c.Share, c.QueueLimit, c.Deadline)
	}
	return b.String()
}

// rates returns the arrivals per second of each class; nil stands for the steady load.
func (d *staged) rates(loads []float64, upstreams int) []float64 {
	out := make([]float64, len(d.specs))
	for i, c := range d.specs {
		load := c.Load
		if loads != nil {
			load = loads[i]
		}
		out[i] = load * d.capacity(upstreams) / c.Service.Seconds()
	}
	return out
}
