package cli

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// addFormat adds the flag --format; the first format is the default.
func addFormat(cmd *cobra.Command, format *string, formats ...string) {
	cmd.Flags().StringVar(format, "format", formats[0], "output format: "+strings.Join(formats, ", "))
	complete := cobra.FixedCompletions(formats, cobra.ShellCompDirectiveNoFileComp)
	if err := cmd.RegisterFlagCompletionFunc("format", complete); err != nil {
		panic(err) // the flag was added above
	}
}

func checkFormat(format string, formats ...string) error {
	if slices.Contains(formats, format) {
		return nil
	}
	usageErr := errors.Errorf("format %q is unknown: use one of %s", format, strings.Join(formats, ", "))
	return &exitError{code: ExitUsage, err: usageErr}
}

// completeFolders completes up to maxFolders arguments with the names of folders.
func completeFolders(maxFolders int) cobra.CompletionFunc {
	return func(_ *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
		if len(args) >= maxFolders {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		return nil, cobra.ShellCompDirectiveFilterDirs
	}
}
