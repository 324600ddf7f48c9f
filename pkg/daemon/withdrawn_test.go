package daemon_test

import (
	"context"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	upstreampb "rosemarygate/api/upstream/v1"
)

// Guards against a credential that was withdrawn being accepted again after all daemons and control replicas
// have restarted at once, before they have heard from each other.
func TestWithdrawnCredentialStaysWithdrawn(t *testing.T) {
	f := newControlFleet(t, "a", "b", "c")
	f.startAll()
	announce := func(i int, credential string, limit time.Duration) error {
		conn, err := grpc.NewClient(f.settings[i].Address(testGRPCPort).String(), f.credentials)
		assert.NilError(t, err)
		defer conn.Close()
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		_, err = upstreampb.NewRegistryClient(conn).Announce(ctx, &upstreampb.AnnounceRequest{
			Service: "acme/label", Upstream: "up", DataCentre: "a", Incarnation: 1, Address: "127.0.0.1:9", Slots: 1, FlowLimit: 10, Credential: credential,
		})
		return err
	}
	accepted := func(credential string) func() bool {
		return func() bool {
			for i := range f.daemons {
				if announce(i, credential, time.Second) != nil {
					return false
				}
			}
			return true
		}
	}
	var version uint64
	f.waitFor("a configuration", func() bool {
		reply, err := f.push(0, pushRequest("first", 0, "10-acme.yaml", serviceFile(1), 5*time.Second))
		version = reply.GetReply().GetVersion()
		return err == nil
	})
	f.waitFor("the first credential is accepted", accepted("credential-1"))
	version = f.mustPush(0, pushRequest("second", version, "10-acme.yaml", serviceFile(2), 5*time.Second))
	f.waitFor("the second configuration is in force", f.allInForce(version))
	for i := range f.daemons {
		assert.Equal(t, status.Code(announce(i, "credential-1", time.Second)), codes.PermissionDenied)
	}
	for i := range f.daemons {
		f.kill(i)
	}
	f.start(0, 1, 2)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		for i := range f.daemons {
			assert.Assert(t, announce(i, "credential-1", 100*time.Millisecond) != nil, "host %d accepts the withdrawn credential", i)
		}
	}
	f.waitFor("the second credential is accepted", accepted("credential-2"))
}
