package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"rosemarygate/pkg/daemon"
)

const statusTimeout = 3 * time.Second

func newStatus() *cobra.Command {
	var address, format string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show a daemon's members, upstreams and flows",
		Example: `  rosemarygate status --daemon 127.1.0.1:7003
  rosemarygate status --daemon 127.1.0.1:7003 --format json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			status, err := fetchStatus(address)
			if err != nil {
				return err
			}
			switch format {
			case "json":
				enc := json.NewEncoder(cmd.OutOrStdout())
				enc.SetIndent("", "  ")
				return enc.Encode(status)
			case "text":
				return printStatus(cmd.OutOrStdout(), status)
			default:
				return usageError(errors.Errorf("--format %q is unknown: use text or json", format))
			}
		},
	}
	cmd.Flags().StringVar(&address, "daemon", "127.0.0.1:7003", "HTTP address of the daemon")
	cmd.Flags().StringVar(&format, "format", "text", "output format: text or json")
	return cmd
}

func fetchStatus(address string) (*daemon.Status, error) {
	httpClient := http.Client{Timeout: statusTimeout}
	response, err := httpClient.Get("http://" + address + "/status")
	if err != nil {
		return nil, errors.Wrapf(err, "daemon %s does not answer: check the address and that it runs", address)
	}
	defer response.Body.Close()
	status := new(daemon.Status)
	if err := json.NewDecoder(response.Body).Decode(status); err != nil {
		return nil, errors.Wrapf(err, "reply of %s is not a status: name the daemon's HTTP port", address)
	}
	return status, nil
}

func printStatus(w io.Writer, status *daemon.Status) error {
	fmt.Fprintf(w, "daemon %s (%s) %s, up %.0f s, configuration version %d\n\n",
		status.Name, status.DataCentre, status.State, status.UptimeS, status.Version)
	if replica := status.Replica; replica != nil {
		fmt.Fprintf(w, "control replica: %s\n\n", replicaState(replica))
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "DAEMON\tDATA CENTRE\tSTATE")
	for _, m := range status.Members {
		fmt.Fprintf(table, "%s\t%s\t%s\n", m.Name, m.DataCentre, m.State)
	}
	fmt.Fprintln(table, "\nUPSTREAM\tSERVICE\tDATA CENTRE\tOWNER\tSTATE\tFLOWS\tRUNNING\tQUEUED")
	for _, u := range status.Upstreams {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", u.Name, u.Service, u.DataCentre, u.Owner, upstreamState(u), upstreamLoad(u))
	}
	if len(status.Refusals) > 0 {
		fmt.Fprintln(table, "\nSERVICE\tCOUNTER\tREASON\tCOUNT")
	}
	for _, refusal := range status.Refusals {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\n", refusal.Service, refusal.Counter, refusal.Reason, refusal.Count)
	}
	return table.Flush()
}

func replicaState(replica *daemon.ReplicaStatus) string {
	switch {
	case replica.Leader:
		return fmt.Sprintf("%s and leader, version %d", replica.Membership, replica.Version)
	case replica.Membership == "removed":
		return "removed from the group: its files stay, and daemons get no changes from it"
	case replica.Membership == "superseded":
		return "superseded by a later incarnation: remove the folder agreement in the data folder and start the daemon again"
	case replica.Membership == "none":
		return "without state: event 4003 or 4007 in the daemon's log names the reason"
	}
	return fmt.Sprintf("%s, version %d", replica.Membership, replica.Version)
}

func upstreamState(upstream daemon.UpstreamStatus) string {
	switch {
	case upstream.Draining:
		return "draining"
	case upstream.Owned && !upstream.Healthy:
		return "unhealthy"
	default:
		return "serving"
	}
}

// upstreamLoad returns the columns of an upstream's load. Only the owner has the exact figures.
func upstreamLoad(upstream daemon.UpstreamStatus) string {
	if !upstream.Owned {
		return "-\t-\t-"
	}
	return fmt.Sprintf("%d\t%d\t%d", upstream.Flows, upstream.Running, upstream.Queued)
}
