package cli

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/config"
)

// fetchAccepted returns the configuration that the control replicas accepted.
func fetchAccepted(ctx context.Context, control *controlFlags) (*controlpb.ShowReply, error) {
	return callReplicas(ctx, control, 0, func(ctx context.Context, client controlpb.OperatorClient) (*controlpb.ShowReply, error) {
		return client.Show(ctx, &controlpb.ShowRequest{})
	})
}

// showAccepted prints the accepted configuration, or writes it to the folder dir if that is set.
func showAccepted(ctx context.Context, out io.Writer, control *controlFlags, dir, format string) error {
	reply, err := fetchAccepted(ctx, control)
	if err != nil {
		return err
	}
	if dir != "" {
		if err := writeAccepted(dir, reply); err != nil {
			return err
		}
		_, err := fmt.Fprintf(out, "version %d, digest %s: %d files written to %s\n",
			reply.GetVersion(), hex.EncodeToString(reply.GetDigest()), len(reply.GetFiles()), dir)
		return errors.WithStack(err)
	}
	if len(reply.GetFiles()) == 0 {
		_, err := fmt.Fprintln(out, "no configuration has been accepted yet: push a folder")
		return errors.WithStack(err)
	}
	cfg, err := mergeFiles(reply.GetFiles())
	if err != nil {
		return err
	}
	return writeConfig(out, cfg, format)
}

func mergeFiles(files []*controlpb.File) (*config.Config, error) {
	configFiles := make([]config.File, len(files))
	for i, f := range files {
		configFiles[i] = config.File{Name: f.GetName(), Data: f.GetData()}
	}
	folder, err := config.FromFiles(configFiles)
	if err != nil {
		return nil, err
	}
	return folder.Merge()
}

func newConfigHistory() *cobra.Command {
	var control controlFlags
	var limit uint32
	var before uint64
	cmd := &cobra.Command{
		Use:   "history",
		Short: "List accepted changes, latest first",
		Long: "History lists the accepted changes with their version, time, operator and files.\n\n" +
			"Exit codes: 0 success, 1 no replica with a majority answered, 2 wrong arguments.",
		Example: `  rosemarygate config history --replica 127.1.0.1:7901
  rosemarygate config history --replica 127.1.0.1:7901 --limit 5 --before 120`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			request := &controlpb.HistoryRequest{BeforeVersion: before, Limit: limit}
			reply, err := callReplicas(cmd.Context(), &control, 0, func(ctx context.Context, client controlpb.OperatorClient) (*controlpb.HistoryReply, error) {
				return client.History(ctx, request)
			})
			if err != nil {
				return err
			}
			return printHistory(cmd.OutOrStdout(), reply)
		},
	}
	control.add(cmd)
	cmd.Flags().Uint32Var(&limit, "limit", 20, "number of changes")
	cmd.Flags().Uint64Var(&before, "before", 0, "list changes older than this version")
	return cmd
}

func printHistory(out io.Writer, reply *controlpb.HistoryReply) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "VERSION\tTIME\tOPERATOR\tADDED\tCHANGED\tREMOVED\tFILES\tSUMMARY")
	for _, record := range reply.GetRecords() {
		at := time.UnixMilli(record.GetTimeUnixMs()).UTC().Format(time.RFC3339)
		fmt.Fprintf(table, "%d\t%s\t%s\t%d\t%d\t%d\t%s\t%s\n", record.GetVersion(), at, maskControlCharacters(record.GetOperator()), record.GetFilesAdded(),
			record.GetFilesChanged(), record.GetFilesRemoved(), strings.Join(record.GetFiles(), " "), maskControlCharacters(record.GetSummary()))
	}
	if reply.GetTruncated() {
		fmt.Fprintln(table, "older changes were dropped from the history")
	}
	return errors.WithStack(table.Flush())
}

// maskControlCharacters replaces control characters that an operator entered; they would garble the
// terminal.
func maskControlCharacters(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == '\x7f' {
			return '?'
		}
		return r
	}, s)
}
