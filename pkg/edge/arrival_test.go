package edge

import (
	"net"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"rosemarygate/pkg/control/directory"
	"rosemarygate/pkg/forward"
	"rosemarygate/pkg/routing"
	"rosemarygate/pkg/telemetry"
)

// synCodec decodes datagrams that hold the number of a SYN's copies.
type synCodec struct{}

var (
	testCaller = netip.MustParseAddrPort("100.64.0.1:40000")
	testRoute  = netip.MustParseAddrPort("198.18.0.1:443")
)

func (synCodec) Decode(raw []byte, p *forward.Packet) error {
	copies, err := strconv.Atoi(string(raw))
	*p = forward.Packet{Caller: testCaller, Dest: testRoute, Flags: forward.SYN, Ack: uint32(copies), Raw: raw}
	return err
}

func (synCodec) Encapsulate(dst []byte, _ *forward.Upstream, p *forward.Packet, _ directory.Cookie) []byte {
	return append(dst, p.Raw...)
}

func (synCodec) Reset(dst []byte, _ *forward.Packet) []byte { return append(dst, "reset"...) }

// listen returns a socket on a loopback address that ends with the test.
func listen(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

// awaitTimestamps waits until the kernel stamps packets: it begins to some milliseconds after the first request.
func awaitTimestamps(t *testing.T) {
	t.Helper()
	receiver, sender := listen(t), listen(t)
	assert.NilError(t, enableTimestamps(receiver))
	control := make([]byte, timestampSize)
	eventually(t, 5*time.Second, "packets are stamped on arrival", func() bool {
		_, err := sender.WriteTo([]byte("x"), receiver.LocalAddr())
		assert.NilError(t, err)
		time.Sleep(5 * time.Millisecond)
		_, n, _, _, err := receiver.ReadMsgUDPAddrPort(make([]byte, 10), control)
		assert.NilError(t, err)
		return waitedInSocket(control[:n], time.Now()) >= 5*time.Millisecond
	})
}

// Guards against a daemon that takes a SYN for new although it waited in the socket while the process was stopped: the
// caller has sent a copy meanwhile, which may have opened the flow through another daemon.
func TestSYNsThatWaitedInSocketAreNotPlaced(t *testing.T) {
	for _, c := range []struct {
		copies  string
		wait    time.Duration
		arrives bool
	}{
		{"0", 0, true}, {"0", 250 * time.Millisecond, false}, {"1", 250 * time.Millisecond, true}, {"1", 450 * time.Millisecond, false},
		{"2", 450 * time.Millisecond, true}, {"2", 850 * time.Millisecond, false}, {"0", 2500 * time.Millisecond, false},
	} {
		t.Run(c.copies+" "+c.wait.String(), func(t *testing.T) {
			t.Parallel()
			upstream, sender := listen(t), listen(t)
			log := logrus.New()
			log.SetLevel(logrus.FatalLevel)
			d := New(Config{Name: "edge", DataCentre: "north", FlowLifetime: time.Minute, Codec: synCodec{}, Log: log, Metrics: telemetry.NewSet()})
			d.conn = listen(t)
			assert.NilError(t, enableTimestamps(d.conn))
			awaitTimestamps(t)
			d.core.SetTable(&routing.Table{Version: 1, Services: []string{"a"}, Routes: []routing.Route{
				{Name: "r", Address: testRoute, Timeout: time.Second, Split: []routing.Share{{Service: "a", Weight: 1}}},
			}})
			d.core.SetUpstream(directory.Registration{
				Incarnation: directory.Incarnation{Key: 1, StartUnixMs: 1}, Name: "u", Service: "a", Slots: 2, State: directory.Ready,
				Address: netip.MustParseAddrPort(upstream.LocalAddr().String()),
			})
			d.core.SetPrepared()
			_, err := sender.WriteTo([]byte(c.copies), d.conn.LocalAddr())
			assert.NilError(t, err)
			time.Sleep(c.wait) // the process is stopped
			go func() { _ = d.readPackets() }()
			assert.NilError(t, upstream.SetReadDeadline(time.Now().Add(300*time.Millisecond)))
			_, _, err = upstream.ReadFromUDP(make([]byte, 10))
			assert.Equal(t, err == nil, c.arrives)
			if !c.arrives {
				assert.Equal(t, d.decisionCounters[forward.StaleSYN].Get(), uint64(1))
			}
		})
	}
}

// Guards against a suspended host, whose monotonic clock stands still, that takes what it held before for new.
func TestSteadyClockCountsSuspension(t *testing.T) {
	c := newSteadyClock()
	assert.Assert(t, c.beginBoot > 0)
	c.noticeSuspension()
	assert.Equal(t, c.suspended.Load(), int64(0))
	before := c.now()
	c.beginBoot -= 3 * time.Second // the clock that counts suspensions goes on alone
	c.noticeSuspension()
	elapsed := c.now() - before
	assert.Assert(t, elapsed > 3*time.Second-minSuspension && elapsed < 4*time.Second, "%s", elapsed)
	c.noticeSuspension()
	assert.Assert(t, c.now()-before < 4*time.Second, "the suspension counts twice")
}

// Guards against waits that are negative or invented when the time of day is set back or the system gives no time.
func TestWaitedInSocketWithoutArrivalTime(t *testing.T) {
	assert.Equal(t, waitedInSocket(nil, time.Now()), time.Duration(0))
	assert.Equal(t, waitedInSocket(make([]byte, timestampSize), time.Now()), time.Duration(0))
	assert.Equal(t, waitedInSocket(make([]byte, 5), time.Now()), time.Duration(0))
	receiver, sender := listen(t), listen(t)
	assert.NilError(t, enableTimestamps(receiver))
	_, err := sender.WriteTo([]byte("x"), receiver.LocalAddr())
	assert.NilError(t, err)
	control := make([]byte, timestampSize)
	_, n, _, _, err := receiver.ReadMsgUDPAddrPort(make([]byte, 10), control)
	assert.NilError(t, err)
	assert.Equal(t, waitedInSocket(control[:n], time.Now().Add(-time.Minute)), time.Duration(0))
	waited := waitedInSocket(control[:n], time.Now().Add(time.Minute))
	assert.Assert(t, waited > 59*time.Second && waited < 61*time.Second, "%s", waited)
}
