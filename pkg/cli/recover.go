package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"google.golang.org/grpc"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/control/replica"
	"rosemarygate/pkg/security"
	"rosemarygate/pkg/settings"
)

func newReplicasRecover() *cobra.Command {
	var path, operator string
	var confirmed bool
	cmd := &cobra.Command{
		Use:   "recover",
		Short: "Begin a new replica group from one copy after a majority lost its disks for good",
		Long: "Recover makes the stopped replica of this host the only voter of a new group. Configuration, token\n" +
			"keys, history, change ids and totals of its copy are kept; changes that only the lost replicas had\n" +
			"are lost. Without --yes it only prints what it would do: run it that way on every host that still\n" +
			"has its disk, and recover the one with the newest last entry. Start the others with empty folders\n" +
			"\"agreement\" afterwards; they join as learners.\n\n" +
			"Repeating it is safe, also after a crash. docs/operators/configuration.md describes all steps.\n\n" +
			"Exit codes: 0 recovered or nothing to do, 1 refused or not confirmed, 2 wrong arguments or settings.",
		Example: `  rosemarygate replicas recover --settings /etc/rosemarygate/daemon.yaml
  rosemarygate replicas recover --settings /etc/rosemarygate/daemon.yaml --yes`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(path)
			if err != nil {
				return usageError(err)
			}
			if !s.Control.Replica {
				return usageError(errors.Errorf("%s is of a daemon that is no control replica: name the settings of a replica that still has its disk", path))
			}
			return recoverReplica(cmd, s, operator, confirmed)
		},
	}
	addOperatorName(cmd, &operator)
	cmd.Flags().StringVar(&path, "settings", "", "settings file of the daemon (required)")
	cmd.Flags().BoolVar(&confirmed, "yes", false, "carry out what is printed; it cannot be undone")
	// The flag exists, so this cannot fail.
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

func recoverReplica(cmd *cobra.Command, s *settings.Daemon, operator string, confirmed bool) error {
	out := cmd.OutOrStdout()
	x, err := replica.OpenRecovery(s.Name, s.DataDir)
	if err != nil {
		return &exitError{code: ExitFailure, err: err}
	}
	defer x.Close()
	printCopy(out, x)
	if x.IsSoleVoter() {
		_, err := fmt.Fprintln(out, "nothing to do: this replica is the only voter of its group already; start its daemon")
		return errors.WithStack(err)
	}
	if err := checkOthers(cmd.Context(), s); err != nil {
		return err
	}
	printConsequences(out, x)
	if !confirmed {
		return &exitError{code: ExitFailure, err: errors.New("nothing was changed: run the command again with --yes to recover from this copy")}
	}
	if err := x.Perform(operator, time.Now()); err != nil {
		return &exitError{code: ExitFailure, err: errors.Wrap(err, "not recovered: run the command again")}
	}
	_, err = fmt.Fprintf(out, "recovered: versions go on above %d; start this daemon, then the other replicas with empty folders\n", x.State.Snapshot.Index)
	return errors.WithStack(err)
}

// checkOthers refuses the recovery while another replica of the settings runs with its state.
func checkOthers(ctx context.Context, s *settings.Daemon) error {
	identity, err := security.Load(s.TLS)
	if err != nil {
		return usageError(err)
	}
	var hosts []*controlpb.ReplicaHost
	for _, r := range s.Control.Replicas {
		hosts = append(hosts, &controlpb.ReplicaHost{Name: r.Name, Address: r.Address.String()})
	}
	running := replica.RunningReplicas(ctx, s.Name, hosts, []grpc.DialOption{identity.Client()})
	if len(running) == 0 {
		return nil
	}
	return &exitError{code: ExitFailure, err: errors.Errorf("replica %s still runs with its state, so nothing was changed: "+
		"if a majority can run again, start it instead; otherwise stop every replica, compare the copies, and recover the newest one",
		strings.Join(running, " and "))}
}

func printCopy(out io.Writer, x *replica.Recovery) {
	members := x.State.LatestMembership()
	fmt.Fprintf(out, "replica %s, data folder %s\n", x.Name, x.Dir)
	fmt.Fprintf(out, "last entry: index %d in term %d; the group has %d voters\n", x.State.LastIndex(), x.State.LastTerm(), members.Voters())
	fmt.Fprintf(out, "configuration version %d\n", x.Version)
	if r := x.LatestChange; r != nil {
		fmt.Fprintf(out, "last accepted change: version %d at %s by %s: %s\n",
			r.GetVersion(), time.UnixMilli(r.GetTimeUnixMs()).UTC().Format(time.RFC3339), printable(r.GetOperator()), printable(r.GetSummary()))
	}
}

func printConsequences(out io.Writer, x *replica.Recovery) {
	fmt.Fprintf(out, `this replica becomes the only voter of a new group:
- changes that were accepted after the last entry are lost, unless daemons still have them in force
- another copy with a larger term or, in the same term, a larger index is newer: recover that one instead
- the other replicas of the old group cannot join with their files, and must not run any more
- versions go on at %d
`, x.FirstIndex())
}
