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

// class is a request class that callers of a live deployment use.
type class struct {
	name       string
	service    int // index of the service
	idempotent bool
	weight     float64 // part of the arrivals
}

// service is one service of a live deployment.
type service struct {
	name      string // "user/service"
	port      uint16
	upstreams int
	prefix    string // of the upstreams' names
	answers   map[string]int
}

// deployment is one of the two deployments of section 1.2 of the design.
type deployment struct {
	name     string
	hosts    []string // data centre of each host
	centres  []string
	slots    int
	services []service // feeds are those of the first service
	classes  []class
	folder   string
	// flowLimit and serviceTimes replace the limit and the service time that all upstreams
	// have.
	flowLimit    int
	serviceTimes map[string]time.Duration
}

const usualFlowLimit = 2000 // flows of an upstream

const (
	sheetSize = 30_000 // bytes of a label sheet
	draftSize = 20_000 // bytes of a past draft
)

var karri = deployment{
	name:    "karri",
	hosts:   []string{"perth-a", "perth-a", "perth-a", "perth-b", "perth-b", "perth-c", "perth-c"},
	centres: []string{"perth-a", "perth-b", "perth-c"},
	slots:   3,
	services: []service{
		{name: "karri-bend/ticket-and-tally", port: 4101, upstreams: 15, prefix: "ticket"},
		{name: "karri-bend/label", port: 4102, upstreams: 4, prefix: "label", answers: map[string]int{"sheet": sheetSize}},
	},
	classes: []class{
		{name: "tally", weight: 0.75},
		{name: "query", idempotent: true, weight: 0.2},
		{name: "sheet", service: 1, idempotent: true, weight: 0.05},
	},
	folder: `users:
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
	name:    "guild",
	hosts:   []string{"ahmedabad", "ahmedabad", "vadodara", "vadodara", "surat", "surat", "rajkot"},
	centres: []string{"ahmedabad", "vadodara", "surat", "rajkot"},
	slots:   2,
	services: []service{
		{name: "guild/speech-delivery", port: 4201, upstreams: 15, prefix: "speech"},
		{name: "guild/archive", port: 4202, upstreams: 4, prefix: "archive", answers: map[string]int{"pull": draftSize}},
	},
	classes: []class{
		{name: "revision", weight: 0.75},
		{name: "cue", idempotent: true, weight: 0.2},
		{name: "pull", service: 1, idempotent: true, weight: 0.05},
	},
	folder: `users:
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

func liveDeployment(name string) (deployment, error) {
	switch name {
	case "", karri.name:
		return karri, nil
	case guild.name:
		return guild, nil
	}
	return deployment{}, usageErrorf("deployment %q is unknown: use karri or guild", name)
}

func (d *deployment) config() (*config.Config, error) {
	f, err := config.FromFiles([]config.File{{Name: "10-" + d.name + ".yaml", Data: []byte(d.folder)}})
	if err != nil {
		return nil, err
	}
	return f.Merge()
}

// upstream describes the stand-in of the given number of a service.
func (d *deployment) upstream(s service, n int, seed uint64) standin.Config {
	limit := d.flowLimit
	if limit == 0 {
		limit = usualFlowLimit
	}
	return standin.Config{
		Service: s.name, Name: fmt.Sprintf("%s-%02d", s.prefix, n+1), DataCentre: d.centres[n%len(d.centres)],
		Slots: d.slots, FlowLimit: limit, Credential: credential,
		ServiceTime: serviceTime, ServiceTimes: d.serviceTimes, FeedPeriod: feedPeriod, AnswerSize: s.answers,
		Seed: seed + uint64(n),
	}
}

func (d *deployment) start(f *fleet.Fleet, seed uint64, faults func(name string) *standin.Faults) error {
	if err := f.Start(); err != nil {
		return err
	}
	total := 0
	for _, s := range d.services {
		for n := range s.upstreams {
			c := d.upstream(s, n, seed)
			c.Faults = faults(c.Name)
			if err := f.StartUpstream(c); err != nil {
				return errors.Wrapf(err, "upstream %s", c.Name)
			}
			total++
		}
	}
	return f.WaitUpstreams(total, startTimeout)
}
