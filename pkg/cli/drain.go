package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"google.golang.org/grpc"

	upstreampb "rosemarygate/api/upstream/v1"
	"rosemarygate/pkg/daemon"
	"rosemarygate/pkg/security"
	"rosemarygate/pkg/settings"
)

const drainTimeout = 5 * time.Second

// drainFlags identify the upstream, and the daemon that is asked to drain it.
type drainFlags struct {
	service, upstream, dataCentre  string
	credential                     string
	statusAddress, registryAddress string
	tls                            settings.TLS
}

func newDrain() *cobra.Command {
	var d drainFlags
	cmd := &cobra.Command{
		Use:   "drain",
		Short: "Stop new flows and requests at an upstream; open feeds stay",
		Long: `drain withdraws the running process of an upstream. Within 2 s no daemon gives it new
flows or requests; feeds that are open stay until they end. The same process cannot register
again; restart the upstream to bring it back.

To drain a daemon, send it SIGTERM: it hands its flows over and exits.`,
		Example: `  rosemarygate drain --service karri-bend/label --upstream label-01 --data-centre perth-a \
    --credential SECRET --status 127.1.0.1:7902 --registry 127.1.0.1:7901`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := d.run(cmd.Context()); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "upstream %s drains\n", d.upstream)
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&d.service, "service", "", `service as "user/service" (required)`)
	flags.StringVar(&d.upstream, "upstream", "", "name of the upstream (required)")
	flags.StringVar(&d.dataCentre, "data-centre", "", "data centre of the upstream (required)")
	flags.StringVar(&d.credential, "credential", "", "credential of the service (required)")
	flags.StringVar(&d.statusAddress, "status", "127.0.0.1:7902", "HTTP address of a daemon")
	flags.StringVar(&d.registryAddress, "registry", "127.0.0.1:7901", "gRPC address of a daemon")
	flags.StringVar(&d.tls.Certificate, "tls-certificate", "", "PEM file of the operator's certificate")
	flags.StringVar(&d.tls.Key, "tls-key", "", "PEM file of the certificate's key")
	flags.StringVar(&d.tls.Authority, "tls-authority", "", "PEM file of the authority that signed the daemons' certificates")
	for _, name := range []string{"service", "upstream", "data-centre", "credential"} {
		// The flags exist, so this cannot fail.
		_ = cmd.MarkFlagRequired(name)
	}
	return cmd
}

func (d *drainFlags) run(ctx context.Context) error {
	status, err := fetchStatus(d.statusAddress)
	if err != nil {
		return err
	}
	incarnation, err := d.findIncarnation(status)
	if err != nil {
		return err
	}
	identity, err := security.LoadIdentity(d.tls)
	if err != nil {
		return usageError(err)
	}
	conn, err := grpc.NewClient(d.registryAddress, identity.DialOption())
	if err != nil {
		return errors.Wrapf(err, "daemon %s", d.registryAddress)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	_, err = upstreampb.NewRegistryClient(conn).Withdraw(ctx, &upstreampb.WithdrawRequest{
		Service: d.service, Upstream: d.upstream, DataCentre: d.dataCentre,
		Incarnation: incarnation, Credential: d.credential,
	})
	return errors.Wrapf(err, "upstream %s was not drained", d.upstream)
}

// findIncarnation returns the incarnation of the upstream's running process.
func (d *drainFlags) findIncarnation(status *daemon.Status) (uint64, error) {
	for _, u := range status.Upstreams {
		if u.Service == d.service && u.Name == d.upstream && u.DataCentre == d.dataCentre {
			return u.Incarnation, nil
		}
	}
	return 0, errors.Errorf("daemon %s has no upstream %s of %s in %s: see rosemarygate status", d.statusAddress, d.upstream, d.service, d.dataCentre)
}
