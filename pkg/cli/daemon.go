package cli

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"rosemarygate/pkg/config"
	"rosemarygate/pkg/daemon"
	"rosemarygate/pkg/settings"
)

func newDaemon() *cobra.Command {
	var settingsPath, logLevel string
	cmd := &cobra.Command{
		Use:   "daemon",
		Short: "Run the entry daemon of this host",
		Long: `daemon runs the entry daemon of this host until SIGINT or SIGTERM. It then stops
gracefully: it hands its upstreams to other daemons and lets running requests end.`,
		Example: "  rosemarygate daemon --settings examples/karri-bend/settings/kb-1.yaml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(settingsPath)
			if err != nil {
				return usageError(err)
			}
			cfg, err := startConfig(s)
			if err != nil {
				return usageError(err)
			}
			log, err := newLogger(cmd.ErrOrStderr(), logLevel)
			if err != nil {
				return err
			}
			d, err := daemon.New(s, cfg, log)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return d.Run(ctx)
		},
	}
	cmd.Flags().StringVar(&settingsPath, "settings", "", "settings file of the daemon (required)")
	cmd.Flags().StringVar(&logLevel, "log", "info", "log level: debug, info, warning or error")
	// The flag exists, so this cannot fail.
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

// startConfig returns the configuration in the folder of the settings, or nil if the configuration comes
// from control replicas.
func startConfig(s *settings.Daemon) (*config.Config, error) {
	if s.ConfigDir == "" {
		return nil, nil
	}
	return config.LoadConfig(s.ConfigDir)
}
