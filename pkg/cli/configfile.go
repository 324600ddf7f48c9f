package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"rosemarygate/pkg/configcheck"
	"rosemarygate/pkg/routing"
	"rosemarygate/platform"
)

// fetchTimeout bounds the wait for the configuration in force. A control host answers a read within a second.
const fetchTimeout = 5 * time.Second

// checkResult is what config check found out about a file.
type checkResult struct {
	Version  uint64                `json:"version"`
	Routes   int                   `json:"routes"`
	Services int                   `json:"services"`
	Findings []configcheck.Finding `json:"findings"`
	// InForce is the version that Changes starts from, 0 if it was not given.
	InForce uint64               `json:"in_force,omitempty"`
	Changes []configcheck.Change `json:"changes,omitempty"`
}

func checkFile(ctx context.Context, out io.Writer, path, inForceFile, controlHost, format string) error {
	next, faults, err := readTable(path)
	if err != nil {
		return err
	}
	result := checkResult{Version: next.Version, Routes: len(next.Routes), Services: len(next.Services), Findings: []configcheck.Finding{}}
	for _, f := range faults {
		finding := configcheck.Finding{Severity: configcheck.Error, Problem: f.Reason, Remedy: "correct it; a control host refuses the whole configuration"}
		if f.Route != "" {
			finding.Place = fmt.Sprintf("route %q", f.Route)
		}
		result.Findings = append(result.Findings, finding)
	}
	result.Findings = append(result.Findings, configcheck.Check(next)...)
	inForce, err := readInForce(ctx, inForceFile, controlHost)
	if err != nil {
		return err
	}
	if inForce != nil {
		result.InForce = inForce.Version
		result.Findings = append(result.Findings, configcheck.CheckVersion(inForce, next)...)
		result.Changes = configcheck.Compare(inForce, next)
	}
	if err := result.write(out, path, format); err != nil {
		return err
	}
	if len(faults) > 0 {
		return &exitError{code: ExitFailure}
	}
	return nil
}

// readTable reads a configuration in the format that operators send. Content that cannot be read at all is a
// wrong argument.
func readTable(path string) (*routing.Table, []*routing.InvalidError, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, usageError(errors.Wrap(err, "configuration cannot be read"))
	}
	table, faults, err := platform.CheckConfig(content)
	if err != nil {
		return nil, nil, usageError(errors.Wrap(err, path))
	}
	return table, faults, nil
}

// readInForce returns the table in force, nil if neither source is given.
func readInForce(ctx context.Context, file, controlHost string) (*routing.Table, error) {
	var content []byte
	var err error
	switch {
	case file != "":
		content, err = os.ReadFile(file)
	case controlHost != "":
		timeoutCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		content, err = platform.FetchConfig(timeoutCtx, controlHost)
	default:
		return nil, nil
	}
	if err == nil {
		var table *routing.Table
		if table, err = platform.DecodeConfig(content); err == nil {
			return table, nil
		}
	}
	return nil, usageError(errors.Wrap(err, "version in force cannot be read"))
}

func (r *checkResult) write(out io.Writer, path, format string) error {
	if format == "json" {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return errors.WithStack(enc.Encode(r))
	}
	errorCount := 0
	for _, f := range r.Findings {
		if f.Severity == configcheck.Error {
			errorCount++
		}
	}
	verdict := "valid"
	if errorCount > 0 {
		verdict = "invalid"
	}
	lines := []any{fmt.Sprintf("%s: %s: version %d, routes %d, services %d, errors %d, warnings %d",
		path, verdict, r.Version, r.Routes, r.Services, errorCount, len(r.Findings)-errorCount)}
	for _, f := range r.Findings {
		lines = append(lines, f)
	}
	if r.InForce > 0 {
		lines = append(lines, fmt.Sprintf("changes from version %d in force: %d", r.InForce, len(r.Changes)))
	}
	for _, c := range r.Changes {
		lines = append(lines, c)
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}
