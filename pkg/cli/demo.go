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
	var o demo.Options
	var format, level string
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run the whole path in one process, with stand-in callers and upstreams",
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
			log, err := newLogger(cmd.ErrOrStderr(), level)
			if err != nil {
				return err
			}
			o.Log = log
			o.Progress = func(s string) { fmt.Fprintln(cmd.ErrOrStderr(), "demo:", s) }
			report, err := demo.Run(cmd.Context(), o)
			if err != nil {
				return err
			}
			if err := printReport(cmd.OutOrStdout(), report, format); err != nil {
				return err
			}
			if !report.OK() {
				return errors.New("a promise was broken: see the report, and repeat with --log info")
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.DurationVar(&o.Duration, "for", 10*time.Second, "how long callers work")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of faults and service times")
	f.IntVar(&o.Feeds, "feeds", 60, "callers with an open feed")
	f.IntVar(&o.Pullers, "pullers", 8, "callers that pull large answers")
	f.BoolVar(&o.RestartAll, "restart-all", false, "restart every daemon in turn instead of one")
	f.StringVar(&format, "format", "text", "report format: text or json")
	f.StringVar(&level, "log", "error", "log level of the daemons: debug, info, warning or error")
	return cmd
}

func printReport(w io.Writer, r *demo.Report, format string) error {
	if format == "json" {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(r)
	}
	b, err := json.Marshal(r)
	if err != nil {
		return err
	}
	var values map[string]any
	if err := json.Unmarshal(b, &values); err != nil {
		return err
	}
	return printTable(w, values)
}

func newLogger(w io.Writer, level string) (*logrus.Logger, error) {
	l, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, usageError(errors.Errorf("log level %q is unknown: use debug, info, warning or error", level))
	}
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(l)
	return log, nil
}
