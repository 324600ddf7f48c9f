package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/control/totals"
)

// totalsWait is how much longer than for other commands the answer may take: the replica collects
// the days from all others.
const totalsWait = 30 * time.Second

func newTotals() *cobra.Command {
	var c controlFlags
	var day, to, user, format string
	cmd := &cobra.Command{
		Use:   "totals",
		Short: "Print the daily totals of flows and refused requests",
		Long: "Totals prints for each user, service and reason the flows carried, the flows broken and the\n" +
			"requests refused on a day. A day ends in the user's time zone. The CSV format can be opened by\n" +
			"a spreadsheet; columns are only ever added at the end. The counts are those of all replicas; a\n" +
			"line, with CSV on the error output, names replicas that did not answer.\n\n" +
			"Exit codes: 0 success, 1 no replica answered, 2 wrong arguments.",
		Example: `  rosemarygate totals --replica 127.1.0.1:7901 --day 2026-05-04
  rosemarygate totals --replica 127.1.0.1:7901 --day 2026-05-01 --to 2026-05-31 --format csv > may.csv`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkFormat(format, "text", "csv"); err != nil {
				return err
			}
			if to == "" {
				to = day
			}
			for _, d := range []string{day, to} {
				if _, err := totals.ParseDay(d); err != nil {
					return usageError(err)
				}
			}
			q := &controlpb.TotalsRequest{FromDay: day, ToDay: to, User: user}
			reply, err := call(cmd.Context(), &c, totalsWait, func(ctx context.Context, client controlpb.OperatorClient) (*controlpb.TotalsReply, error) {
				return client.Totals(ctx, q)
			})
			if err != nil {
				return err
			}
			return printTotals(cmd, reply, format)
		},
	}
	c.add(cmd)
	f := cmd.Flags()
	f.StringVar(&day, "day", "", "day, or first day, as YYYY-MM-DD (required)")
	f.StringVar(&to, "to", "", "last day; the same day if it is not given")
	f.StringVar(&user, "user", "", "only this user")
	// The flag exists, so this cannot fail.
	_ = cmd.MarkFlagRequired("day")
	addFormat(cmd, &format, "text", "csv")
	return cmd
}

// printTotals keeps notes out of the CSV, which goes into a spreadsheet.
func printTotals(cmd *cobra.Command, reply *controlpb.TotalsReply, format string) error {
	rows := totals.Rows(reply.GetDays())
	if format == "text" {
		return totals.WriteText(cmd.OutOrStdout(), rows, reply.GetMissingReplicas())
	}
	if line := totals.Incomplete(reply.GetMissingReplicas()); line != "" {
		fmt.Fprintln(cmd.ErrOrStderr(), line)
	}
	return totals.WriteCSV(cmd.OutOrStdout(), rows)
}
