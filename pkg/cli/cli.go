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
	root := newRoot()
	root.SetArgs(args)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "rosemarygate:", err)
		return ExitFailure
	}
	return ExitOK
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "rosemarygate",
		Short:         "Layer-4 load balancer for small teams",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newVersion())
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
