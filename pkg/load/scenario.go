// Package load is the experiment tool. Scenarios of admission and selection run on a model
// with a virtual clock, both policies side by side. Scenarios of failures run on a live
// fleet in this process: daemons, stand-in upstreams, and callers with open-loop arrivals
// behind a fabric with faults. Their checks use the records of stand-ins and callers only.
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

// Policies of a run. An empty policy lets a model scenario run both side by side.
const (
	PolicyOurs  = "ours"
	PolicyNaive = "naive"
)

// UsageError is an error of the options of a run.
type UsageError struct{ message string }

// Error names the wrong option and the remedy.
func (e *UsageError) Error() string { return e.message }

func usageErrorf(format string, args ...any) error {
	return &UsageError{fmt.Sprintf(format, args...)}
}

// Options configure a run. Zero values select the scenario's defaults.
type Options struct {
	Seed uint64
	// For is how long callers offer requests in a live run; model runs have their own
	// virtual time.
	For time.Duration
	// Requests ends the arrivals of a live run after this number; For is then not used.
	Requests int
	// Rate is the arrivals per second of a live run.
	Rate       float64
	Deployment string // "karri" or "guild"; empty selects karri in live runs, both in model runs
	Policy     string
	Log        logrus.FieldLogger
	Progress   func(string)
}

// Scenario is an experiment with a name.
type Scenario struct {
	Name    string
	Summary string // one line
	naive   bool   // a live scenario that has a naive policy
	run     func(ctx context.Context, s Scenario, o Options) (*Report, error)
}

// Scenarios returns all scenarios in the order of the documentation.
func Scenarios() []Scenario {
	return slices.Concat(modelScenarios(), packetScenarios(), stagedScenarios(), liveScenarios())
}

// Run runs the scenario of the given name.
func Run(ctx context.Context, name string, o Options) (*Report, error) {
	s, err := find(name)
	if err != nil {
		return nil, err
	}
	if o.Policy != "" && o.Policy != PolicyOurs && o.Policy != PolicyNaive {
		return nil, usageErrorf("policy %q is unknown: use %s or %s", o.Policy, PolicyOurs, PolicyNaive)
	}
	if o.Policy == PolicyNaive && !s.naive {
		return nil, usageErrorf("scenario %s has no naive policy, since it measures owners that a naive balancer does not have: leave --policy out", name)
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

func find(name string) (Scenario, error) {
	var names []string
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, nil
		}
		names = append(names, s.Name)
	}
	return Scenario{}, usageErrorf("scenario %q is unknown: use one of %s", name, strings.Join(names, ", "))
}
