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

// wires are the control connections of a fleet. They count bytes and can be cut: a cut
// connection stays open and loses everything, also after the partition: TCP repeats its segments
// only minutes after a long one.
type wires struct {
	mu    sync.Mutex
	cut   map[string]bool  // host addresses
	bytes map[string]int64 // sent and received, by host address
}

type wire struct {
	net.Conn
	dead     atomic.Bool
	w        *wires
	from, to string
}

func (w *wires) dialer(from string) daemon.DialControl {
	return func(ctx context.Context, address string) (net.Conn, error) {
		host, _, _ := net.SplitHostPort(address)
		if w.isCut(from, host) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return &wire{Conn: conn, w: w, from: from, to: host}, nil
	}
}

func (w *wires) isCut(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return from != to && (w.cut[from] || w.cut[to])
}

// isolate cuts a host off from all others, or ends that.
func (w *wires) isolate(host string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[host] = cut
}

// perHost returns the bytes that each host sent and received.
func (w *wires) perHost() map[string]int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.bytes)
}

func (c *wire) count(n int) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	if c.from != c.to {
		c.w.bytes[c.from] += int64(n)
		c.w.bytes[c.to] += int64(n)
	}
}

func (c *wire) Write(b []byte) (int, error) {
	if c.loses() {
		return len(b), nil
	}
	c.count(len(b))
	return c.Conn.Write(b)
}

func (c *wire) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.loses() {
			c.count(n)
			return n, err
		}
	}
}

func (c *wire) loses() bool {
	if c.w.isCut(c.from, c.to) {
		c.dead.Store(true)
	}
	return c.dead.Load()
}

// maxLogLines bounds what a failed test prints. Ten thousand changes log more than 10 MB.
const maxLogLines = 400

// recentLines keeps the last lines written to it.
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

// controlFleet is a set of daemons of which the first of each data centre is a replica.
type controlFleet struct {
	t        *testing.T
	wires    *wires
	settings []*settings.Daemon
	daemons  []*daemon.Daemon
	cancel   []context.CancelFunc
	done     []chan error
	log      logrus.FieldLogger
	disks    []storage.FS // nil entries stand for the operating system's file system
	// credentials are those of operators.
	credentials grpc.DialOption
}

func newControlFleet(t *testing.T, dataCentres ...string) *controlFleet {
	f := &controlFleet{
		t: t, wires: &wires{cut: map[string]bool{}, bytes: map[string]int64{}},
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
		d, err := daemon.New(s, nil, f.log, daemon.WithControlDialer(f.wires.dialer(s.Host.String())), daemon.WithControlFS(f.disks[i]))
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
	f.await("a leader", func() bool { return f.leader() >= 0 })
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

func (f *controlFleet) await(what string, ok func() bool) time.Duration {
	f.t.Helper()
	begin := time.Now()
	for !ok() {
		assert.Assert(f.t, time.Since(begin) < 12*time.Second, "%s not reached in time", what)
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(begin)
}

// leader returns the host whose replica leads with the support of a majority, or -1.
func (f *controlFleet) leader() int {
	for i, d := range f.daemons {
		if d == nil || d.Control() == nil || f.wires.isCut(f.host(i), "") {
			continue
		}
		if st := d.Control().Status(); st.Role == agreement.Leader && st.Version > 0 {
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

// change returns the push of one file.
func change(id string, base uint64, name, data string, wait time.Duration) *controlpb.PushRequest {
	return &controlpb.PushRequest{
		ChangeId: id, Operator: "asha", WaitMs: uint32(wait.Milliseconds()),
		Push: &controlpb.Push{BaseVersion: base, Files: []*controlpb.FileChange{{Name: name, Data: []byte(data)}}},
	}
}

func serviceFile(n int) string {
	return fmt.Sprintf("users: {acme: {services: {label: {port: 7001, credential: credential-%d, classes: {sheet: {priority: 0}}}}}}\n", n)
}
