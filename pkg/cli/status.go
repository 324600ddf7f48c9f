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
	var addr, format string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show a daemon's members, upstreams and flows",
		Example: `  rosemarygate status --daemon 127.1.0.1:7003
  rosemarygate status --daemon 127.1.0.1:7003 --format json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			st, err := fetchStatus(addr)
			if err != nil {
				return err
			}
			switch format {
			case "json":
				enc := json.NewEncoder(cmd.OutOrStdout())
				enc.SetIndent("", "  ")
				return enc.Encode(st)
			case "text":
				return printStatus(cmd.OutOrStdout(), st)
			default:
				return usageError(errors.Errorf("--format %q is unknown: use text or json", format))
			}
		},
	}
	cmd.Flags().StringVar(&addr, "daemon", "127.0.0.1:7003", "HTTP address of the daemon")
	cmd.Flags().StringVar(&format, "format", "text", "output format: text or json")
	return cmd
}

func fetchStatus(addr string) (*daemon.Status, error) {
	web := http.Client{Timeout: statusTimeout}
	reply, err := web.Get("http://" + addr + "/status")
	if err != nil {
		return nil, errors.Wrapf(err, "daemon %s does not answer: check the address and that it runs", addr)
	}
	defer reply.Body.Close()
	st := new(daemon.Status)
	if err := json.NewDecoder(reply.Body).Decode(st); err != nil {
		return nil, errors.Wrapf(err, "reply of %s is not a status: name the daemon's HTTP port", addr)
	}
	return st, nil
}

func printStatus(w io.Writer, st *daemon.Status) error {
	fmt.Fprintf(w, "daemon %s (%s) %s, up %.0f s, configuration version %d\n\n",
		st.Name, st.DataCentre, st.State, st.UptimeS, st.Version)
	if r := st.Replica; r != nil {
		fmt.Fprintf(w, "control replica: %s\n\n", replicaState(r))
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "DAEMON\tDATA CENTRE\tSTATE")
	for _, m := range st.Members {
		fmt.Fprintf(tw, "%s\t%s\t%s\n", m.Name, m.DataCentre, m.State)
	}
	fmt.Fprintln(tw, "\nUPSTREAM\tSERVICE\tDATA CENTRE\tOWNER\tSTATE\tFLOWS\tRUNNING\tQUEUED")
	for _, u := range st.Upstreams {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\n", u.Name, u.Service, u.DataCentre, u.Owner, upstreamState(u), upstreamLoad(u))
	}
	if len(st.Refusals) > 0 {
		fmt.Fprintln(tw, "\nSERVICE\tCOUNTER\tREASON\tCOUNT")
	}
	for _, r := range st.Refusals {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\n", r.Service, r.Counter, r.Reason, r.Count)
	}
	return tw.Flush()
}

func replicaState(r *daemon.ReplicaStatus) string {
	switch {
	case r.Leader:
		return fmt.Sprintf("%s and leader, version %d", r.Membership, r.Version)
	case r.Membership == "removed":
		return "removed from the group: its files stay, and daemons get no changes from it"
	case r.Membership == "superseded":
		return "superseded by a later incarnation: remove the folder agreement in the data folder and start the daemon again"
	case r.Membership == "none":
		return "without state: event 4003 or 4007 in the daemon's log names the reason"
	}
	return fmt.Sprintf("%s, version %d", r.Membership, r.Version)
}

func upstreamState(u daemon.UpstreamStatus) string {
	switch {
	case u.Draining:
		return "draining"
	case u.Owned && !u.Healthy:
		return "unhealthy"
	default:
		return "serving"
	}
}

// upstreamLoad shows the exact figures of the owner; other daemons do not have them.
func upstreamLoad(u daemon.UpstreamStatus) string {
	if !u.Owned {
		return "-\t-\t-"
	}
	return fmt.Sprintf("%d\t%d\t%d", u.Flows, u.Running, u.Queued)
}
