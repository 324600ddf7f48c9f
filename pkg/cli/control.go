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

// answerTimeout exceeds the time that a replica needs to detect that it cannot reach a majority.
const answerTimeout = 7 * time.Second

// controlFlags are the flags for connections to the control replicas.
type controlFlags struct {
	replicas []string
	tls      settings.TLS
}

// add adds the flags to a command that always calls replicas, so that --replica is required.
func (c *controlFlags) add(cmd *cobra.Command) {
	c.addOptional(cmd)
	// The flag exists, so this cannot fail.
	_ = cmd.MarkFlagRequired("replica")
}

func (c *controlFlags) addOptional(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringSliceVar(&c.replicas, "replica", nil, "gRPC address of a control replica; repeat it to name more, which are tried in order")
	flags.StringVar(&c.tls.Certificate, "tls-certificate", "", "PEM file of the operator's certificate")
	flags.StringVar(&c.tls.Key, "tls-key", "", "PEM file of the certificate's key")
	flags.StringVar(&c.tls.Authority, "tls-authority", "", "PEM file of the authority that signed the replicas' certificates")
}

func (c *controlFlags) check() error {
	t := c.tls
	if !t.Plaintext() && (t.Certificate == "" || t.Key == "" || t.Authority == "") {
		return usageError(errors.New("TLS is incomplete: give --tls-certificate, --tls-key and --tls-authority, or none for plaintext on loopback"))
	}
	return nil
}

// callReplicas sends a request to the replicas in order until one of them decides it. A change can
// be sent to several replicas, because its change id prevents it from being made twice.
func callReplicas[A any](ctx context.Context, control *controlFlags, wait time.Duration, request func(context.Context, controlpb.OperatorClient) (A, error)) (A, error) {
	var zero A
	if err := control.check(); err != nil {
		return zero, err
	}
	identity, err := security.LoadIdentity(control.tls)
	if err != nil {
		return zero, usageError(err)
	}
	var lastErr error
	for _, address := range control.replicas {
		answer, err := callReplica(ctx, address, identity, wait, request)
		if err == nil {
			return answer, nil
		}
		if !otherReplicaMayAnswer(err) {
			return zero, commandError(address, err)
		}
		// A refusal is more useful to the operator than the error of a replica that is down.
		var refused *state.RefusedError
		if lastErr == nil || errors.As(replica.RefusalOf(err), &refused) {
			lastErr = commandError(address, err)
		}
	}
	return zero, lastErr
}

func callReplica[A any](ctx context.Context, address string, identity *security.Identity, wait time.Duration, request func(context.Context, controlpb.OperatorClient) (A, error)) (A, error) {
	var zero A
	conn, err := grpc.NewClient(address, transport.DialOptions([]grpc.DialOption{identity.DialOption()})...)
	if err != nil {
		return zero, err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, answerTimeout+wait)
	defer cancel()
	return request(ctx, controlpb.NewOperatorClient(conn))
}

// otherReplicaMayAnswer reports whether another replica may answer the request after this error.
func otherReplicaMayAnswer(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.DeadlineExceeded, codes.Unimplemented:
		return true
	}
	return false
}

// commandError converts the error of a replica to the error of the command, whose message names a remedy.
func commandError(address string, err error) error {
	var refused *state.RefusedError
	if errors.As(replica.RefusalOf(err), &refused) {
		return &exitError{code: ExitFailure, err: refused}
	}
	st := status.Convert(err)
	switch st.Code() {
	case codes.Unimplemented:
		err = errors.Errorf("daemon %s is not a control replica: name one of control.replicas with --replica", address)
	case codes.Unavailable, codes.DeadlineExceeded:
		err = errors.Errorf("replica %s cannot be reached (%s): check that it runs, check the address and the TLS files, or name another replica with --replica", address, st.Message())
	default:
		err = errors.Errorf("replica %s: %s", address, st.Message())
	}
	return &exitError{code: ExitFailure, err: err}
}

// addChangeFlags adds the flags that a change carries.
func addChangeFlags(cmd *cobra.Command, operator, changeID *string) {
	addOperatorFlag(cmd, operator)
	cmd.Flags().StringVar(changeID, "change-id", "", "id of this change; a change that is sent again with the same id is made only once")
}

func addOperatorFlag(cmd *cobra.Command, operator *string) {
	name := "unknown"
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	cmd.Flags().StringVar(operator, "operator", name, "name of the operator in the history")
}
