package cli

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"rosemarygate/pkg/security"
)

const day = 24 * time.Hour

func newCertificates() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "certificates",
		Short: "Make the authority and the certificates of daemons and operators",
		Long: `certificates makes what mutual TLS between daemons, and for operators, needs. Keep the
folder of the authority off the hosts; whoever has its key can join the fleet.`,
		Example: `  rosemarygate certificates authority ./authority
  rosemarygate certificates issue --authority ./authority --name perth-a-1 --address 10.0.0.1 ./perth-a-1
  rosemarygate certificates issue --authority ./authority --name anna ./anna`,
	}
	cmd.AddCommand(newAuthority(), newIssue())
	return cmd
}

func newAuthority() *cobra.Command {
	var name string
	var days int
	cmd := &cobra.Command{
		Use:     "authority DIR",
		Short:   "Make an authority",
		Example: "  rosemarygate certificates authority ./authority",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := security.NewAuthority(name, time.Duration(days)*day)
			if err != nil {
				return err
			}
			if err := a.Write(args[0]); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "authority written to %s, valid until %s\n", args[0], a.Certificate().NotAfter.Format(time.DateOnly))
			return nil
		},
	}
	cmd.Flags().StringVar(&name, "name", "rosemarygate authority", "name of the authority")
	cmd.Flags().IntVar(&days, "days", 3650, "validity in days")
	return cmd
}

func newIssue() *cobra.Command {
	var authority, name string
	var addresses []string
	var days int
	cmd := &cobra.Command{
		Use:     "issue DIR",
		Short:   "Issue the certificate of a daemon or an operator",
		Example: "  rosemarygate certificates issue --authority ./authority --name perth-a-1 --address 10.0.0.1 ./perth-a-1",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			addrs, err := parseAddresses(addresses)
			if err != nil {
				return err
			}
			a, err := security.LoadAuthority(authority)
			if err != nil {
				return err
			}
			files, err := a.Issue(args[0], name, addrs, time.Duration(days)*day)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "tls:\n  certificate: %s\n  key: %s\n  authority: %s\n", files.Certificate, files.Key, files.Authority)
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&authority, "authority", "", "folder of the authority (required)")
	f.StringVar(&name, "name", "", "name of the daemon or the operator (required)")
	f.StringSliceVar(&addresses, "address", nil, "IP address of the host; a daemon needs its own")
	f.IntVar(&days, "days", 365, "validity in days")
	for _, flag := range []string{"authority", "name"} {
		// The flags exist, so this cannot fail.
		_ = cmd.MarkFlagRequired(flag)
	}
	return cmd
}

func parseAddresses(list []string) ([]netip.Addr, error) {
	var out []netip.Addr
	for _, s := range list {
		a, err := netip.ParseAddr(s)
		if err != nil {
			return nil, usageError(errors.Errorf("address %q is not an IP address: give the address that the daemon binds to", s))
		}
		out = append(out, a)
	}
	return out, nil
}
