package cli

import (
	"context"
	"fmt"
	"net/netip"
	"os/signal"
	"strings"
	"syscall"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"rosemarygate/client"
	"rosemarygate/pkg/refusal"
)

// exitOutcomeUnknown is the exit code for a request that may have run.
const exitOutcomeUnknown = 3

func newCall() *cobra.Command {
	var entries []string
	var request client.Request
	var payload string
	var deadline time.Duration
	cmd := &cobra.Command{
		Use:   "call",
		Short: "Send one request to a service, as a caller does",
		Long: `call opens a flow to a service, sends one request and prints the answer.

Exit codes: 0 answered, 1 refused and certainly not run, 2 wrong arguments, 3 unknown outcome:
the request may have run.`,
		Example: `  rosemarygate call --entry 127.1.0.1:7001,127.1.0.4:7001 --class tally --payload "press 4: 12 welds"
  rosemarygate call --entry 127.1.0.1:7002 --class sheet --idempotent --payload "sheet 7"`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			serviceClient, err := dialService(entries)
			if err != nil {
				return err
			}
			defer serviceClient.Close()
			ctx, cancel := context.WithTimeout(cmd.Context(), deadline)
			defer cancel()
			request.Payload = []byte(payload)
			caller := serviceClient.NewCaller()
			defer caller.Close()
			attempts, err := caller.Do(ctx, request)
			if len(attempts) == 0 {
				return errors.Wrap(err, "request was not sent: check the entry addresses and that an upstream of the service is up")
			}
			return printResult(cmd, attempts[len(attempts)-1].Result)
		},
	}
	addEntryFlag(cmd, &entries)
	flags := cmd.Flags()
	flags.StringVar(&request.Class, "class", "", "request class")
	flags.BoolVar(&request.Idempotent, "idempotent", false, "the request may run more than once")
	flags.StringVar(&payload, "payload", "", "content of the request")
	flags.DurationVar(&deadline, "deadline", 5*time.Second, "deadline of the request")
	return cmd
}

func printResult(cmd *cobra.Command, result client.Result) error {
	reason := refusal.Name(result.Reason) + ": " + refusal.Meaning(result.Reason)
	switch result.Outcome {
	case client.Answered:
		_, err := fmt.Fprintln(cmd.OutOrStdout(), readable(result.Answer))
		return err
	case client.NotRun:
		return errors.Errorf("not run (%s): %s", reason, refusal.Remedy(result.Reason))
	case client.Deadline:
		return errors.Errorf("no answer in time (%s): the request is idempotent and may be sent again", reason)
	default:
		return &exitError{code: exitOutcomeUnknown, err: errors.Errorf(
			"unknown (%s): the request may have run; ask the service before sending it again", reason)}
	}
}

// readable returns bytes as text. Bytes that a terminal cannot show are written as \xNN.
func readable(b []byte) string {
	var out strings.Builder
	for len(b) > 0 {
		r, size := utf8.DecodeRune(b)
		if r == utf8.RuneError && size == 1 || !unicode.IsPrint(r) && !unicode.IsSpace(r) {
			for _, c := range b[:size] {
				fmt.Fprintf(&out, `\x%02x`, c)
			}
		} else {
			out.WriteRune(r)
		}
		b = b[size:]
	}
	return out.String()
}

func newFeed() *cobra.Command {
	var entries []string
	var topic string
	var afterSequence uint64
	cmd := &cobra.Command{
		Use:     "feed",
		Short:   "Follow the feed of a service, as a caller does",
		Long:    "feed opens a flow, subscribes to a topic and prints one line for each item until SIGINT.",
		Example: `  rosemarygate feed --entry 127.1.0.1:7001,127.1.0.4:7001 --topic press-4`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			serviceClient, err := dialService(entries)
			if err != nil {
				return err
			}
			defer serviceClient.Close()
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			flow, err := serviceClient.Open(ctx)
			if err != nil {
				return err
			}
			defer flow.Close()
			return followFeed(ctx, cmd, flow, flow.Subscribe(topic, afterSequence))
		},
	}
	addEntryFlag(cmd, &entries)
	cmd.Flags().StringVar(&topic, "topic", "", "topic of the feed")
	cmd.Flags().Uint64Var(&afterSequence, "after", 0, "sequence number of the last item already received")
	return cmd
}

func followFeed(ctx context.Context, cmd *cobra.Command, flow *client.Flow, feed *client.Feed) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-flow.Gone():
			return errors.Wrapf(flow.Err(), "feed ended after sequence %d; continue with --after %d", feed.Last(), feed.Last())
		case item, ok := <-feed.Items():
			if !ok {
				return nil
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d\t%s\n", item.Sequence, item.Payload)
		}
	}
}

func addEntryFlag(cmd *cobra.Command, entries *[]string) {
	cmd.Flags().StringSliceVar(entries, "entry", nil, "addresses of the service at the entry hosts, IP:port (required)")
	// The flag exists, so this cannot fail.
	_ = cmd.MarkFlagRequired("entry")
}

// dialService returns a client of the service at the given entry addresses.
func dialService(entries []string) (*client.Client, error) {
	var addrs []netip.AddrPort
	for _, entry := range entries {
		addr, err := netip.ParseAddrPort(entry)
		if err != nil {
			return nil, usageError(errors.Errorf("entry %q is not IP:port: use the service's port at an entry host", entry))
		}
		addrs = append(addrs, addr)
	}
	transport, err := client.NewUDPTransport(addrs)
	if err != nil {
		return nil, err
	}
	return client.New(transport, client.Config{}), nil
}
