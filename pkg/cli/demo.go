package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"rosemarygate/pkg/demo"
)

func newDemo() *cobra.Command {
	var options demo.Options
	var format, logLevel string
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run daemons in one process, with stand-in callers and upstreams",
		Long: `demo starts seven daemons in three data centres, 19 stand-in upstreams and callers
whose datagrams are sprayed over all daemons. The fabric loses, repeats and reorders a few
per cent of them. While it runs, a daemon is restarted and an upstream drained.

The exit code is 0 when no feed broke, no packet reached another service, no
non-idempotent request ran twice and no request that ran was reported as not run.`,
		Example: `  rosemarygate demo --for 10s
  rosemarygate demo --for 30s --restart-all --format json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if format != "text" && format != "json" {
				return usageError(errors.Errorf("--format %q is unknown: use text or json", format))
			}
			log, err := newLogger(cmd.ErrOrStderr(), logLevel)
			if err != nil {
				return err
			}
			options.Log = log
			options.Progress = func(s string) { fmt.Fprintln(cmd.ErrOrStderr(), "demo:", s) }
			report, err := demo.Run(cmd.Context(), options)
			if err != nil {
				return err
			}
			if err := printReport(cmd.OutOrStdout(), report, format); err != nil {
				return err
			}
			if !report.OK() {
				return errors.New("a guarantee was violated: see the report, and repeat with --log info")
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.DurationVar(&options.Duration, "for", 10*time.Second, "how long callers send requests")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of faults and service times")
	flags.IntVar(&options.Feeds, "feeds", 60, "number of callers with an open feed")
	flags.IntVar(&options.Pullers, "pullers", 8, "number of callers that request large answers")
	flags.BoolVar(&options.RestartAll, "restart-all", false, "restart every daemon in turn instead of one")
	flags.StringVar(&format, "format", "text", "report format: text or json")
	flags.StringVar(&logLevel, "log", "error", "log level of the daemons: debug, info, warning or error")
	return cmd
}

func printReport(out io.Writer, report *demo.Report, format string) error {
	if format == "json" {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return enc.Encode(report)
	}
	encoded, err := json.Marshal(report)
	if err != nil {
		return err
	}
	var values map[string]any
	if err := json.Unmarshal(encoded, &values); err != nil {
		return err
	}
	return printTable(out, values)
}

func newLogger(w io.Writer, level string) (*logrus.Logger, error) {
	parsedLevel, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, usageError(errors.Errorf("log level %q is unknown: use debug, info, warning or error", level))
	}
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(parsedLevel)
	return log, nil
}
