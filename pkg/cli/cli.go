// Package cli implements the commands of the rosemarygate binary.
package cli

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes of the binary.
const (
	ExitOK      = 0
	ExitFailure = 1 // the command ran and its result is negative
	ExitUsage   = 2 // wrong arguments or settings
)

// Version is the release of the binary.
const Version = "0.1.0"

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	return execute(newRoot(), args, os.Stderr)
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "rosemarygate",
		Short: "Layer-4 load balancer for small teams",
		Long: "rosemarygate is a layer-4 load balancer for small teams that have no platform group.\n\n" +
			"Exit codes: 0 success, 1 the command ran and its result is negative,\n" +
			"2 wrong arguments, settings or configuration.",
		Example: `  rosemarygate config check ./config
  rosemarygate completion bash > /etc/bash_completion.d/rosemarygate`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newVersion(), newConfig(), newDaemon(), newUpstream(), newStatus(), newDemo(), newLoad(),
		newTotals(), newKeys(), newReplicas(), newCall(), newFeed(), newCertificates(), newDrain(), newEdge(), newControl(), newLogs())
	return root
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintln(cmd.OutOrStdout(), "rosemarygate", Version)
		},
	}
}
