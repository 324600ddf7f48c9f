package cli

import (
	"fmt"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"rosemarygate/pkg/control/distribution"
)

func newConfigExport() *cobra.Command {
	var out string
	cmd := &cobra.Command{
		Use:   "export COPY",
		Short: "Write the copy of the configuration on a daemon's disk into a folder",
		Long: "Export writes the files of a daemon's copy (accepted.copy in its data folder, or an older one that\n" +
			"was kept when a recovered replica group replaced it) byte for byte into a new folder. The daemon may run.\n" +
			"The folder has no accepted version as its base: to restore files after a recovery, copy them into\n" +
			"a folder that \"config show --accepted --out\" wrote, and push that one.\n\n" +
			"Exit codes: 0 success, 2 wrong arguments or no usable copy.",
		Example: "  rosemarygate config export /var/lib/rosemarygate/accepted.copy --out ./from-daemon",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := distribution.ReadCopy(args[0])
			if err != nil {
				return usageError(err)
			}
			if err := writeFiles(out, c.GetFiles()); err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "version %d: %d files written to %s\n", c.GetVersion(), len(c.GetFiles()), out)
			return errors.WithStack(err)
		},
	}
	cmd.Flags().StringVar(&out, "out", "", "new folder (required)")
	// The flag exists, so this cannot fail.
	_ = cmd.MarkFlagRequired("out")
	return cmd
}
