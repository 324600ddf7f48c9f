package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/control/totals"
)

// totalsWait is added to the timeout of other commands, because the replica collects the totals from
// all other replicas.
const totalsWait = 30 * time.Second

func newTotals() *cobra.Command {
	var control controlFlags
	var firstDay, lastDay, user, format string
	cmd := &cobra.Command{
		Use:   "totals",
		Short: "Print the daily totals of flows and refused requests",
		Long: "Totals prints for each user, service and reason the flows carried, the flows broken and the\n" +
			"requests refused on a day. A day ends in the user's time zone. The CSV format can be opened by\n" +
			"a spreadsheet; new columns are only added at the end. The counts are those of all replicas; a\n" +
			"line names the replicas that did not answer, with CSV on the error output.\n\n" +
			"Exit codes: 0 success, 1 no replica answered, 2 wrong arguments.",
		Example: `  rosemarygate totals --replica 127.1.0.1:7901 --day 2026-05-04
  rosemarygate totals --replica 127.1.0.1:7901 --day 2026-05-01 --to 2026-05-31 --format csv > may.csv`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkFormat(format, "text", "csv"); err != nil {
				return err
			}
			if lastDay == "" {
				lastDay = firstDay
			}
			for _, day := range []string{firstDay, lastDay} {
				if _, err := totals.ParseDay(day); err != nil {
					return usageError(err)
				}
			}
			request := &controlpb.TotalsRequest{FromDay: firstDay, ToDay: lastDay, User: user}
			reply, err := callReplicas(cmd.Context(), &control, totalsWait, func(ctx context.Context, client controlpb.OperatorClient) (*controlpb.TotalsReply, error) {
				return client.Totals(ctx, request)
			})
			if err != nil {
				return err
			}
			return printTotals(cmd, reply, format)
		},
	}
	control.add(cmd)
	flags := cmd.Flags()
	flags.StringVar(&firstDay, "day", "", "day, or first day, as YYYY-MM-DD (required)")
	flags.StringVar(&lastDay, "to", "", "last day; the same day if it is not given")
	flags.StringVar(&user, "user", "", "only this user")
	// The flag exists, so this cannot fail.
	_ = cmd.MarkFlagRequired("day")
	addFormat(cmd, &format, "text", "csv")
	return cmd
}

// printTotals prints the totals. The notice about missing replicas goes to the error output if the
// format is CSV, so that the output can be opened by a spreadsheet.
func printTotals(cmd *cobra.Command, reply *controlpb.TotalsReply, format string) error {
	rows := totals.Rows(reply.GetDays())
	if format == "text" {
		return totals.WriteText(cmd.OutOrStdout(), rows, reply.GetMissingReplicas())
	}
	if notice := totals.IncompleteNotice(reply.GetMissingReplicas()); notice != "" {
		fmt.Fprintln(cmd.ErrOrStderr(), notice)
	}
	return totals.WriteCSV(cmd.OutOrStdout(), rows)
}
