package cli

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"rosemarygate/pkg/strictyaml"
)

// exitError is an error with an exit code.
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

// usageError returns err with the exit code for wrong arguments, settings or configuration.
func usageError(err error) error { return &exitError{code: ExitUsage, err: err} }

// execute runs the command line and returns the exit code. Errors go to stderr.
func execute(root *cobra.Command, args []string, stderr io.Writer) int {
	started := false
	// Cobra checks arguments and flags before it calls this hook, but missing flags only after it.
	// With traversal the hook also runs for commands that have hooks themselves.
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
	code, printed := exitCode(err, started)
	if !printed {
		fmt.Fprintln(stderr, "rosemarygate:", err)
	}
	return code
}

// exitCode returns the exit code of an error, and whether the command has already printed its result.
func exitCode(err error, started bool) (code int, printed bool) {
	var codedErr *exitError
	var configErrors strictyaml.Errors
	switch {
	case errors.As(err, &codedErr):
		return codedErr.code, codedErr.err == nil
	case !started, errors.As(err, &configErrors):
		return ExitUsage, false
	}
	return ExitFailure, false
}
