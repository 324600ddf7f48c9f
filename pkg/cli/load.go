package cli

import "github.com/spf13/cobra"

// newLoad is the parent of the commands that measure.
func newLoad() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Measure parts of the system on this machine",
		Long: `load runs measurements on loopback addresses of this machine. Other load on the machine
changes absolute figures, so compare the figures of one run with each other.`,
		Args: cobra.NoArgs,
	}
	cmd.AddCommand(newLoadRelay(), newLoadFlows())
	return cmd
}
