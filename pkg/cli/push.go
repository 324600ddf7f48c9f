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

const defaultWait = 10 * time.Second

// pushOptions are the flags of a push.
type pushOptions struct {
	control                     controlFlags
	changeID, operator, summary string
	remove                      []string
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
			"A push can be repeated: the replicas recognise it by its change id, which is derived from the\n" +
			"content unless --change-id is given. Files are removed with --remove only.\n\n" +
			"Exit codes: 0 accepted, 1 refused or not in force everywhere, 2 wrong arguments or folder.",
		Example: `  rosemarygate config push --replica 127.1.0.1:7901 --replica 127.1.0.4:7901 ./config
  rosemarygate config push --replica 10.0.0.1:7901 --tls-certificate me.pem --tls-key me.key --tls-authority ca.pem ./config
  rosemarygate config push --replica 127.1.0.1:7901 --remove 20-old.yaml ./config`,
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: completeFolder(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.push(cmd.Context(), cmd.OutOrStdout(), args[0])
		},
	}
	o.control.add(cmd)
	addOperator(cmd, &o.operator, &o.changeID)
	f := cmd.Flags()
	f.StringVar(&o.summary, "summary", "", "one line for the history")
	f.StringSliceVar(&o.remove, "remove", nil, "file to remove from the accepted folder; it must not lie in DIR any more")
	f.BoolVar(&o.replaceNewer, "replace-newer", false, "push although daemons have a newer version than the replicas after a recovery; the push replaces it")
	f.DurationVar(&o.wait, "wait", defaultWait, "how long to wait for all daemons")
	return cmd
}

func (o *pushOptions) push(ctx context.Context, out io.Writer, dir string) error {
	folder, err := config.Load(dir)
	if err != nil {
		return usageError(describe(dir, err))
	}
	for _, name := range o.remove {
		if _, err := os.Stat(filepath.Join(dir, filepath.Base(name))); err == nil {
			return usageError(errors.Errorf("file %s is to be removed but lies in %s: delete it there first", name, dir))
		}
	}
	b, err := readBase(dir)
	if err != nil {
		return usageError(err)
	}
	p := &controlpb.Push{BaseVersion: b.Version, Files: b.changes(folder.Files(), o.remove)}
	if len(p.GetFiles()) == 0 {
		_, err := fmt.Fprintf(out, "nothing to push: %s equals version %d\n", dir, b.Version)
		return errors.WithStack(err)
	}
	reply, err := o.send(ctx, p)
	if err != nil {
		return err
	}
	if err := b.accept(dir, reply.GetReply().GetVersion(), p); err != nil {
		return err
	}
	return printPush(out, reply)
}

func (o *pushOptions) send(ctx context.Context, p *controlpb.Push) (*controlpb.PushReply, error) {
	if o.changeID == "" {
		o.changeID = changeID(p)
	}
	q := &controlpb.PushRequest{
		ChangeId: o.changeID, Operator: o.operator, Summary: o.summary, Push: p, WaitMs: uint32(o.wait.Milliseconds()),
		ReplaceNewer: o.replaceNewer,
	}
	return call(ctx, &o.control, o.wait, func(ctx context.Context, c controlpb.OperatorClient) (*controlpb.PushReply, error) {
		return c.Push(ctx, q)
	})
}

// accept makes an accepted version the base of the folder.
func (b *base) accept(dir string, version uint64, p *controlpb.Push) error {
	b.Version = max(b.Version, version)
	b.Folded = nil
	for _, c := range p.GetFiles() {
		b.Sums[c.GetName()] = sum(c.GetData())
		if c.GetRemove() {
			delete(b.Sums, c.GetName())
		}
	}
	return b.write(dir)
}

func printPush(out io.Writer, reply *controlpb.PushReply) error {
	what := "accepted"
	switch r := reply.GetReply(); {
	case r.GetResent():
		what = "was accepted before"
	case r.GetUnchanged():
		what = "is in the accepted folder already"
	}
	fmt.Fprintf(out, "change %s: version %d\n", what, reply.GetReply().GetVersion())
	fmt.Fprintf(out, "in force on %d of %d daemons\n", reply.GetDaemonsInForce(), reply.GetDaemons())
	if reply.GetDaemonsInForce() < reply.GetDaemons() {
		return &exitError{code: ExitFailure, err: errors.New("some daemons do not have the version in force yet: " +
			"repeat the command to see the progress, and check the log of daemons that stay behind for event 4002")}
	}
	return nil
}
