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

// fetch returns the accepted configuration.
func fetch(ctx context.Context, c *controlFlags) (*controlpb.ShowReply, error) {
	return call(ctx, c, 0, func(ctx context.Context, client controlpb.OperatorClient) (*controlpb.ShowReply, error) {
		return client.Show(ctx, &controlpb.ShowRequest{})
	})
}

// showAccepted prints the accepted configuration, or writes its folder.
func showAccepted(ctx context.Context, out io.Writer, c *controlFlags, dir, format string) error {
	reply, err := fetch(ctx, c)
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
		_, err := fmt.Fprintln(out, "no configuration was accepted yet: push a folder")
		return errors.WithStack(err)
	}
	cfg, err := mergeFiles(reply.GetFiles())
	if err != nil {
		return err
	}
	return writeConfig(out, cfg, format)
}

func mergeFiles(files []*controlpb.File) (*config.Config, error) {
	out := make([]config.File, len(files))
	for i, f := range files {
		out[i] = config.File{Name: f.GetName(), Data: f.GetData()}
	}
	folder, err := config.FromFiles(out)
	if err != nil {
		return nil, err
	}
	return folder.Merge()
}

func newConfigHistory() *cobra.Command {
	var c controlFlags
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
			q := &controlpb.HistoryRequest{BeforeVersion: before, Limit: limit}
			reply, err := call(cmd.Context(), &c, 0, func(ctx context.Context, client controlpb.OperatorClient) (*controlpb.HistoryReply, error) {
				return client.History(ctx, q)
			})
			if err != nil {
				return err
			}
			return printHistory(cmd.OutOrStdout(), reply)
		},
	}
	c.add(cmd)
	cmd.Flags().Uint32Var(&limit, "limit", 20, "number of changes")
	cmd.Flags().Uint64Var(&before, "before", 0, "list changes older than this version")
	return cmd
}

func printHistory(out io.Writer, reply *controlpb.HistoryReply) error {
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "VERSION\tTIME\tOPERATOR\tADDED\tCHANGED\tREMOVED\tFILES\tSUMMARY")
	for _, r := range reply.GetRecords() {
		at := time.UnixMilli(r.GetTimeUnixMs()).UTC().Format(time.RFC3339)
		fmt.Fprintf(tw, "%d\t%s\t%s\t%d\t%d\t%d\t%s\t%s\n", r.GetVersion(), at, printable(r.GetOperator()), r.GetFilesAdded(),
			r.GetFilesChanged(), r.GetFilesRemoved(), strings.Join(r.GetFiles(), " "), printable(r.GetSummary()))
	}
	if reply.GetTruncated() {
		fmt.Fprintln(tw, "older changes were dropped from the history")
	}
	return errors.WithStack(tw.Flush())
}

// printable keeps control characters that an operator entered off the terminal.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == '\x7f' {
			return '?'
		}
		return r
	}, s)
}
