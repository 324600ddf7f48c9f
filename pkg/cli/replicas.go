package cli

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	controlpb "rosemarygate/api/control/v1"
)

// parentCommand returns a command that only has subcommands.
func parentCommand(use, short string, commands ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{
		Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(commands...)
	return cmd
}

func newKeys() *cobra.Command {
	return parentCommand("keys", "Rotate the keys of flow tokens", newKeysRotate())
}

func newKeysRotate() *cobra.Command {
	var control controlFlags
	var operator, changeID string
	cmd := &cobra.Command{
		Use:   "rotate",
		Short: "Add a token key and remove the oldest of two",
		Long: "Rotate adds a key that is used for signing half a minute later, when all daemons have it. Open\n" +
			"flows get tokens of the new key with their keep-alives. Another rotation is refused until the\n" +
			"tokens of the oldest key have been renewed; the message names the time.\n\n" +
			"Exit codes: 0 accepted, 1 refused, 2 wrong arguments.",
		Example: "  rosemarygate keys rotate --replica 127.1.0.1:7901",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			request := &controlpb.RotateKeysRequest{ChangeId: changeIDOrUnique(changeID, "rotate"), Operator: operator}
			reply, err := callReplicas(cmd.Context(), &control, 0, func(ctx context.Context, client controlpb.OperatorClient) (*controlpb.ChangeReply, error) {
				return client.RotateKeys(ctx, request)
			})
			return printChange(cmd, reply, err)
		},
	}
	control.add(cmd)
	addChangeFlags(cmd, &operator, &changeID)
	return cmd
}

// changeIDOrUnique returns id, or a unique change id if id is empty.
func changeIDOrUnique(id, changeKind string) string {
	if id != "" {
		return id
	}
	return fmt.Sprintf("%s-%d", changeKind, time.Now().UnixNano())
}

func printChange(cmd *cobra.Command, reply *controlpb.ChangeReply, err error) error {
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "accepted: version %d\n", reply.GetReply().GetVersion())
	return errors.WithStack(err)
}

func newReplicas() *cobra.Command {
	return parentCommand("replicas", "Replace and recover control replicas", newReplicasReplace(), newReplicasRecover())
}

func newReplicasReplace() *cobra.Command {
	var control controlFlags
	var operator, changeID, joining, address string
	var cancel bool
	cmd := &cobra.Command{
		Use:   "replace LEAVING",
		Short: "Replace a control replica with another host",
		Long: "Replace adds a replica as a learner, lets it vote when it has caught up, and then removes the\n" +
			"leaving one. The joining daemon has to run with control.replica set and with its own entry in\n" +
			"control.replicas. The leader carries out the replacement; config history shows when it has ended.\n" +
			"A replica that only lost its disk rejoins by itself and needs no replacement.\n\n" +
			"With --cancel it cancels the replacement in progress, for example if the joining host never\n" +
			"answers. That is refused once the leaving replica has been removed.\n\n" +
			"Exit codes: 0 accepted, 1 refused, 2 wrong arguments.",
		Example: `  rosemarygate replicas replace perth-b-1 --by perth-b-2 --address 127.1.0.5:7901 --replica 127.1.0.1:7901
  rosemarygate replicas replace perth-b-1 --cancel --replica 127.1.0.1:7901`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if cancel {
				return cancelReplacement(cmd, &control, changeIDOrUnique(changeID, "cancel"), operator, args[0])
			}
			if _, err := netip.ParseAddrPort(address); err != nil {
				return usageError(errors.Errorf("address %q is not IP:port: write the gRPC address of the joining daemon", address))
			}
			request := &controlpb.ReplaceReplicaRequest{
				ChangeId: changeIDOrUnique(changeID, "replace"), Operator: operator, Leaving: args[0],
				Joining: &controlpb.ReplicaHost{Name: joining, Address: address},
			}
			reply, err := callReplicas(cmd.Context(), &control, 0, func(ctx context.Context, client controlpb.OperatorClient) (*controlpb.ChangeReply, error) {
				return client.ReplaceReplica(ctx, request)
			})
			return printChange(cmd, reply, err)
		},
	}
	control.add(cmd)
	addChangeFlags(cmd, &operator, &changeID)
	cmd.Flags().StringVar(&joining, "by", "", "name of the joining daemon")
	cmd.Flags().StringVar(&address, "address", "", "gRPC address of the joining daemon")
	cmd.Flags().BoolVar(&cancel, "cancel", false, "cancel the replacement of LEAVING that is in progress")
	cmd.MarkFlagsOneRequired("by", "cancel")
	cmd.MarkFlagsMutuallyExclusive("by", "cancel")
	cmd.MarkFlagsRequiredTogether("by", "address")
	return cmd
}

func cancelReplacement(cmd *cobra.Command, control *controlFlags, changeID, operator, leaving string) error {
	request := &controlpb.CancelReplacementRequest{ChangeId: changeID, Operator: operator, Leaving: leaving}
	reply, err := callReplicas(cmd.Context(), control, 0, func(ctx context.Context, client controlpb.OperatorClient) (*controlpb.ChangeReply, error) {
		return client.CancelReplacement(ctx, request)
	})
	return printChange(cmd, reply, err)
}
