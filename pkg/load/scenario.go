// Package load runs load experiments. Scenarios of admission and selection run on a model with a
// virtual clock, with both policies. Scenarios of failures run on a live fleet in this process: daemons,
// stand-in upstreams, and callers with open-loop arrivals behind a fabric with faults. Their checks use
// only the records of stand-ins and callers.
package load

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// Policies of a run. With an empty policy, a model scenario runs both.
const (
	PolicyOurs  = "ours"
	PolicyNaive = "naive"
)

// UsageError reports invalid options of a run.
type UsageError struct{ message string }

// Error names the invalid option and how to correct it.
func (e *UsageError) Error() string { return e.message }

func usageErrorf(format string, args ...any) error {
	return &UsageError{fmt.Sprintf(format, args...)}
}

// Options configure a run. Zero values select the scenario's defaults.
type Options struct {
	Seed uint64
	// Duration is the time in which callers offer requests in a live run; model runs have their own
	// virtual time.
	Duration time.Duration
	// Requests is the number of requests of a live run; if set, it replaces Duration.
	Requests int
	// Rate is the number of arrivals per second in a live run.
	Rate       float64
	Deployment string // "karri" or "guild"; empty selects karri in live runs, both in model runs
	Policy     string
	Log        logrus.FieldLogger
	Progress   func(string)
}

// Scenario is a named experiment.
type Scenario struct {
	Name           string
	Summary        string // one-line description
	hasNaivePolicy bool   // PolicyNaive is available
	run            func(ctx context.Context, s Scenario, o Options) (*Report, error)
}

// Scenarios returns all scenarios, in the order in which they are documented.
func Scenarios() []Scenario {
	return slices.Concat(modelScenarios(), packetScenarios(), stagedScenarios(), liveScenarios())
}

// Run runs the scenario with the given name.
func Run(ctx context.Context, name string, o Options) (*Report, error) {
	s, err := findScenario(name)
	if err != nil {
		return nil, err
	}
	if o.Policy != "" && o.Policy != PolicyOurs && o.Policy != PolicyNaive {
		return nil, usageErrorf("policy %q is unknown: use %s or %s", o.Policy, PolicyOurs, PolicyNaive)
	}
	if o.Policy == PolicyNaive && !s.hasNaivePolicy {
		return nil, usageErrorf("scenario %s has no naive policy, because it measures owners, which a naive balancer does not have: omit --policy", name)
	}
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	if o.Log == nil {
		log := logrus.New()
		log.SetOutput(io.Discard)
		o.Log = log
	}
	return s.run(ctx, s, o)
}

func findScenario(name string) (Scenario, error) {
	var names []string
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, nil
		}
		names = append(names, s.Name)
	}
	return Scenario{}, usageErrorf("scenario %q is unknown: use one of %s", name, strings.Join(names, ", "))
}
