package cli

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"rosemarygate/pkg/standin"
)

// drainWait is how long a stand-in serves after it announced that it is leaving.
const drainWait = 3 * time.Second

func newUpstream() *cobra.Command {
	var c standin.Config
	var answers map[string]int
	cmd := &cobra.Command{
		Use:   "upstream",
		Short: "Run a stand-in upstream",
		Long: `upstream runs a stand-in upstream that announces itself to daemons, serves feeds and
answers requests. At SIGTERM it drains: it announces that it is leaving, goes on serving
open feeds for 3 s and ends.`,
		Example: `  rosemarygate upstream --service karri-bend/label --name label-1 --data-centre perth-a \
    --listen 127.1.1.1:9001 --announce 127.1.0.1:7002 --slots 3 --credential SECRET`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c.AnswerSize = answers
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			serveCtx, end := context.WithCancel(context.Background())
			defer end()
			u, done, err := standin.Start(serveCtx, c)
			if err != nil {
				return err
			}
			fmt.Fprintln(cmd.ErrOrStderr(), "upstream listens on", u.Address())
			select {
			case err := <-done:
				return err
			case <-ctx.Done():
			}
			u.Drain()
			time.Sleep(drainWait)
			end()
			return <-done
		},
	}
	f := cmd.Flags()
	f.StringVar(&c.Service, "service", "", `service as "user/service" (required)`)
	f.StringVar(&c.Name, "name", "", "name of the upstream (required)")
	f.StringVar(&c.DataCentre, "data-centre", "", "data centre of the upstream (required)")
	f.StringVar(&c.Listen, "listen", "127.0.0.1:0", "IP:port to listen on")
	f.StringSliceVar(&c.Registries, "announce", nil, "gRPC addresses of daemons to announce to (required)")
	f.IntVar(&c.Slots, "slots", 2, "requests run at once")
	f.IntVar(&c.FlowLimit, "flow-limit", 2000, "open flows")
	f.StringVar(&c.Credential, "credential", "", "credential of the service (required)")
	f.DurationVar(&c.ServiceTime, "service-time", 5*time.Millisecond, "mean service time")
	f.DurationVar(&c.FeedPeriod, "feed-period", time.Second, "time between two feed items")
	f.StringToIntVar(&answers, "answer-size", nil, "answer size in bytes by request class, for example sheet=30000")
	f.Uint64Var(&c.Seed, "seed", 1, "seed of service times")
	for _, name := range []string{"service", "name", "data-centre", "announce", "credential"} {
		// The flags exist, so this cannot fail.
		_ = cmd.MarkFlagRequired(name)
	}
	return cmd
}
