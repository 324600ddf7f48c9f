package cli

import (
	"fmt"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"rosemarygate/pkg/load"
)

// loadFlags are the flags of an experiment.
type loadFlags struct {
	options  load.Options
	scenario string
	format   string
	level    string
	list     bool
	progress bool
}

// newLoad runs experiments and is the parent of the commands that measure single parts.
func newLoad() *cobra.Command {
	var lf loadFlags
	cmd := &cobra.Command{
		Use:   "load --scenario NAME",
		Short: "Run experiments and measure parts of the system on this machine",
		Long: `load runs an experiment and checks its result against the targets of the design. --list
names the scenarios. Those marked (model) run on a virtual clock, with the naive policy next
to ours; the others run a fleet of daemons, stand-in upstreams and callers on loopback
addresses. Equal seeds give equal arrivals and equal faults.

Other load on the machine changes absolute figures of live runs, so compare the figures of
one run with each other. The exit code is 1 when a check does not hold.`,
		Example: `  rosemarygate load --list
  rosemarygate load --scenario flood-least-urgent --format json
  rosemarygate load --scenario at-most-once --requests 1000000 --seed 7 --progress`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return lf.run(cmd) },
	}
	f := cmd.Flags()
	f.StringVar(&lf.scenario, "scenario", "", "scenario to run")
	f.BoolVar(&lf.list, "list", false, "list the scenarios")
	f.Uint64Var(&lf.options.Seed, "seed", 1, "seed of arrivals, faults and service times")
	f.DurationVar(&lf.options.For, "for", 0, "how long callers work in a live scenario (default: the scenario's)")
	f.IntVar(&lf.options.Requests, "requests", 0, "number of requests of a live scenario, instead of --for")
	f.Float64Var(&lf.options.Rate, "rate", 0, "requests per second of a live scenario (default: the scenario's)")
	f.StringVar(&lf.options.Deployment, "deployment", "", "karri or guild (default: karri in live scenarios, both in the model)")
	f.StringVar(&lf.options.Policy, "policy", "", "ours or naive (default: ours in live scenarios, both in the model)")
	f.BoolVar(&lf.progress, "progress", false, "report progress on standard error")
	f.StringVar(&lf.level, "log", "error", "log level of the daemons: debug, info, warning or error")
	addFormat(cmd, &lf.format, load.Formats...)
	cmd.AddCommand(newLoadRelay(), newLoadFlows())
	return cmd
}

func (lf *loadFlags) run(cmd *cobra.Command) error {
	if err := checkFormat(lf.format, load.Formats...); err != nil {
		return err
	}
	if lf.list {
		return listScenarios(cmd)
	}
	if lf.scenario == "" {
		return usageError(errors.New("no scenario: name one with --scenario; --list shows all"))
	}
	log, err := newLogger(cmd.ErrOrStderr(), lf.level)
	if err != nil {
		return err
	}
	lf.options.Log = log
	if lf.progress {
		lf.options.Progress = func(s string) { fmt.Fprintln(cmd.ErrOrStderr(), "load:", s) }
	}
	report, err := load.Run(cmd.Context(), lf.scenario, lf.options)
	if errors.As(err, new(*load.UsageError)) {
		return usageError(err)
	}
	if err != nil {
		return err
	}
	if err := report.Write(cmd.OutOrStdout(), lf.format); err != nil {
		return err
	}
	if !report.OK() {
		return errors.New("a check failed: see the report, and repeat with the same seed and --log info")
	}
	return nil
}

func listScenarios(cmd *cobra.Command) error {
	tw := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	for _, s := range load.Scenarios() {
		fmt.Fprintf(tw, "%s\t%s\n", s.Name, s.Summary)
	}
	return tw.Flush()
}
