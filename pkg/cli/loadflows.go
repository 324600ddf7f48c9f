package cli

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"rosemarygate/pkg/load/flowbench"
)

func newLoadFlows() *cobra.Command {
	var options flowbench.Options
	var format string
	cmd := &cobra.Command{
		Use:   "flows",
		Short: "Measure the memory of open flows and the rate of new flows at one daemon",
		Long: `flows opens flows on one daemon at a steady rate, holds them open with keep-alives and
reports how much heap and resident memory grow per flow. Caller and daemon share the
process; the caller's memory is allocated before the first measurement.`,
		Example: `  rosemarygate load flows --flows 200000 --rate 5000
  rosemarygate load flows --flows 20000 --hold 5s --format json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkFormat(format, "text", "json"); err != nil {
				return err
			}
			report, err := flowbench.Run(cmd.Context(), options)
			if err != nil {
				return err
			}
			w := cmd.OutOrStdout()
			if format == "json" {
				enc := json.NewEncoder(w)
				enc.SetIndent("", "  ")
				return enc.Encode(report)
			}
			fmt.Fprintf(w, "opened %d flows in %.1f s: %.0f a second, slowest second %d\n", report.Flows, report.OpenSeconds, report.FlowsPerSec, report.SlowestSecondFlows)
			fmt.Fprintf(w, "held %d flows, %d of them with an active feed, with %.0f keep-alives a second\n", report.HeldFlows, report.HeldFeeds, report.KeepAlivesPerSec)
			fmt.Fprintf(w, "memory of one flow: heap %.0f bytes, resident %.0f bytes (%.0f before garbage collection)\n", report.HeapPerFlow, report.RSSPerFlow, report.UncollectedRSSPerFlow)
			return nil
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&options.Flows, "flows", 200_000, "flows to open")
	flags.IntVar(&options.OpenRate, "rate", 5_000, "new flows a second")
	flags.DurationVar(&options.HoldDuration, "hold", 10*time.Second, "how long all flows are held open")
	flags.DurationVar(&options.KeepAlivePeriod, "keep-alive", 20*time.Second, "time between two keep-alives of a flow")
	flags.BoolVar(&options.OpenFeeds, "feeds", false, "open a feed on every flow; the stand-in's memory of it is included")
	addFormat(cmd, &format, "text", "json")
	return cmd
}
