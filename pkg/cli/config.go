package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"rosemarygate/pkg/config"
	"rosemarygate/pkg/strictyaml"
)

func newConfig() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Check, show, compare, fold and push configuration folders",
		Long: "Commands for folders of numbered configuration files (10-users.yaml, 20-label.yaml).\n" +
			"Files are merged in the order of their numbers; a later file overrides an earlier one.\n" +
			"docs/CONFIGURATION.md lists every key.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(newConfigCheck(), newConfigShow(), newConfigDiff(), newConfigFold(), newConfigPush(),
		newConfigHistory(), newConfigExport())
	return cmd
}

func newConfigCheck() *cobra.Command {
	var format, inForceFile, controlHost string
	cmd := &cobra.Command{
		Use:   "check PATH",
		Short: "Check a configuration and report every error",
		Long: "Check of a folder decodes and merges its files and reports every error with its file,\n" +
			"line and remedy.\n\n" +
			"Check of a file takes a configuration as operators send it to the control hosts of the\n" +
			"users' platform. It reports every error, entries that can never take effect and limits that\n" +
			"contradict each other. Given the version in force, from a file or a control host, it lists\n" +
			"what changes, first what ends open flows. It changes nothing.\n\n" +
			"Exit codes: 0 valid (there may be warnings), 1 errors, 2 wrong arguments, or a file, folder or\n" +
			"version in force that cannot be read.",
		Example: `  rosemarygate config check examples/karri-bend/config
  rosemarygate config check next.json --in-force now.json
  rosemarygate config check next.json --control-host 10.0.0.4:8080 --format json`,
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: completeFolders(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkFormat(format, "text", "json"); err != nil {
				return err
			}
			if info, err := os.Stat(args[0]); err == nil && !info.IsDir() {
				return checkFile(cmd.Context(), cmd.OutOrStdout(), args[0], inForceFile, controlHost, format)
			}
			if inForceFile != "" || controlHost != "" || format != "text" {
				return usageError(errors.Errorf("%s is no file: --in-force, --control-host and --format json need one; compare folders with config diff", args[0]))
			}
			return checkFolder(cmd.OutOrStdout(), args[0])
		},
	}
	cmd.Flags().StringVar(&inForceFile, "in-force", "", "file with the configuration in force")
	cmd.Flags().StringVar(&controlHost, "control-host", "", "control address (IP:port) of a host to read the configuration in force from")
	cmd.MarkFlagsMutuallyExclusive("in-force", "control-host")
	addFormat(cmd, &format, "text", "json")
	return cmd
}

func checkFolder(out io.Writer, dir string) error {
	folder, err := config.Load(dir)
	if err != nil {
		return checkError(dir, err)
	}
	c, err := folder.Merge()
	if err != nil {
		return checkError(dir, err)
	}
	_, err = fmt.Fprintf(out, "%s: valid: %s\nfiles %d\ndigest %s\nnext free number %02d\n",
		dir, c.Summary(), len(folder.Files()), c.Digest, folder.NextNumber())
	return errors.WithStack(err)
}

// checkError gives errors in the files the exit code of a negative result. A folder that cannot be read
// is a wrong argument.
func checkError(dir string, err error) error {
	var faults strictyaml.Errors
	if errors.As(err, &faults) && !(len(faults) == 1 && faults[0].File == dir) {
		return &exitError{code: ExitFailure, err: addFolderTitle(dir, err)}
	}
	return err
}

// addFolderTitle adds a title with the folder and the number of errors to the errors of its files.
func addFolderTitle(dir string, err error) error {
	var faults strictyaml.Errors
	if !errors.As(err, &faults) || len(faults) == 0 || faults[0].File == dir {
		return err
	}
	noun := "errors"
	if len(faults) == 1 {
		noun = "error"
	}
	return &folderError{title: fmt.Sprintf("configuration folder %s has %d %s:", dir, len(faults), noun), faults: faults}
}

// folderError is a title and, below it, one line for each error in the files of a folder.
type folderError struct {
	title  string
	faults strictyaml.Errors
}

func (e *folderError) Error() string {
	return e.title + "\n  " + strings.ReplaceAll(e.faults.Error(), "\n", "\n  ")
}

func (e *folderError) Unwrap() error { return e.faults }

func newConfigShow() *cobra.Command {
	var format, outDir string
	var accepted bool
	var control controlFlags
	cmd := &cobra.Command{
		Use:   "show [DIR]",
		Short: "Print the merged configuration with the origin of each value",
		Long: "Show merges the files of a folder and prints each value with the file and line that\n" +
			"set it, or \"default\". Secrets are masked in every format.\n\n" +
			"With --accepted it shows the configuration that the control replicas accepted, and with --out\n" +
			"it writes the accepted folder byte for byte, as the base of further changes.\n\n" +
			"Exit codes: 0 success, 1 no replica with a majority answered, 2 wrong arguments or an invalid\n" +
			"folder.",
		Example: `  rosemarygate config show examples/guild/config
  rosemarygate config show --format yaml examples/guild/config
  rosemarygate config show --format json examples/guild/config | jq '.values[].path'
  rosemarygate config show --accepted --replica 127.1.0.1:7901 --out ./config`,
		Args: func(cmd *cobra.Command, args []string) error {
			if accepted {
				return cobra.NoArgs(cmd, args)
			}
			return cobra.ExactArgs(1)(cmd, args)
		},
		ValidArgsFunction: completeFolders(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkFormat(format, "text", "yaml", "json"); err != nil {
				return err
			}
			if accepted {
				return showAccepted(cmd.Context(), cmd.OutOrStdout(), &control, outDir, format)
			}
			return showFolder(cmd.OutOrStdout(), args[0], format)
		},
	}
	control.addOptional(cmd)
	cmd.Flags().BoolVar(&accepted, "accepted", false, "show what the control replicas accepted")
	cmd.Flags().StringVar(&outDir, "out", "", "with --accepted: new folder to write the accepted files to")
	cmd.MarkFlagsRequiredTogether("accepted", "replica")
	addFormat(cmd, &format, "text", "yaml", "json")
	return cmd
}

func showFolder(out io.Writer, dir, format string) error {
	c, err := config.LoadConfig(dir)
	if err != nil {
		return addFolderTitle(dir, err)
	}
	return writeConfig(out, c, format)
}

func writeConfig(out io.Writer, c *config.Config, format string) error {
	switch format {
	case "yaml":
		return c.WriteYAML(out)
	case "json":
		return c.WriteJSON(out)
	}
	return c.WriteText(out)
}

func newConfigDiff() *cobra.Command {
	var format string
	cmd := &cobra.Command{
		Use:   "diff DIR_A DIR_B",
		Short: "Print what changes from one configuration folder to another",
		Long: "Diff merges both folders and prints one line for each difference: + added, - removed,\n" +
			"~ changed. It compares the merged values, so a file that changes nothing prints nothing.\n" +
			"Secrets are masked. A line says so when a change ends open flows.\n\n" +
			"Exit codes: 0 no difference, 1 differences, 2 wrong arguments or an invalid folder.",
		Example: `  rosemarygate config diff ./config ./config-next
  rosemarygate config diff --format json ./config ./config-next`,
		Args:              cobra.ExactArgs(2),
		ValidArgsFunction: completeFolders(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return diffFolders(cmd.OutOrStdout(), args[0], args[1], format)
		},
	}
	addFormat(cmd, &format, "text", "json")
	return cmd
}

func diffFolders(out io.Writer, dirA, dirB, format string) error {
	if err := checkFormat(format, "text", "json"); err != nil {
		return err
	}
	a, err := config.LoadConfig(dirA)
	if err != nil {
		return addFolderTitle(dirA, err)
	}
	b, err := config.LoadConfig(dirB)
	if err != nil {
		return addFolderTitle(dirB, err)
	}
	changes := config.Diff(a, b)
	if err := writeChanges(out, changes, format); err != nil {
		return err
	}
	if len(changes) > 0 {
		return &exitError{code: ExitFailure}
	}
	return nil
}

func writeChanges(out io.Writer, changes []config.Change, format string) error {
	if format == "json" {
		if changes == nil {
			changes = []config.Change{}
		}
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return errors.WithStack(enc.Encode(changes))
	}
	for _, c := range changes {
		if _, err := fmt.Fprintln(out, c); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}
