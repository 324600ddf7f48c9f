package load

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"rosemarygate/pkg/config"
	"rosemarygate/pkg/fleet"
	"rosemarygate/pkg/standin"
)

const credential = "load-credential"

// class is a request class of a live deployment.
type class struct {
	name       string
	service    int // index in deployment.services
	idempotent bool
	weight     float64 // share of the arrivals
}

// service is one service of a live deployment.
type service struct {
	name        string // "user/service"
	port        uint16
	upstreams   int
	namePrefix  string // of upstream names
	answerSizes map[string]int
}

// deployment is one of the two deployments of section 1.2 of the design.
type deployment struct {
	name            string
	hostDataCentres []string // data centre of each host
	dataCentres     []string
	slots           int
	services        []service // callers open feeds at the first service only
	classes         []class
	configYAML      string
	// flowLimit and serviceTimes replace the default flow limit and the default service time of the
	// upstreams.
	flowLimit    int
	serviceTimes map[string]time.Duration
}

const defaultFlowLimit = 2000 // flows per upstream

const (
	sheetSize = 30_000 // bytes of a label sheet
	draftSize = 20_000 // bytes of a past draft
)

var karri = deployment{
	name:            "karri",
	hostDataCentres: []string{"perth-a", "perth-a", "perth-a", "perth-b", "perth-b", "perth-c", "perth-c"},
	dataCentres:     []string{"perth-a", "perth-b", "perth-c"},
	slots:           3,
	services: []service{
		{name: "karri-bend/ticket-and-tally", port: 4101, upstreams: 15, namePrefix: "ticket"},
		{name: "karri-bend/label", port: 4102, upstreams: 4, namePrefix: "label", answerSizes: map[string]int{"sheet": sheetSize}},
	},
	classes: []class{
		{name: "tally", weight: 0.75},
		{name: "query", idempotent: true, weight: 0.2},
		{name: "sheet", service: 1, idempotent: true, weight: 0.05},
	},
	configYAML: `users:
  karri-bend:
    time_zone: Australia/Perth
    services:
      ticket-and-tally:
        port: 4101
        credential: load-credential
        slots: 3
        flow_limit: 2000
        classes:
          tally: {priority: 0, share: 0.6, queue_limit: 64, deadline: 10s}
          query: {priority: 1, share: 0.2, queue_limit: 64, deadline: 10s}
      label:
        port: 4102
        credential: load-credential
        slots: 3
        flow_limit: 2000
        classes:
          sheet: {priority: 0, share: 0.8, queue_limit: 64, deadline: 10s}
`,
}

var guild = deployment{
	name:            "guild",
	hostDataCentres: []string{"ahmedabad", "ahmedabad", "vadodara", "vadodara", "surat", "surat", "rajkot"},
	dataCentres:     []string{"ahmedabad", "vadodara", "surat", "rajkot"},
	slots:           2,
	services: []service{
		{name: "guild/speech-delivery", port: 4201, upstreams: 15, namePrefix: "speech"},
		{name: "guild/archive", port: 4202, upstreams: 4, namePrefix: "archive", answerSizes: map[string]int{"pull": draftSize}},
	},
	classes: []class{
		{name: "revision", weight: 0.75},
		{name: "cue", idempotent: true, weight: 0.2},
		{name: "pull", service: 1, idempotent: true, weight: 0.05},
	},
	configYAML: `users:
  guild:
    time_zone: Asia/Kolkata
    services:
      speech-delivery:
        port: 4201
        credential: load-credential
        slots: 2
        flow_limit: 2000
        classes:
          cue: {priority: 0, share: 0.25, queue_limit: 64, deadline: 10s}
          revision: {priority: 1, share: 0.5, queue_limit: 64, deadline: 10s}
      archive:
        port: 4202
        credential: load-credential
        slots: 2
        flow_limit: 2000
        classes:
          pull: {priority: 0, share: 0.8, queue_limit: 64, deadline: 10s}
`,
}

func liveDeploymentByName(name string) (deployment, error) {
	switch name {
	case "", karri.name:
		return karri, nil
	case guild.name:
		return guild, nil
	}
	return deployment{}, usageErrorf("deployment %q is unknown: use karri or guild", name)
}

func (d *deployment) config() (*config.Config, error) {
	f, err := config.FromFiles([]config.File{{Name: "10-" + d.name + ".yaml", Data: []byte(d.configYAML)}})
	if err != nil {
		return nil, err
	}
	return f.Merge()
}

// upstreamConfig returns the configuration of the n-th stand-in upstream of a service.
func (d *deployment) upstreamConfig(s service, n int, seed uint64) standin.Config {
	limit := d.flowLimit
	if limit == 0 {
		limit = defaultFlowLimit
	}
	return standin.Config{
		Service: s.name, Name: fmt.Sprintf("%s-%02d", s.namePrefix, n+1), DataCentre: d.dataCentres[n%len(d.dataCentres)],
		Slots: d.slots, FlowLimit: limit, Credential: credential,
		ServiceTime: serviceTime, ServiceTimes: d.serviceTimes, FeedPeriod: feedPeriod, AnswerSize: s.answerSizes,
		Seed: seed + uint64(n),
	}
}

func (d *deployment) startFleet(f *fleet.Fleet, seed uint64, newFaults func(name string) *standin.Faults) error {
	if err := f.Start(); err != nil {
		return err
	}
	total := 0
	for _, s := range d.services {
		for n := range s.upstreams {
			c := d.upstreamConfig(s, n, seed)
			c.Faults = newFaults(c.Name)
			if err := f.StartUpstream(c); err != nil {
				return errors.Wrapf(err, "upstream %s", c.Name)
			}
			total++
		}
	}
	return f.WaitUpstreams(total, startTimeout)
}
