package packets

import "time"

// Names of phases.
const (
	Calm  = "calm"
	Burst = "burst"
	After = "after"
	Fault = "fault"
	Flood = "flood"
)

const (
	usualLoad = 0.5 // of what the upstreams can work on
	calmTime  = 5 * time.Second
	faultTime = 15 * time.Second
	burstTime = 6 * time.Second
)

// Patterns returns all load patterns.
func Patterns() []Pattern {
	return []Pattern{
		{
			Name: "packets-burst", Summary: "first tries beyond the capacity of the upstreams; rejected callers try again on new flows",
			Phases: []Phase{
				{Name: Calm, For: calmTime, Load: usualLoad}, {Name: Burst, For: burstTime, Load: 1.4}, {Name: After, For: calmTime, Load: usualLoad},
			},
			Baselines: []Placement{Unrefused, Random},
		},
		{
			// The usual requests go on as before: 0.39 of what the upstreams can work on.
			Name: "packets-urgent-flood", Summary: "the most urgent callers ask for ten times as much as usual",
			Phases: []Phase{
				{Name: Calm, For: 2 * calmTime, Load: usualLoad}, {Name: Flood, For: burstTime, Load: 1.49, UrgentShare: 0.74}, {Name: After, For: calmTime, Load: usualLoad},
			},
			Baselines: []Placement{Unrefused, Random},
		},
		{
			Name: "packets-failing", Summary: "a fifth of the upstreams fail most of their requests, fast",
			Phases: []Phase{
				{Name: Calm, For: calmTime, Load: usualLoad},
				{Name: Fault, For: faultTime, Load: usualLoad, FailingShare: 0.2, FailedRequests: 0.6},
			},
			Baselines: []Placement{Unrefused, FewestFlows, Random},
		},
		{
			Name: "packets-slow", Summary: "a fifth of the upstreams work five times as long",
			Phases: []Phase{
				{Name: Calm, For: calmTime, Load: usualLoad},
				{Name: Fault, For: faultTime, Load: usualLoad, SlowShare: 0.2, SlowFactor: 5},
			},
			Baselines: []Placement{FewestFlows, Random},
		},
	}
}

// PatternByName returns the pattern of a name.
func PatternByName(name string) (Pattern, bool) {
	for _, p := range Patterns() {
		if p.Name == name {
			return p, true
		}
	}
	return Pattern{}, false
}
