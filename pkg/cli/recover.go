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
	var settingsPath, operator string
	var confirmed bool
	cmd := &cobra.Command{
		Use:   "recover",
		Short: "Start a new replica group from one copy after a majority lost its disks permanently",
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
			daemonSettings, err := settings.Load(settingsPath)
			if err != nil {
				return usageError(err)
			}
			if !daemonSettings.Control.Replica {
				return usageError(errors.Errorf("%s belongs to a daemon that is not a control replica: name the settings of a replica that still has its disk", settingsPath))
			}
			return recoverReplica(cmd, daemonSettings, operator, confirmed)
		},
	}
	addOperatorFlag(cmd, &operator)
	cmd.Flags().StringVar(&settingsPath, "settings", "", "settings file of the daemon (required)")
	cmd.Flags().BoolVar(&confirmed, "yes", false, "carry out the recovery; it cannot be undone")
	// The flag exists, so this cannot fail.
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

func recoverReplica(cmd *cobra.Command, daemonSettings *settings.Daemon, operator string, confirmed bool) error {
	out := cmd.OutOrStdout()
	recovery, err := replica.OpenRecovery(daemonSettings.Name, daemonSettings.DataDir)
	if err != nil {
		return &exitError{code: ExitFailure, err: err}
	}
	defer recovery.Close()
	printCopy(out, recovery)
	if recovery.IsSoleVoter() {
		_, err := fmt.Fprintln(out, "nothing to do: this replica is the only voter of its group already; start its daemon")
		return errors.WithStack(err)
	}
	if err := checkNoReplicaRunning(cmd.Context(), daemonSettings); err != nil {
		return err
	}
	printConsequences(out, recovery)
	if !confirmed {
		return &exitError{code: ExitFailure, err: errors.New("nothing was changed: repeat the command with --yes to recover from this copy")}
	}
	if err := recovery.Perform(operator, time.Now()); err != nil {
		return &exitError{code: ExitFailure, err: errors.Wrap(err, "not recovered: repeat the command")}
	}
	_, err = fmt.Fprintf(out, "recovered: versions go on above %d; start this daemon, then the other replicas with empty folders\n", recovery.State.Snapshot.Index)
	return errors.WithStack(err)
}

// checkNoReplicaRunning returns an error if another replica in the settings runs with its state.
func checkNoReplicaRunning(ctx context.Context, daemonSettings *settings.Daemon) error {
	identity, err := security.LoadIdentity(daemonSettings.TLS)
	if err != nil {
		return usageError(err)
	}
	var hosts []*controlpb.ReplicaHost
	for _, r := range daemonSettings.Control.Replicas {
		hosts = append(hosts, &controlpb.ReplicaHost{Name: r.Name, Address: r.Address.String()})
	}
	running := replica.RunningReplicas(ctx, daemonSettings.Name, hosts, []grpc.DialOption{identity.DialOption()})
	if len(running) == 0 {
		return nil
	}
	return &exitError{code: ExitFailure, err: errors.Errorf("replica %s still runs with its state, so nothing was changed: "+
		"if a majority can run again, start it instead; otherwise stop every replica, compare the copies, and recover the newest one",
		strings.Join(running, " and "))}
}

func printCopy(out io.Writer, recovery *replica.Recovery) {
	members := recovery.State.LatestMembership()
	fmt.Fprintf(out, "replica %s, data folder %s\n", recovery.Name, recovery.Dir)
	fmt.Fprintf(out, "last entry: index %d in term %d; the group has %d voters\n", recovery.State.LastIndex(), recovery.State.LastTerm(), members.Voters())
	fmt.Fprintf(out, "configuration version %d\n", recovery.Version)
	if change := recovery.LatestChange; change != nil {
		fmt.Fprintf(out, "last accepted change: version %d at %s by %s: %s\n",
			change.GetVersion(), time.UnixMilli(change.GetTimeUnixMs()).UTC().Format(time.RFC3339), maskControlCharacters(change.GetOperator()), maskControlCharacters(change.GetSummary()))
	}
}

func printConsequences(out io.Writer, recovery *replica.Recovery) {
	fmt.Fprintf(out, `this replica becomes the only voter of a new group:
- changes that were accepted after the last entry are lost, unless daemons still have them in force
- another copy with a larger term or, in the same term, a larger index is newer: recover that one instead
- the other replicas of the old group cannot join with their files, and must no longer run
- versions go on at %d
`, recovery.FirstIndex())
}
