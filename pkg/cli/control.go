package cli

import (
	"context"
	"os/user"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/control/replica"
	"rosemarygate/pkg/control/state"
	"rosemarygate/pkg/control/transport"
	"rosemarygate/pkg/security"
	"rosemarygate/pkg/settings"
)

// answerTimeout exceeds the time that a replica takes to find that it has no majority.
const answerTimeout = 7 * time.Second

// controlFlags tell how the control replicas are reached.
type controlFlags struct {
	replicas []string
	tls      settings.TLS
}

// add adds the flags to a command that always asks replicas.
func (c *controlFlags) add(cmd *cobra.Command) {
	c.addOptional(cmd)
	// The flag exists, so this cannot fail.
	_ = cmd.MarkFlagRequired("replica")
}

func (c *controlFlags) addOptional(cmd *cobra.Command) {
	f := cmd.Flags()
	f.StringSliceVar(&c.replicas, "replica", nil, "gRPC address of a control replica; repeat it to name more, which are tried in order")
	f.StringVar(&c.tls.Certificate, "tls-certificate", "", "PEM file of the operator's certificate")
	f.StringVar(&c.tls.Key, "tls-key", "", "PEM file of the certificate's key")
	f.StringVar(&c.tls.Authority, "tls-authority", "", "PEM file of the authority that signed the replicas' certificates")
}

func (c *controlFlags) check() error {
	t := c.tls
	if !t.Plaintext() && (t.Certificate == "" || t.Key == "" || t.Authority == "") {
		return usageError(errors.New("TLS is incomplete: give --tls-certificate, --tls-key and --tls-authority, or none for plaintext on loopback"))
	}
	return nil
}

// call asks the replicas in order until one decides. A change is safe to ask for again, since it
// carries a change id.
func call[A any](ctx context.Context, c *controlFlags, wait time.Duration, ask func(context.Context, controlpb.OperatorClient) (A, error)) (A, error) {
	var none A
	if err := c.check(); err != nil {
		return none, err
	}
	identity, err := security.Load(c.tls)
	if err != nil {
		return none, usageError(err)
	}
	var last error
	for _, address := range c.replicas {
		answer, err := askOne(ctx, address, identity, wait, ask)
		if err == nil {
			return answer, nil
		}
		if !tryNext(err) {
			return none, refusedError(address, err)
		}
		// What one replica knows of the change says more than another one that is down.
		var refused *state.RefusedError
		if last == nil || errors.As(replica.RefusalOf(err), &refused) {
			last = refusedError(address, err)
		}
	}
	return none, last
}

func askOne[A any](ctx context.Context, address string, identity *security.Identity, wait time.Duration, ask func(context.Context, controlpb.OperatorClient) (A, error)) (A, error) {
	var none A
	conn, err := grpc.NewClient(address, transport.DialOptions([]grpc.DialOption{identity.Client()})...)
	if err != nil {
		return none, err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, answerTimeout+wait)
	defer cancel()
	return ask(ctx, controlpb.NewOperatorClient(conn))
}

// tryNext reports whether another replica may give a better answer.
func tryNext(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.DeadlineExceeded, codes.Unimplemented:
		return true
	}
	return false
}

// refusedError is the error of a command; its message names the remedy.
func refusedError(address string, err error) error {
	var refused *state.RefusedError
	if errors.As(replica.RefusalOf(err), &refused) {
		return &exitError{code: ExitFailure, err: refused}
	}
	st := status.Convert(err)
	switch st.Code() {
	case codes.Unimplemented:
		err = errors.Errorf("daemon %s is no control replica: name one of control.replicas with --replica", address)
	case codes.Unavailable, codes.DeadlineExceeded:
		err = errors.Errorf("replica %s cannot be reached (%s): check that it runs, the address and the TLS files, or name another one with --replica", address, st.Message())
	default:
		err = errors.Errorf("replica %s: %s", address, st.Message())
	}
	return &exitError{code: ExitFailure, err: err}
}

// addOperator adds the flags that a change carries.
func addOperator(cmd *cobra.Command, operator, changeID *string) {
	addOperatorName(cmd, operator)
	cmd.Flags().StringVar(changeID, "change-id", "", "name of this change; a change that is sent again with its id is made once")
}

func addOperatorName(cmd *cobra.Command, operator *string) {
	name := "unknown"
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	cmd.Flags().StringVar(operator, "operator", name, "name of the operator in the history")
}
