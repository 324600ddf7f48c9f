package load

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"rosemarygate/pkg/load/model"
)

// stagedDeployment is a deployment of the model that runs on a live fleet: one service with the
// model's classes, shares and loads.
type stagedDeployment struct {
	deployment
	classSpecs []model.ClassSpec
}

// capacity returns the number of slots of the given number of upstreams.
func (d *stagedDeployment) capacity(upstreams int) float64 { return float64(upstreams * d.slots) }

const stagedPort = 4301

// stageSize replaces sizes of a model's deployment in a live experiment.
type stageSize struct {
	upstreams int
	flowLimit int
	// serviceTimeFactor multiplies the model's service times, so that one machine can carry the
	// requests of a flood.
	serviceTimeFactor float64
	hostDataCentres   []string
}

// leastUrgentSizes and mostUrgentSizes keep a load of 10 times the capacity at 400 to 6,300 requests
// per second, and service times well above the milliseconds in which a busy machine schedules a
// process. Latency has 2 s to recover after a flood, independent of the service times.
var (
	leastUrgentSizes = map[string]stageSize{
		karri.name: {upstreams: 5, flowLimit: 2000, serviceTimeFactor: 4, hostDataCentres: karri.hostDataCentres},
		guild.name: {upstreams: 5, flowLimit: 2000, serviceTimeFactor: 4, hostDataCentres: guild.hostDataCentres},
	}
	mostUrgentSizes = map[string]stageSize{
		karri.name: {upstreams: 5, flowLimit: 2000, serviceTimeFactor: 8, hostDataCentres: karri.hostDataCentres},
		guild.name: {upstreams: 5, flowLimit: 2000, serviceTimeFactor: 4, hostDataCentres: guild.hostDataCentres},
	}
)

// balanceSizes have one data centre, like the model's scenario.
var balanceSizes = map[string]stageSize{
	karri.name: {upstreams: 15, flowLimit: 2000, serviceTimeFactor: 1.5, hostDataCentres: slices.Repeat([]string{"perth-a"}, 7)},
	guild.name: {upstreams: 15, flowLimit: 2000, serviceTimeFactor: 1.5, hostDataCentres: slices.Repeat([]string{"ahmedabad"}, 7)},
}

// newStagedDeployment converts a deployment of the model for use on a live fleet.
func newStagedDeployment(name string, sizes map[string]stageSize) (stagedDeployment, error) {
	if name == "" {
		name = karri.name
	}
	deployments, err := modelDeployments(name)
	if err != nil {
		return stagedDeployment{}, err
	}
	modelDeployment, size := deployments[0], sizes[name]
	d := stagedDeployment{classSpecs: scaleServiceTimes(modelDeployment.Classes, size.serviceTimeFactor)}
	d.deployment = deployment{name: name, hostDataCentres: size.hostDataCentres, slots: modelDeployment.Slots}
	for _, h := range size.hostDataCentres {
		if len(d.dataCentres) == 0 || d.dataCentres[len(d.dataCentres)-1] != h {
			d.dataCentres = append(d.dataCentres, h)
		}
	}
	d.services = []service{{name: name + "/main", port: stagedPort, upstreams: size.upstreams, namePrefix: "main"}}
	d.flowLimit = size.flowLimit
	d.serviceTimes = map[string]time.Duration{}
	for _, c := range d.classSpecs {
		d.classes = append(d.classes, class{name: c.Name, idempotent: c.Idempotent})
		d.serviceTimes[c.Name] = c.ServiceTime
	}
	d.configYAML = d.buildYAML()
	return d, nil
}

// scaleServiceTimes multiplies service times and deadlines.
func scaleServiceTimes(classes []model.ClassSpec, factor float64) []model.ClassSpec {
	out := make([]model.ClassSpec, len(classes))
	for i, c := range classes {
		c.ServiceTime = time.Duration(float64(c.ServiceTime) * factor)
		c.Deadline = time.Duration(float64(c.Deadline) * factor)
		out[i] = c
	}
	return out
}

func (d *stagedDeployment) buildYAML() string {
	var b strings.Builder
	fmt.Fprintf(&b, "users:\n  %s:\n    time_zone: UTC\n    services:\n      main:\n", d.name)
	fmt.Fprintf(&b, "        port: %d\n        credential: %s\n        slots: %d\n        flow_limit: %d\n        classes:\n",
		stagedPort, credential, d.slots, d.flowLimit)
	for _, c := range d.classSpecs {
		fmt.Fprintf(&b, "          %s: {priority: %d, share: %g, queue_limit: %d, deadline: %s}\n",
			c.Name, c.Priority, c.Share, c.QueueLimit, c.Deadline)
	}
	return b.String()
}

// arrivalRates returns the arrivals per second of each class; nil loads select the steady load.
func (d *stagedDeployment) arrivalRates(loads []float64, upstreams int) []float64 {
	out := make([]float64, len(d.classSpecs))
	for i, c := range d.classSpecs {
		load := c.OfferedLoad
		if loads != nil {
			load = loads[i]
		}
		out[i] = load * d.capacity(upstreams) / c.ServiceTime.Seconds()
	}
	return out
}
