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

// drainDuration is how long a stand-in keeps serving after it has announced that it is draining.
const drainDuration = 3 * time.Second

func newUpstream() *cobra.Command {
	var upstreamConfig standin.Config
	var answerSizes map[string]int
	cmd := &cobra.Command{
		Use:   "upstream",
		Short: "Run a stand-in upstream",
		Long: `upstream runs a stand-in upstream that announces itself to daemons, serves feeds and
answers requests. At SIGTERM it drains: it announces that it is draining, keeps serving open
feeds for 3 s and exits.`,
		Example: `  rosemarygate upstream --service karri-bend/label --name label-1 --data-centre perth-a \
    --listen 127.1.1.1:9001 --announce 127.1.0.1:7002 --slots 3 --credential SECRET`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			upstreamConfig.AnswerSize = answerSizes
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			serveCtx, end := context.WithCancel(context.Background())
			defer end()
			upstream, done, err := standin.Start(serveCtx, upstreamConfig)
			if err != nil {
				return err
			}
			fmt.Fprintln(cmd.ErrOrStderr(), "upstream listens on", upstream.Address())
			select {
			case err := <-done:
				return err
			case <-ctx.Done():
			}
			upstream.Drain()
			time.Sleep(drainDuration)
			end()
			return <-done
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&upstreamConfig.Service, "service", "", `service as "user/service" (required)`)
	flags.StringVar(&upstreamConfig.Name, "name", "", "name of the upstream (required)")
	flags.StringVar(&upstreamConfig.DataCentre, "data-centre", "", "data centre of the upstream (required)")
	flags.StringVar(&upstreamConfig.Listen, "listen", "127.0.0.1:0", "IP:port to listen on")
	flags.StringSliceVar(&upstreamConfig.Registries, "announce", nil, "gRPC addresses of daemons to announce to (required)")
	flags.IntVar(&upstreamConfig.Slots, "slots", 2, "number of requests that run at the same time")
	flags.IntVar(&upstreamConfig.FlowLimit, "flow-limit", 2000, "maximum number of open flows")
	flags.StringVar(&upstreamConfig.Credential, "credential", "", "credential of the service (required)")
	flags.DurationVar(&upstreamConfig.ServiceTime, "service-time", 5*time.Millisecond, "mean service time")
	flags.DurationVar(&upstreamConfig.FeedPeriod, "feed-period", time.Second, "time between two feed items")
	flags.StringToIntVar(&answerSizes, "answer-size", nil, "answer size in bytes by request class, for example sheet=30000")
	flags.Uint64Var(&upstreamConfig.Seed, "seed", 1, "seed of service times")
	for _, name := range []string{"service", "name", "data-centre", "announce", "credential"} {
		// The flags exist, so this cannot fail.
		_ = cmd.MarkFlagRequired(name)
	}
	return cmd
}
