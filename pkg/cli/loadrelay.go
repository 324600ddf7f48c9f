package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"rosemarygate/pkg/load/relaybench"
)

func newLoadRelay() *cobra.Command {
	var options relaybench.Options
	var format string
	cmd := &cobra.Command{
		Use:   "relay",
		Short: "Compare the packet rate of one daemon with that of a bare UDP relay",
		Long: `relay measures in turn a daemon that relays caller packets to a stand-in, a bare UDP relay with
one read and one write a packet, and an entry daemon that forwards packets of open flows to an
upstream. Each round measures all three.`,
		Example: `  rosemarygate load relay --rounds 5 --for 2s
  rosemarygate load relay --format json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkFormat(format, "text", "json"); err != nil {
				return err
			}
			report, err := relaybench.Run(cmd.Context(), options)
			if err != nil {
				return err
			}
			if format == "json" {
				enc := json.NewEncoder(cmd.OutOrStdout())
				enc.SetIndent("", "  ")
				return enc.Encode(report)
			}
			printRelay(cmd.OutOrStdout(), report)
			return nil
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&options.Rounds, "rounds", 5, "measurements of each relay")
	flags.DurationVar(&options.SampleDuration, "for", time.Second, "length of one measurement")
	flags.IntVar(&options.FrameBytes, "size", 300, "bytes of a caller packet")
	flags.IntVar(&options.Sockets, "sockets", 8, "number of caller addresses that send packets")
	addFormat(cmd, &format, "text", "json")
	return cmd
}

func printRelay(w io.Writer, report *relaybench.Report) {
	fmt.Fprintf(w, "%-6s %12s %14s %13s %8s %8s %12s %13s %12s\n", "round", "bare pkt/s", "daemon pkt/s", "entry pkt/s", "ratio", "entry",
		"bare ns/pkt", "daemon ns/pkt", "entry ns/pkt")
	for i, round := range report.Rounds {
		fmt.Fprintf(w, "%-6d %12.0f %14.0f %13.0f %8.2f %8.2f %12.0f %13.0f %12.0f\n", i+1,
			round.Bare.PacketsPerSecond, round.Daemon.PacketsPerSecond, round.Entry.PacketsPerSecond, round.Ratio, round.EntryRatio,
			round.Bare.CPUNanosPerPacket, round.Daemon.CPUNanosPerPacket, round.Entry.CPUNanosPerPacket)
	}
	fmt.Fprintf(w, "ratio: median %.2f, from %.2f to %.2f; entry daemon: median %.2f\n", report.MedianRatio, report.MinRatio, report.MaxRatio, report.MedianEntryRatio)
}
