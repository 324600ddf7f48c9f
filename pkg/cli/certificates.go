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
		Short: "Create the authority and the certificates of daemons and operators",
		Long: `certificates creates an authority, and the certificates with which daemons and operators
authenticate each other by mutual TLS. Keep the folder of the authority off the hosts; whoever has
its key can join the fleet.`,
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
		Short:   "Create an authority",
		Example: "  rosemarygate certificates authority ./authority",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			authority, err := security.NewAuthority(name, time.Duration(days)*day)
			if err != nil {
				return err
			}
			if err := authority.Write(args[0]); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "authority written to %s, valid until %s\n", args[0], authority.Certificate().NotAfter.Format(time.DateOnly))
			return nil
		},
	}
	cmd.Flags().StringVar(&name, "name", "rosemarygate authority", "name of the authority")
	cmd.Flags().IntVar(&days, "days", 3650, "validity in days")
	return cmd
}

func newIssue() *cobra.Command {
	var authorityDir, name string
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
			issuer, err := security.LoadAuthority(authorityDir)
			if err != nil {
				return err
			}
			files, err := issuer.Issue(args[0], name, addrs, time.Duration(days)*day)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "tls:\n  certificate: %s\n  key: %s\n  authority: %s\n", files.Certificate, files.Key, files.Authority)
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&authorityDir, "authority", "", "folder of the authority (required)")
	flags.StringVar(&name, "name", "", "name of the daemon or the operator (required)")
	flags.StringSliceVar(&addresses, "address", nil, "IP address of the host; required for a daemon")
	flags.IntVar(&days, "days", 365, "validity in days")
	for _, flag := range []string{"authority", "name"} {
		// The flags exist, so this cannot fail.
		_ = cmd.MarkFlagRequired(flag)
	}
	return cmd
}

func parseAddresses(addresses []string) ([]netip.Addr, error) {
	var addrs []netip.Addr
	for _, text := range addresses {
		addr, err := netip.ParseAddr(text)
		if err != nil {
			return nil, usageError(errors.Errorf("address %q is not an IP address: give the address that the daemon binds to", text))
		}
		addrs = append(addrs, addr)
	}
	return addrs, nil
}
