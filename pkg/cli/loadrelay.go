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
	var o relaybench.Options
	var format string
	cmd := &cobra.Command{
		Use:   "relay",
		Short: "Measure the packets that one daemon passes on, against a bare UDP relay",
		Long: `relay sends caller packets to one daemon that passes them on to a stand-in, and in turn
to a bare UDP relay with one read and one write a packet. An entry daemon, which forwards
packets of open flows to an upstream, is measured beside them in each round.`,
		Example: `  rosemarygate load relay --rounds 5 --for 2s
  rosemarygate load relay --format json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkFormat(format, "text", "json"); err != nil {
				return err
			}
			r, err := relaybench.Run(cmd.Context(), o)
			if err != nil {
				return err
			}
			if format == "json" {
				enc := json.NewEncoder(cmd.OutOrStdout())
				enc.SetIndent("", "  ")
				return enc.Encode(r)
			}
			printRelay(cmd.OutOrStdout(), r)
			return nil
		},
	}
	f := cmd.Flags()
	f.IntVar(&o.Rounds, "rounds", 5, "measurements of each relay")
	f.DurationVar(&o.For, "for", time.Second, "length of one measurement")
	f.IntVar(&o.Size, "size", 300, "bytes of a caller packet")
	f.IntVar(&o.Sockets, "sockets", 8, "caller addresses that packets come from")
	addFormat(cmd, &format, "text", "json")
	return cmd
}

func printRelay(w io.Writer, r *relaybench.Report) {
	fmt.Fprintf(w, "%-6s %12s %14s %13s %8s %8s %12s %13s %12s\n", "round", "bare pkt/s", "daemon pkt/s", "entry pkt/s", "ratio", "entry",
		"bare ns/pkt", "daemon ns/pkt", "entry ns/pkt")
	for i, x := range r.Rounds {
		fmt.Fprintf(w, "%-6d %12.0f %14.0f %13.0f %8.2f %8.2f %12.0f %13.0f %12.0f\n", i+1,
			x.Bare.PacketsPerSecond, x.Daemon.PacketsPerSecond, x.Entry.PacketsPerSecond, x.Ratio, x.EntryRatio,
			x.Bare.CPUPerPacket, x.Daemon.CPUPerPacket, x.Entry.CPUPerPacket)
	}
	fmt.Fprintf(w, "ratio: median %.2f, from %.2f to %.2f; entry daemon: median %.2f\n", r.MedianRatio, r.MinRatio, r.MaxRatio, r.MedianEntryRatio)
}
