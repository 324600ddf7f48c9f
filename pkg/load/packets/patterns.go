package packets

import "time"

// Names of phases.
const (
	CalmPhase  = "calm"
	BurstPhase = "burst"
	AfterPhase = "after"
	FaultPhase = "fault"
	FloodPhase = "flood"
	PeakPhase  = "peak"
)

const (
	usualLoad     = 0.5 // of the capacity of the upstreams
	calmDuration  = 5 * time.Second
	faultDuration = 15 * time.Second
	burstDuration = 6 * time.Second
)

// Patterns returns all load patterns.
func Patterns() []Pattern {
	return []Pattern{
		{
			Name: "packets-burst", Summary: "first attempts exceed the capacity of the upstreams; rejected requests are retried on new flows",
			Phases: []Phase{
				{Name: CalmPhase, Duration: calmDuration, Load: usualLoad}, {Name: BurstPhase, Duration: burstDuration, Load: 1.4}, {Name: AfterPhase, Duration: calmDuration, Load: usualLoad},
			},
			Baselines: []Placement{OursByRejections, OursWithoutRefusal, Random},
		},
		{
			// The load of the usual requests stays at 0.39 of the capacity.
			Name: "packets-urgent-flood", Summary: "the most urgent callers send ten times as many requests as usual",
			Phases: []Phase{
				{Name: CalmPhase, Duration: 2 * calmDuration, Load: usualLoad}, {Name: FloodPhase, Duration: burstDuration, Load: 1.49, UrgentShare: 0.74}, {Name: AfterPhase, Duration: calmDuration, Load: usualLoad},
			},
			Baselines: []Placement{OursByRejections, OursWithoutRefusal, Random},
		},
		{
			// The first data centre gets 1.14 times its own capacity, all together have a third left.
			Name: "packets-uneven-centres", Summary: "callers of one data centre exceed its upstreams, and the others have room",
			Phases: []Phase{
				{Name: CalmPhase, Duration: calmDuration, Load: 0.2}, {Name: PeakPhase, Duration: burstDuration, Load: 0.67, FirstCentreShare: 0.57}, {Name: AfterPhase, Duration: calmDuration, Load: 0.2},
			},
			Baselines:   []Placement{OursByAllRejections},
			Deployments: []Deployment{ThreeCentres()},
		},
		{
			Name: "packets-failing", Summary: "a fifth of the upstreams quickly reject most of their requests",
			Phases: []Phase{
				{Name: CalmPhase, Duration: calmDuration, Load: usualLoad},
				{Name: FaultPhase, Duration: faultDuration, Load: usualLoad, FailingShare: 0.2, RejectedShare: 0.6},
			},
			Baselines: []Placement{OursWithoutRefusal, FewestFlows, Random},
		},
		{
			Name: "packets-slow", Summary: "a fifth of the upstreams take five times as long for a request",
			Phases: []Phase{
				{Name: CalmPhase, Duration: calmDuration, Load: usualLoad},
				{Name: FaultPhase, Duration: faultDuration, Load: usualLoad, SlowShare: 0.2, SlowFactor: 5},
			},
			Baselines: []Placement{FewestFlows, Random},
		},
	}
}

// FloodBeyondLinks is a flood of all kinds beyond what the upstreams can serve. On Gateway, the links would be
// full with what simple placement takes on.
func FloodBeyondLinks() Pattern {
	return Pattern{
		Name: "packets-beyond-links", Summary: "first attempts exceed what the links of the entry daemons carry",
		Phases: []Phase{
			{Name: CalmPhase, Duration: calmDuration, Load: 0.2}, {Name: FloodPhase, Duration: burstDuration, Load: 1.7}, {Name: AfterPhase, Duration: calmDuration, Load: 0.2},
		},
		Baselines: []Placement{OursWithoutLink},
	}
}

// PatternByName returns the pattern with the given name.
func PatternByName(name string) (Pattern, bool) {
	for _, p := range Patterns() {
		if p.Name == name {
			return p, true
		}
	}
	return Pattern{}, false
}
