package controlhost

import (
	"context"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/control/directory"
)

// unreadableRegistrations returns registrations of which each has one text that protobuf cannot encode.
func unreadableRegistrations() []directory.Registration {
	var out []directory.Registration
	for i, change := range []func(*directory.Registration){
		func(r *directory.Registration) { r.Name = "\xff\xfe-0badc0de" },
		func(r *directory.Registration) { r.Service = "a\xc3" },
		func(r *directory.Registration) { r.DataCentre = "north\x80" },
	} {
		r := readyRegistration(directory.Key(100+i), 1, 1)
		change(&r)
		out = append(out, r)
	}
	return out
}

// Guards against a registration that cannot be encoded and is accepted, from a caller or another process.
func TestCheckRefusesUnreadableText(t *testing.T) {
	for _, r := range unreadableRegistrations() {
		_, err := proto.Marshal(r.Proto(0))
		assert.Assert(t, err != nil)
		assert.Assert(t, r.Check(0) != nil)
		_, err = directory.FromProto(r.Proto(0), 0)
		assert.Assert(t, err != nil)
	}
}

// Guards against one registration that cannot be encoded and stops the updates of all entry daemons, the
// sharing with the other control hosts and the file of registrations. The check of announcements keeps such
// registrations out; here they are in the directory all the same.
func TestUnreadableRegistrationCostsItselfAlone(t *testing.T) {
	hosts := startHosts(t, 3)
	replaceConfig(t, hosts[0], testConfig(t, 5, "a"))
	insert := func() {
		h := hosts[0]
		h.mu.Lock()
		for _, r := range unreadableRegistrations() {
			r.LastAnnounced = h.clock()
			h.directory.Announce(r)
		}
		h.mu.Unlock()
	}
	insert()
	conn, err := grpc.NewClient(hosts[0].cfg.PeerAddress.String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(t, err)
	defer conn.Close()
	for _, request := range []*entrypb.WatchRequest{{Daemon: "plain"}, {Daemon: "packed", AcceptsPacked: true}, {Daemon: "digests", RegistrationDigests: make([]uint64, 256)}} {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		stream, err := entrypb.NewWatcherClient(conn).Watch(ctx, request)
		assert.NilError(t, err)
		_, err = stream.Recv()
		assert.NilError(t, err, request.GetDaemon())
		r := readyRegistration(directory.Key(1+len(request.GetDaemon())), 1, 1)
		assert.NilError(t, hosts[0].Announce(t.Context(), r))
		for received := false; !received; {
			u, err := stream.Recv()
			assert.NilError(t, err, request.GetDaemon())
			for _, p := range u.GetRegistrations() {
				received = received || p.GetKey() == uint64(r.Key)
			}
		}
	}
	r := readyRegistration(50, 1, 1)
	assert.NilError(t, hosts[0].Announce(t.Context(), r))
	eventually(t, "the other host has the registration", func() bool {
		hosts[1].mu.Lock()
		defer hosts[1].mu.Unlock()
		_, ok := hosts[1].directory.Get(r.Incarnation)
		return ok
	})
	eventually(t, "the registration is stored", func() bool {
		_, ok := restartedHost(t, hosts[0].cfg.DataDir).directory.Get(r.Incarnation)
		return ok
	})
	assert.Assert(t, hosts[0].cfg.Metrics.Counter("registrations_not_encoded").Get() > 0)
}
