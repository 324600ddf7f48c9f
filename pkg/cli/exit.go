package cli

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"rosemarygate/pkg/strictyaml"
)

// exitError gives an error the exit code of its command.
type exitError struct {
	code int
	err  error // nil when the command already printed its result
}

func (e *exitError) Error() string {
	if e.err == nil {
		return fmt.Sprintf("exit code %d", e.code)
	}
	return e.err.Error()
}

func (e *exitError) Unwrap() error { return e.err }

// usageError marks an error as one of arguments, settings or configuration.
func usageError(err error) error { return &exitError{code: ExitUsage, err: err} }

// execute runs the command line and returns the exit code. Errors go to stderr.
func execute(root *cobra.Command, args []string, stderr io.Writer) int {
	started := false
	// Cobra reports wrong arguments and flags before it calls this hook, but missing flags
	// only after it. Traversal makes it run for commands with hooks of their own too.
	cobra.EnableTraverseRunHooks = true
	root.PersistentPreRunE = func(cmd *cobra.Command, _ []string) error {
		if err := cmd.ValidateRequiredFlags(); err != nil {
			return err
		}
		if err := cmd.ValidateFlagGroups(); err != nil {
			return err
		}
		started = true
		return nil
	}
	root.SetArgs(args)
	cmd, err := root.ExecuteC()
	if err == nil {
		return ExitOK
	}
	if !started {
		err = errors.Errorf("%v: see %q", err, cmd.CommandPath()+" --help")
	}
	code, silent := exitCode(err, started)
	if !silent {
		fmt.Fprintln(stderr, "rosemarygate:", err)
	}
	return code
}

// exitCode returns the exit code of an error and whether it was already printed.
func exitCode(err error, started bool) (code int, silent bool) {
	var coded *exitError
	var invalid strictyaml.Errors
	switch {
	case errors.As(err, &coded):
		return coded.code, coded.err == nil
	case !started, errors.As(err, &invalid):
		return ExitUsage, false
	}
	return ExitFailure, false
}
