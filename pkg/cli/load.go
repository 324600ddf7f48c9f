package cli

import (
	"fmt"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"rosemarygate/pkg/load"
)

// loadFlags are the flags of the command load.
type loadFlags struct {
	options  load.Options
	scenario string
	format   string
	logLevel string
	list     bool
	progress bool
}

// newLoad returns the command that runs experiments. Its subcommands measure single parts of the system.
func newLoad() *cobra.Command {
	var experiment loadFlags
	cmd := &cobra.Command{
		Use:   "load --scenario NAME",
		Short: "Run experiments and measure parts of the system on this machine",
		Long: `load runs an experiment and checks its result against the targets of the design. --list
names the scenarios. Those marked (model) run on a virtual clock, by default with the policies
ours and naive; the others run a fleet of daemons, stand-in upstreams and callers on loopback
addresses. Equal seeds give equal arrivals and equal faults.

Other load on the machine changes absolute figures of live runs, so compare the figures of
one run with each other. The exit code is 1 when a check does not hold.`,
		Example: `  rosemarygate load --list
  rosemarygate load --scenario flood-least-urgent --format json
  rosemarygate load --scenario at-most-once --requests 1000000 --seed 7 --progress`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return experiment.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringVar(&experiment.scenario, "scenario", "", "scenario to run")
	flags.BoolVar(&experiment.list, "list", false, "list the scenarios")
	flags.Uint64Var(&experiment.options.Seed, "seed", 1, "seed of arrivals, faults and service times")
	flags.DurationVar(&experiment.options.Duration, "for", 0, "how long callers send requests in a live scenario (default: the scenario's)")
	flags.IntVar(&experiment.options.Requests, "requests", 0, "number of requests of a live scenario, instead of --for")
	flags.Float64Var(&experiment.options.Rate, "rate", 0, "requests per second of a live scenario (default: the scenario's)")
	flags.StringVar(&experiment.options.Deployment, "deployment", "", "karri or guild (default: karri in live scenarios, both in the model)")
	flags.StringVar(&experiment.options.Policy, "policy", "", "ours or naive (default: ours in live scenarios, both in the model)")
	flags.BoolVar(&experiment.progress, "progress", false, "report progress on standard error")
	flags.StringVar(&experiment.logLevel, "log", "error", "log level of the daemons: debug, info, warning or error")
	addFormat(cmd, &experiment.format, load.Formats...)
	cmd.AddCommand(newLoadRelay(), newLoadFlows())
	return cmd
}

func (experiment *loadFlags) run(cmd *cobra.Command) error {
	if err := checkFormat(experiment.format, load.Formats...); err != nil {
		return err
	}
	if experiment.list {
		return listScenarios(cmd)
	}
	if experiment.scenario == "" {
		return usageError(errors.New("no scenario: name one with --scenario; --list shows all"))
	}
	log, err := newLogger(cmd.ErrOrStderr(), experiment.logLevel)
	if err != nil {
		return err
	}
	experiment.options.Log = log
	if experiment.progress {
		experiment.options.Progress = func(s string) { fmt.Fprintln(cmd.ErrOrStderr(), "load:", s) }
	}
	report, err := load.Run(cmd.Context(), experiment.scenario, experiment.options)
	if errors.As(err, new(*load.UsageError)) {
		return usageError(err)
	}
	if err != nil {
		return err
	}
	if err := report.Write(cmd.OutOrStdout(), experiment.format); err != nil {
		return err
	}
	if !report.OK() {
		return errors.New("a check failed: see the report, and repeat with the same seed and --log info")
	}
	return nil
}

func listScenarios(cmd *cobra.Command) error {
	table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	for _, s := range load.Scenarios() {
		fmt.Fprintf(table, "%s\t%s\n", s.Name, s.Summary)
	}
	return table.Flush()
}
