package daemon_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/daemon"
	"rosemarygate/pkg/settings"
	"rosemarygate/pkg/storage"
)

const (
	testPeerPort = 7900
	testGRPCPort = 7901
	testHTTPPort = 7902
)

// controlNetwork holds the control connections of a fleet. It counts their bytes and can cut off
// hosts. A cut connection stays open and loses everything, even after the partition has ended, since
// TCP retransmits only minutes after a long partition.
type controlNetwork struct {
	mu    sync.Mutex
	cut   map[string]bool  // addresses of the hosts that are cut off
	bytes map[string]int64 // sent and received, by host address
}

type controlConn struct {
	net.Conn
	losing   atomic.Bool
	network  *controlNetwork
	from, to string
}

func (n *controlNetwork) dialer(from string) daemon.DialControl {
	return func(ctx context.Context, address string) (net.Conn, error) {
		host, _, _ := net.SplitHostPort(address)
		if n.isCut(from, host) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return &controlConn{Conn: conn, network: n, from: from, to: host}, nil
	}
}

func (n *controlNetwork) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return from != to && (n.cut[from] || n.cut[to])
}

// isolate cuts a host off from all others, or reconnects it.
func (n *controlNetwork) isolate(host string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[host] = cut
}

// bytesPerHost returns the bytes that each host sent and received.
func (n *controlNetwork) bytesPerHost() map[string]int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.bytes)
}

func (c *controlConn) count(n int) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.from != c.to {
		c.network.bytes[c.from] += int64(n)
		c.network.bytes[c.to] += int64(n)
	}
}

func (c *controlConn) Write(b []byte) (int, error) {
	if c.isLosing() {
		return len(b), nil
	}
	c.count(len(b))
	return c.Conn.Write(b)
}

func (c *controlConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.isLosing() {
			c.count(n)
			return n, err
		}
	}
}

func (c *controlConn) isLosing() bool {
	if c.network.isCut(c.from, c.to) {
		c.losing.Store(true)
	}
	return c.losing.Load()
}

// maxLogLines limits the output of a failed test. Ten thousand changes log more than 10 MB.
const maxLogLines = 400

// recentLines is a writer that keeps the last lines.
type recentLines struct {
	mu    sync.Mutex
	limit int
	lines []string
}

func (r *recentLines) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, string(b))
	if len(r.lines) > r.limit {
		r.lines = slices.Delete(r.lines, 0, len(r.lines)-r.limit)
	}
	return len(b), nil
}

// controlFleet is a set of daemons. The first daemon of each data centre runs a control replica.
type controlFleet struct {
	t        *testing.T
	network  *controlNetwork
	settings []*settings.Daemon
	daemons  []*daemon.Daemon
	cancel   []context.CancelFunc
	done     []chan error
	log      logrus.FieldLogger
	disks    []storage.FS // nil entries stand for the operating system's file system
	// credentials are the dial options of operators.
	credentials grpc.DialOption
}

func newControlFleet(t *testing.T, dataCentres ...string) *controlFleet {
	f := &controlFleet{
		t: t, network: &controlNetwork{cut: map[string]bool{}, bytes: map[string]int64{}},
		credentials: grpc.WithTransportCredentials(insecure.NewCredentials()),
	}
	log := logrus.New()
	recent := &recentLines{limit: maxLogLines}
	log.SetOutput(recent)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("last lines of the daemons' logs:\n%s", strings.Join(recent.lines, ""))
		}
	})
	f.log = log
	a, b := byte(16+rand.IntN(200)), byte(rand.IntN(256))
	var replicas []settings.Replica
	var seeds []netip.AddrPort
	for i, dc := range dataCentres {
		host := netip.AddrFrom4([4]byte{127, a, b, byte(i + 1)})
		s := &settings.Daemon{
			Name: fmt.Sprintf("host-%d", i+1), DataCentre: dc, Host: host,
			Ports: settings.Ports{Peer: testPeerPort, GRPC: testGRPCPort, HTTP: testHTTPPort},
		}
		if !slices.Contains(dataCentres[:i], dc) {
			s.Control.Replica = true
			s.DataDir = filepath.Join(t.TempDir(), "data")
			replicas = append(replicas, settings.Replica{Name: s.Name, Address: s.Address(testGRPCPort)})
		}
		seeds = append(seeds, s.Address(testPeerPort))
		f.settings = append(f.settings, s)
	}
	for _, s := range f.settings {
		s.Control.Replicas = replicas
		s.Seeds = seeds
	}
	f.daemons = make([]*daemon.Daemon, len(f.settings))
	f.disks = make([]storage.FS, len(f.settings))
	f.cancel = make([]context.CancelFunc, len(f.settings))
	f.done = make([]chan error, len(f.settings))
	t.Cleanup(f.close)
	return f
}

func (f *controlFleet) start(hosts ...int) {
	for _, i := range hosts {
		s := f.settings[i]
		d, err := daemon.New(s, nil, f.log, daemon.WithControlDialer(f.network.dialer(s.Host.String())), daemon.WithControlFS(f.disks[i]))
		assert.NilError(f.t, err)
		ctx, cancel := context.WithCancel(context.Background())
		f.daemons[i], f.cancel[i], f.done[i] = d, cancel, make(chan error, 1)
		go func() {
			err := d.Run(ctx)
			f.log.WithField("daemon", s.Name).WithError(err).Info("daemon ended")
			f.done[i] <- err
		}()
	}
}

func (f *controlFleet) startAll() {
	for i := range f.settings {
		f.start(i)
	}
	f.waitFor("a leader", func() bool { return f.leader() >= 0 })
}

func (f *controlFleet) kill(i int) {
	f.daemons[i].Kill()
	<-f.done[i]
	f.cancel[i]()
	f.daemons[i] = nil
}

func (f *controlFleet) close() {
	for i, d := range f.daemons {
		if d != nil {
			f.kill(i)
		}
	}
}

func (f *controlFleet) waitFor(condition string, ok func() bool) time.Duration {
	f.t.Helper()
	begin := time.Now()
	for !ok() {
		assert.Assert(f.t, time.Since(begin) < 12*time.Second, "%s not reached in time", condition)
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(begin)
}

// leader returns the index of the host whose replica is the leader and is not cut off, or -1.
func (f *controlFleet) leader() int {
	for i, d := range f.daemons {
		if d == nil || d.ControlReplica() == nil || f.network.isCut(f.host(i), "") {
			continue
		}
		if st := d.ControlReplica().Status(); st.Role == agreement.Leader && st.Version > 0 {
			return i
		}
	}
	return -1
}

func (f *controlFleet) host(i int) string { return f.settings[i].Host.String() }

func (f *controlFleet) operator(i int) controlpb.OperatorClient {
	address := f.settings[i].Address(testGRPCPort).String()
	conn, err := grpc.NewClient(address, f.credentials)
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { conn.Close() })
	return controlpb.NewOperatorClient(conn)
}

func (f *controlFleet) context() context.Context { return f.contextFor(10 * time.Second) }

func (f *controlFleet) contextFor(limit time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	f.t.Cleanup(cancel)
	return ctx
}

// pushRequest returns the request that pushes one file.
func pushRequest(id string, base uint64, name, data string, wait time.Duration) *controlpb.PushRequest {
	return &controlpb.PushRequest{
		ChangeId: id, Operator: "asha", WaitMs: uint32(wait.Milliseconds()),
		Push: &controlpb.Push{BaseVersion: base, Files: []*controlpb.FileChange{{Name: name, Data: []byte(data)}}},
	}
}

func serviceFile(n int) string {
	return fmt.Sprintf("users: {acme: {services: {label: {port: 7001, credential: credential-%d, classes: {sheet: {priority: 0}}}}}}\n", n)
}
