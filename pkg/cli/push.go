package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/config"
)

const defaultPushWait = 10 * time.Second

// pushOptions are the flags of a push.
type pushOptions struct {
	control                     controlFlags
	changeID, operator, summary string
	removedNames                []string
	wait                        time.Duration
	replaceNewer                bool
}

func newConfigPush() *cobra.Command {
	var o pushOptions
	cmd := &cobra.Command{
		Use:   "push DIR",
		Short: "Send the changed files of a folder to the control replicas",
		Long: "Push sends the files of a folder that are new or differ from the accepted version that the\n" +
			"folder was last equal to (recorded in DIR/" + baseFile + "). The change is accepted or refused\n" +
			"as a whole. Push waits until a majority of the replicas has it on disk and, up to --wait, until\n" +
			"every daemon has put it in force.\n\n" +
			"A push can be repeated: the replicas identify it by its change id, which is derived from the\n" +
			"content unless --change-id is given. Files are removed with --remove only.\n\n" +
			"Exit codes: 0 accepted, 1 refused or not in force everywhere, 2 wrong arguments or folder.",
		Example: `  rosemarygate config push --replica 127.1.0.1:7901 --replica 127.1.0.4:7901 ./config
  rosemarygate config push --replica 10.0.0.1:7901 --tls-certificate me.pem --tls-key me.key --tls-authority ca.pem ./config
  rosemarygate config push --replica 127.1.0.1:7901 --remove 20-old.yaml ./config`,
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: completeFolders(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.push(cmd.Context(), cmd.OutOrStdout(), args[0])
		},
	}
	o.control.add(cmd)
	addChangeFlags(cmd, &o.operator, &o.changeID)
	flags := cmd.Flags()
	flags.StringVar(&o.summary, "summary", "", "summary of the change in the history, one line")
	flags.StringSliceVar(&o.removedNames, "remove", nil, "file to remove from the accepted folder; it must already be deleted in DIR")
	flags.BoolVar(&o.replaceNewer, "replace-newer", false, "push although daemons have a newer version than the replicas after a recovery; the push replaces it")
	flags.DurationVar(&o.wait, "wait", defaultPushWait, "how long to wait until all daemons have put the change in force")
	return cmd
}

func (o *pushOptions) push(ctx context.Context, out io.Writer, dir string) error {
	folder, err := config.Load(dir)
	if err != nil {
		return usageError(addFolderTitle(dir, err))
	}
	for _, name := range o.removedNames {
		if _, err := os.Stat(filepath.Join(dir, filepath.Base(name))); err == nil {
			return usageError(errors.Errorf("file %s is to be removed but still exists in %s: delete it there first", name, dir))
		}
	}
	folderBase, err := readBase(dir)
	if err != nil {
		return usageError(err)
	}
	push := &controlpb.Push{BaseVersion: folderBase.Version, Files: folderBase.fileChanges(folder.Files(), o.removedNames)}
	if len(push.GetFiles()) == 0 {
		_, err := fmt.Fprintf(out, "nothing to push: %s equals version %d\n", dir, folderBase.Version)
		return errors.WithStack(err)
	}
	reply, err := o.send(ctx, push)
	if err != nil {
		return err
	}
	if err := folderBase.recordPush(dir, reply.GetReply().GetVersion(), push); err != nil {
		return err
	}
	return printPush(out, reply)
}

func (o *pushOptions) send(ctx context.Context, push *controlpb.Push) (*controlpb.PushReply, error) {
	if o.changeID == "" {
		o.changeID = contentChangeID(push)
	}
	request := &controlpb.PushRequest{
		ChangeId: o.changeID, Operator: o.operator, Summary: o.summary, Push: push, WaitMs: uint32(o.wait.Milliseconds()),
		ReplaceNewer: o.replaceNewer,
	}
	return callReplicas(ctx, &o.control, o.wait, func(ctx context.Context, c controlpb.OperatorClient) (*controlpb.PushReply, error) {
		return c.Push(ctx, request)
	})
}

// recordPush makes the accepted version of a push the base of the folder and saves it.
func (b *base) recordPush(dir string, version uint64, push *controlpb.Push) error {
	b.Version = max(b.Version, version)
	b.FoldedFiles = nil
	for _, c := range push.GetFiles() {
		b.FileSums[c.GetName()] = hexSHA256(c.GetData())
		if c.GetRemove() {
			delete(b.FileSums, c.GetName())
		}
	}
	return b.save(dir)
}

func printPush(out io.Writer, reply *controlpb.PushReply) error {
	outcome := "accepted"
	switch changeReply := reply.GetReply(); {
	case changeReply.GetResent():
		outcome = "was accepted before"
	case changeReply.GetUnchanged():
		outcome = "is in the accepted folder already"
	}
	fmt.Fprintf(out, "change %s: version %d\n", outcome, reply.GetReply().GetVersion())
	fmt.Fprintf(out, "in force on %d of %d daemons\n", reply.GetDaemonsInForce(), reply.GetDaemons())
	if reply.GetDaemonsInForce() < reply.GetDaemons() {
		return &exitError{code: ExitFailure, err: errors.New("some daemons do not have the version in force yet: " +
			"repeat the command to see the progress, and check the logs of the daemons without it for event 4002")}
	}
	return nil
}
