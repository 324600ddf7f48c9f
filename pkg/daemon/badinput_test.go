package daemon_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	wirepb "rosemarygate/api/wire/v1"
	"rosemarygate/client"
	"rosemarygate/pkg/config"
	"rosemarygate/pkg/daemon"
	"rosemarygate/pkg/fleet"
	"rosemarygate/pkg/frame"
	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/relay"
	"rosemarygate/pkg/standin"
)

const (
	quietPort = 4301
	floodPort = 4302
	sheetSize = 1 << 20 // bytes
)

// startFleet starts one daemon and two services with one upstream each.
func startFleet(t *testing.T) *fleet.Fleet {
	folder, err := config.FromFiles([]config.File{{Name: "10-test.yaml", Data: fmt.Appendf(nil, `users:
  test:
    services:
      quiet:
        port: %d
        credential: test-credential
        classes:
          any: {priority: 0, share: 0.5, queue_limit: 64, deadline: 10s}
          sheet: {priority: 1, share: 0.3, queue_limit: 64, deadline: 30s}
      flood:
        port: %d
        credential: test-credential
        classes: {any: {priority: 0, share: 0.5, queue_limit: 64, deadline: 10s}}
`, quietPort, floodPort)}})
	assert.NilError(t, err)
	cfg, err := folder.Merge()
	assert.NilError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := fleet.New(cfg, []string{"dc"}, log)
	t.Cleanup(f.Close)
	assert.NilError(t, f.Start())
	for _, name := range []string{"quiet", "flood"} {
		assert.NilError(t, f.StartUpstream(standin.Config{
			Service: "test/" + name, Name: nameInFirstShard("test/" + name), DataCentre: "dc", Slots: 3, FlowLimit: 2000,
			Credential: "test-credential", ServiceTime: time.Millisecond, FeedPeriod: time.Second,
			AnswerSize: map[string]int{"sheet": sheetSize},
		}))
	}
	assert.NilError(t, f.WaitUpstreams(2, 10*time.Second))
	return f
}

// nameInFirstShard returns a name with which an upstream belongs to the first owner core. The upstreams
// of all services share that core, where they can disturb each other most.
func nameInFirstShard(service string) string {
	for i := 0; ; i++ {
		name := fmt.Sprintf("up-%d", i)
		if ident.Upstream(service, "dc", name)%daemon.ShardCount == 0 {
			return name
		}
	}
}

// counters reads the daemon's metrics, summed over services. Dropped packets are listed by reason.
func counters(t *testing.T, f *fleet.Fleet) map[string]float64 {
	resp, err := http.Get("http://" + f.Daemon(0).HTTPAddr().String() + "/metrics")
	assert.NilError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	out := map[string]float64{}
	for line := range strings.Lines(string(b)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		v, err := strconv.ParseFloat(value, 64)
		assert.NilError(t, err)
		metric, labels, _ := strings.Cut(name, "{")
		if strings.HasSuffix(metric, "packets_dropped_total") {
			metric = strings.Trim(strings.TrimPrefix(labels, "reason="), `"}`)
		}
		out[metric] += v
	}
	return out
}

// attacker sends single packets from a socket of its own.
type attacker struct {
	t    *testing.T
	conn *net.UDPConn
	to   netip.AddrPort
}

func newAttacker(t *testing.T, f *fleet.Fleet, port uint16) *attacker {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return &attacker{t: t, conn: conn, to: netip.AddrPortFrom(f.Hosts()[0].Addr, port)}
}

func (a *attacker) send(b []byte) {
	_, err := a.conn.WriteToUDPAddrPort(b, a.to)
	assert.NilError(a.t, err)
}

// exchange sends a packet and returns the replies. It fails the test when they are larger than the
// packet.
func (a *attacker) exchange(b []byte) [][]byte {
	a.t.Helper()
	a.send(b)
	var replies [][]byte
	size := 0
	buf := make([]byte, 4096)
	for {
		assert.NilError(a.t, a.conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
		n, err := a.conn.Read(buf)
		if err != nil {
			break
		}
		size += n
		replies = append(replies, bytes.Clone(buf[:n]))
	}
	assert.Assert(a.t, size <= len(b), "replies of %d bytes to a packet of %d", size, len(b))
	return replies
}

func encode(t *testing.T, fr *wirepb.Frame) []byte {
	b, err := frame.Encode(nil, fr)
	assert.NilError(t, err)
	return b
}

func openFrame(id uint64) *wirepb.Frame {
	return &wirepb.Frame{FlowId: id, Body: &wirepb.Frame_Open{Open: &wirepb.Open{}}}
}

// open opens a flow and returns its token.
func (a *attacker) open(id uint64) []byte {
	a.t.Helper()
	replies := a.exchange(encode(a.t, openFrame(id)))
	assert.Equal(a.t, len(replies), 1)
	fr, err := frame.Decode(replies[0])
	assert.NilError(a.t, err)
	assert.Assert(a.t, fr.GetOpened() != nil)
	return fr.Token
}

// Guards against invalid packets that are not counted, get a larger reply, or stop the daemon.
func TestBadPackets(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	a := newAttacker(t, f, quietPort)
	tok := a.open(1)
	keepAlive := func(id uint64, tok []byte) []byte {
		return encode(t, &wirepb.Frame{FlowId: id, Token: tok, Body: &wirepb.Frame_KeepAlive{KeepAlive: &wirepb.KeepAlive{}}})
	}
	forged := bytes.Clone(tok)
	forged[len(forged)-1] ^= 1
	unknownKey := bytes.Clone(tok)
	unknownKey[1] ^= 1
	badPart := encode(t, &wirepb.Frame{FlowId: 1, Token: tok, Body: &wirepb.Frame_Request{
		Request: &wirepb.Request{RequestId: 1, Part: 5, Parts: 2},
	}})
	noToken := encode(t, &wirepb.Frame{FlowId: 2, Body: &wirepb.Frame_Cancel{Cancel: &wirepb.Cancel{}}})
	cases := []struct {
		counter string
		packet  []byte
	}{
		{"malformed", []byte{0xff, 0xff, 0xff}},
		{"malformed", keepAlive(1, tok)[:40]},
		{"malformed", encode(t, openFrame(3))[:100]},
		{"oversize", make([]byte, frame.MaxSize+1)},
		{"oversize", make([]byte, 9000)},
		{"undersize", []byte{0x11, 1, 0, 0, 0, 0, 0, 0, 0, 0x1a, 0}}, // an open without padding
		{"missing_token", noToken},
		{"bad_part", badPart},
		{"token_malformed", keepAlive(1, tok[:20])},
		{"token_unknown_key", keepAlive(1, unknownKey)},
		{"token_forged", keepAlive(1, forged)},
		{"token_forged", keepAlive(2, tok)}, // the token of another flow
	}
	for _, x := range cases {
		before := counters(t, f)[x.counter]
		assert.Equal(t, len(a.exchange(x.packet)), 0, x.counter)
		assert.Equal(t, counters(t, f)[x.counter], before+1, x.counter)
	}
	atOtherService := newAttacker(t, f, floodPort)
	before := counters(t, f)["wrong_service"]
	assert.Equal(t, len(atOtherService.exchange(keepAlive(1, tok))), 0)
	assert.Equal(t, counters(t, f)["wrong_service"], before+1)
	testRandomPackets(t, f, a)
	a.open(9) // the daemon still serves
}

func testRandomPackets(t *testing.T, f *fleet.Fleet, a *attacker) {
	rng := rand.New(rand.NewPCG(1, 1))
	dropped := func() float64 {
		c, sum := counters(t, f), 0.0
		for _, name := range []string{"malformed", "oversize", "undersize", "bad_part", "missing_token", "token_malformed", "token_unknown_key", "token_forged"} {
			sum += c[name]
		}
		return sum
	}
	before := dropped()
	const packets = 2000
	for i := range packets {
		b := make([]byte, 1+rng.IntN(1500))
		for j := range b {
			b[j] = byte(rng.Uint32())
		}
		a.send(b)
		if i%50 == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, dropped(), before+packets)
}

// Guards against replayed packets that get larger replies, and against replays from another address
// that take the flow over.
func TestReplayedPackets(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	a := newAttacker(t, f, quietPort)
	tok := a.open(1)
	request := encode(t, &wirepb.Frame{FlowId: 1, Token: tok, Body: &wirepb.Frame_Request{Request: &wirepb.Request{
		RequestId: 1, Class: "any", DeadlineMs: 5000, Parts: 1, Payload: []byte("count"),
	}}})
	answer := a.exchange(request)
	assert.Equal(t, len(answer), 1)
	a.send(encode(t, &wirepb.Frame{FlowId: 1, Token: tok, Body: &wirepb.Frame_AnswerAck{AnswerAck: &wirepb.AnswerAck{RequestId: 1}}}))
	otherAddress := newAttacker(t, f, quietPort)
	for range 20 {
		assert.Equal(t, len(otherAddress.exchange(request)), 0)
		a.exchange(request)
	}
	c := counters(t, f)
	assert.Equal(t, c["rosemarygate_frames_other_address_total"], 20.0)
	assert.Equal(t, c["rosemarygate_requests_repeated_total"], 40.0)
	assert.Equal(t, c["rosemarygate_requests_started_total"], 1.0)
}

// Guards against invalid datagrams on the peer port that are not counted or get a reply.
func TestBadPeerDatagrams(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	a := newAttacker(t, f, f.Daemon(0).PeerAddr().Port())
	for _, b := range [][]byte{{1}, make([]byte, 100), make([]byte, 9000)} {
		before := counters(t, f)["forged_peer"]
		assert.Equal(t, len(a.exchange(b)), 0)
		assert.Equal(t, counters(t, f)["forged_peer"], before+1)
	}
	sealer := relay.NewSealer(nil) // the fleet runs without a cluster key
	for _, body := range [][]byte{{0xff}, {0x0a, 0x02, 0xff, 0xff}, relay.AppendMembership(nil, []byte{0xff})} {
		before := counters(t, f)["malformed_peer"]
		assert.Equal(t, len(a.exchange(sealer.Seal(body))), 0)
		assert.Equal(t, counters(t, f)["malformed_peer"], before+1)
	}
}

// loadResult is the result of the requests offered to a service.
type loadResult struct {
	offered, answered int
	p99               time.Duration
}

// offerLoad sends requests to the quiet service at a fixed rate for the given time.
func offerLoad(t *testing.T, f *fleet.Fleet, length time.Duration) loadResult {
	c, err := f.Client(quietPort, fleet.FabricFaults{}, 1, client.Config{})
	assert.NilError(t, err)
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), length+time.Second)
	defer cancel()
	flow, err := c.Open(ctx)
	assert.NilError(t, err)
	var mu sync.Mutex
	var durations []time.Duration
	var wg sync.WaitGroup
	out := loadResult{}
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); <-ticker.C {
		out.offered++
		wg.Go(func() {
			began := time.Now()
			r, err := flow.Do(ctx, client.Request{Class: "any", Payload: []byte("count")})
			if err == nil && r.Outcome == client.Answered {
				mu.Lock()
				durations = append(durations, time.Since(began))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	slices.Sort(durations)
	out.answered = len(durations)
	if len(durations) > 0 {
		out.p99 = durations[len(durations)*99/100]
	}
	return out
}

// Guards against a flood of opens and requests for one service that degrades another service.
func TestFloodOfOneServiceLeavesOthers(t *testing.T) {
	f := startFleet(t)
	calm := offerLoad(t, f, 2*time.Second)
	a := newAttacker(t, f, floodPort)
	tok := a.open(1)
	stop := make(chan struct{})
	done := make(chan int)
	go func() { done <- flood(a, tok, stop) }()
	busy := offerLoad(t, f, 2*time.Second)
	close(stop)
	sent := <-done
	t.Logf("without flood: %+v; with %d flood packets: %+v", calm, sent, busy)
	assert.Assert(t, float64(calm.answered) >= 0.99*float64(calm.offered))
	assert.Assert(t, float64(busy.answered) >= 0.95*float64(busy.offered), "%+v", busy)
}

// flood sends opens of new flows and requests, as fast as one goroutine can.
func flood(a *attacker, tok []byte, stop chan struct{}) int {
	for sent := 1; ; sent++ {
		select {
		case <-stop:
			return sent
		default:
		}
		fr := openFrame(uint64(sent) + 100)
		if sent%2 == 0 {
			fr = &wirepb.Frame{FlowId: 1, Token: tok, Body: &wirepb.Frame_Request{Request: &wirepb.Request{
				RequestId: uint64(sent), Class: "any", DeadlineMs: 5000, Parts: 1, Payload: make([]byte, 500),
			}}}
		}
		b, err := frame.Encode(nil, fr)
		if err != nil {
			return sent
		}
		// A full send buffer drops packets; the flood continues.
		_, _ = a.conn.WriteToUDPAddrPort(b, a.to)
	}
}
