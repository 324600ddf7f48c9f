package forward

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/control/directory"
	"rosemarygate/pkg/routing"
	"rosemarygate/pkg/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var (
	route443 = netip.MustParseAddrPort("198.18.0.1:443")
	route80  = netip.MustParseAddrPort("198.18.0.1:80")
)

func testTable(version uint64, addresses ...netip.AddrPort) *routing.Table {
	t := &routing.Table{Version: version, Services: []string{"a"}}
	for _, a := range addresses {
		t.Routes = append(t.Routes, routing.Route{Name: a.String(), Address: a, Timeout: time.Second, Split: []routing.Share{{Service: "a", Weight: 1}}})
	}
	return t
}

func testUpstream(key directory.Key, dataCentre string, state directory.State) directory.Registration {
	return directory.Registration{
		Incarnation: directory.Incarnation{Key: key, StartUnixMs: 1}, Name: key.String(), Service: "a", DataCentre: dataCentre,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(key >> 8), byte(key)}), 8080), Slots: 2, State: state,
	}
}

// newCore returns a prepared core with two routes and some upstreams in its data centre.
func newCore(upstreams int) *Core {
	c := New(Config{DataCentre: "north"}, rand.New(rand.NewPCG(1, 2)))
	c.SetTable(testTable(1, route443, route80))
	for key := range upstreams {
		c.SetUpstream(testUpstream(directory.Key(key+1), "north", directory.Ready))
	}
	c.SetPrepared()
	return c
}

func testCaller(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 8), byte(n)}), 40000)
}

func synPacket(n int, copies uint32) *Packet {
	return &Packet{Caller: testCaller(n), Dest: route443, Flags: SYN, Ack: copies}
}

func dataPacket(n int, seq uint32, cookie directory.Cookie) *Packet {
	return &Packet{Caller: testCaller(n), Dest: route443, Flags: ACK, Seq: seq, Length: 100, Cookie: cookie}
}

// Guards against packets of an open flow going to another upstream when theirs drains, becomes silent or
// suspect, or when the configuration changes.
func TestOpenFlowStays(t *testing.T) {
	c := newCore(5)
	a := c.HandlePacket(0, synPacket(1, 0))
	assert.Equal(t, a.Verdict, Forward)
	key, cookie := a.Upstream.Key, a.Cookie
	draining := testUpstream(key, "north", directory.Draining)
	draining.Silent = true
	c.SetUpstream(draining)
	c.SetTable(testTable(2, route443))
	for i := range uint32(5) {
		a = c.HandlePacket(time.Duration(i)*300*time.Millisecond, dataPacket(1, 1, cookie))
		assert.Equal(t, a.Verdict, Forward)
		assert.Equal(t, a.Upstream.Key, key)
	}
}

// Guards against a daemon failing to forward packets of flows that another daemon has placed.
func TestFlowPlacedByAnotherDaemonIsForwarded(t *testing.T) {
	first, second := newCore(5), newCore(5)
	for n := range 100 {
		a := first.HandlePacket(0, synPacket(n, 0))
		b := second.HandlePacket(0, dataPacket(n, 1, a.Cookie))
		assert.Equal(t, b.Verdict, Forward)
		assert.Equal(t, b.Upstream.Incarnation, a.Upstream.Incarnation)
	}
}

// Guards against resetting a flow whose upstream may be live: its registration may not have arrived yet.
func TestUnknownCookieIsNeverReset(t *testing.T) {
	c := newCore(2)
	other := testUpstream(77, "north", directory.Ready)
	assert.Equal(t, c.HandlePacket(0, dataPacket(1, 1, other.Cookie())).Verdict, Hold)
	assert.Equal(t, c.HandlePacket(0, dataPacket(2, 1, 12345)).Verdict, Hold)
	assert.Equal(t, len(c.Release(10*time.Millisecond)), 0)
	c.SetUpstream(other)
	released := c.Release(20 * time.Millisecond)
	assert.Equal(t, len(released), 1)
	assert.Equal(t, released[0].Action.Upstream.Key, other.Key)
	released = c.Release(holdTime)
	assert.Equal(t, len(released), 1)
	assert.Equal(t, released[0].Action, Action{Verdict: Drop, Reason: UnknownCookie})
	assert.Assert(t, !c.HasHeldPackets())
}

// Guards against unbounded memory use by held packets.
func TestHeldPacketsAreBounded(t *testing.T) {
	c := newCore(1)
	for n := range 10 * maxHeldPackets {
		c.HandlePacket(0, dataPacket(n, 1, 999))
	}
	assert.Equal(t, len(c.held), maxHeldPackets)
	assert.Equal(t, c.HandlePacket(0, dataPacket(1, 1, 999)), Action{Verdict: Drop, Reason: HoldBufferFull})
}

// Guards against callers waiting for an upstream that has certainly ended, or for a removed route.
func TestResetAfterUpstreamEndOrRouteRemoval(t *testing.T) {
	c := newCore(1)
	cookie := c.HandlePacket(0, synPacket(1, 0)).Cookie
	c.SetUpstream(testUpstream(1, "north", directory.Gone))
	assert.Equal(t, c.HandlePacket(0, dataPacket(1, 1, cookie)), Action{Verdict: Reset, Reason: UpstreamGone})
	c = newCore(1)
	cookie = c.HandlePacket(0, synPacket(1, 0)).Cookie
	c.SetTable(testTable(2, route80))
	assert.Equal(t, c.HandlePacket(0, dataPacket(1, 1, cookie)), Action{Verdict: Reset, Reason: RouteRemoved})
	rst := dataPacket(1, 1, cookie)
	rst.Flags = RST
	assert.Equal(t, c.HandlePacket(0, rst).Verdict, Drop, "a reset is not answered by a reset")
}

// Guards against applying an older table from a control host that lags behind.
func TestOlderTableIsIgnored(t *testing.T) {
	c := newCore(1)
	assert.Assert(t, c.SetTable(testTable(5, route80)))
	assert.Assert(t, !c.SetTable(testTable(4, route443, route80)))
	assert.Equal(t, c.HandlePacket(0, synPacket(1, 0)), Action{Verdict: Reset, Reason: NoRoute})
	assert.Assert(t, c.SetTable(testTable(6, route443)))
	assert.Equal(t, c.HandlePacket(0, synPacket(1, 0)).Verdict, Forward, "a route that was added again")
}

// Guards against new flows on a draining upstream, and against callers waiting in vain when no upstream
// takes new flows.
func TestNoNewFlowsWhileDraining(t *testing.T) {
	c := newCore(2)
	c.SetUpstream(testUpstream(1, "north", directory.Draining))
	for n := range 50 {
		assert.Equal(t, c.HandlePacket(0, synPacket(n, 0)).Upstream.Key, directory.Key(2))
	}
	c.SetUpstream(testUpstream(2, "north", directory.Draining))
	assert.Equal(t, c.HandlePacket(0, synPacket(99, 0)), Action{Verdict: Reset, Reason: NoUpstream})
}

// Guards against refusals by a daemon that has just started, whose routes and upstreams may be incomplete.
func TestUnpreparedDaemonRefusesNothing(t *testing.T) {
	c := New(Config{DataCentre: "north"}, rand.New(rand.NewPCG(1, 2)))
	assertDropped := func(now time.Duration, reason Reason) {
		t.Helper()
		for copies := range uint32(3) {
			heldFor, dropped := holdTime, reason
			if copyDelay(copies) < holdTime { // its caller has sent the next copy before
				heldFor, dropped = copyDelay(copies), StaleSYN
			}
			assert.Equal(t, c.HandlePacket(now, synPacket(1, copies)), Action{Verdict: Hold, Reason: reason})
			assert.Equal(t, len(c.Release(now+heldFor-1)), 0)
			released := c.Release(now + heldFor)
			assert.Equal(t, len(released), 1)
			assert.Equal(t, released[0].Action, Action{Verdict: Drop, Reason: dropped})
			now += heldFor
		}
	}
	assertDropped(0, NoTable)
	c.SetTable(testTable(1, route80))
	assertDropped(time.Second, Unprepared)
	c.SetTable(testTable(2, route443))
	assertDropped(2*time.Second, Unprepared)
	c.SetUpstream(testUpstream(1, "north", directory.Ready))
	assert.Equal(t, c.HandlePacket(3*time.Second, synPacket(1, 0)).Verdict, Forward)
}

// Guards against a held SYN not being placed as soon as the table and the upstreams have arrived, and
// against two upstreams answering two copies of it.
func TestHeldSYNIsPlacedOnce(t *testing.T) {
	c := New(Config{DataCentre: "north"}, rand.New(rand.NewPCG(1, 2)))
	for copies := range uint32(2) {
		assert.Equal(t, c.HandlePacket(time.Duration(copies)*200*time.Millisecond, synPacket(1, copies)).Verdict, Hold)
	}
	c.HandlePacket(200*time.Millisecond, synPacket(2, 0))
	c.SetTable(testTable(1, route443))
	for key := range directory.Key(5) {
		c.SetUpstream(testUpstream(key+1, "north", directory.Ready))
	}
	released := c.Release(210 * time.Millisecond)
	assert.Equal(t, len(released), 2)
	for _, r := range released {
		assert.Equal(t, r.Action.Verdict, Forward)
	}
	assert.Assert(t, !c.HasHeldPackets())
}

// Guards against a SYN being retransmitted to the same upstream after that has crashed.
func TestRetransmittedSYNGoesToAnotherUpstream(t *testing.T) {
	c := newCore(3)
	seen := map[directory.Key]bool{}
	for copies := range uint32(3) {
		a := c.HandlePacket(time.Duration(copies)*200*time.Millisecond, synPacket(1, copies))
		assert.Assert(t, !seen[a.Upstream.Key])
		seen[a.Upstream.Key] = true
	}
}

// Guards against two upstreams answering a SYN that the network has duplicated.
func TestDuplicatedSYNGoesToSameUpstream(t *testing.T) {
	c := newCore(10)
	for n := range 20 {
		first, again := c.HandlePacket(0, synPacket(n, 0)), c.HandlePacket(time.Millisecond, synPacket(n, 0))
		assert.Equal(t, first.Upstream.Key, again.Upstream.Key)
	}
}

// Guards against new flows on a crashed upstream: unanswered packets of two flows make it suspect, and
// an answer ends the suspicion.
func TestUnansweredPacketsRaiseSuspicion(t *testing.T) {
	c := newCore(2)
	dead := c.upstreamsByCookie[c.upstreams[directory.Incarnation{Key: 1, StartUnixMs: 1}].cookie]
	for n := range 2 {
		c.HandlePacket(0, dataPacket(n, 7, dead.cookie))
		c.HandlePacket(200*time.Millisecond, dataPacket(n, 7, dead.cookie))
	}
	assert.Assert(t, dead.isSuspect(210*time.Millisecond))
	for n := range 2 {
		assert.Equal(t, c.HandlePacket(210*time.Millisecond, synPacket(100+n, 0)).Upstream.Key, directory.Key(2))
	}
	answered := dataPacket(0, 8, dead.cookie)
	answered.Ack = 5
	c.HandlePacket(220*time.Millisecond, answered)
	assert.Assert(t, !dead.isSuspect(221*time.Millisecond))
	assert.Equal(t, dead.inProgress, 2)
}

// Guards against load counters that drift when flows close, change their upstream or become idle.
func TestLoadReturnsToZero(t *testing.T) {
	c := newCore(4)
	rng := rand.New(rand.NewPCG(3, 4))
	now := time.Duration(0)
	for range 20_000 {
		now += time.Duration(rng.IntN(2000)) * time.Microsecond
		n := rng.IntN(300)
		u := c.upstreams[directory.Incarnation{Key: directory.Key(1 + rng.IntN(4)), StartUnixMs: 1}]
		switch rng.IntN(5) {
		case 0:
			c.HandlePacket(now, synPacket(n, uint32(rng.IntN(3))))
		case 1:
			fin := dataPacket(n, rng.Uint32(), u.cookie)
			fin.Flags |= FIN
			c.HandlePacket(now, fin)
		default:
			p := dataPacket(n, uint32(rng.IntN(3)), u.cookie)
			p.Ack = uint32(rng.IntN(3))
			c.HandlePacket(now, p)
		}
		flows, inProgress := 0, 0
		for _, s := range c.flows {
			flows++
			if s.awaitingAnswer {
				inProgress++
			}
			if s.halfOpen {
				inProgress++
			}
		}
		for _, u := range c.upstreams {
			flows -= u.flows
			inProgress -= u.inProgress
		}
		assert.Equal(t, flows, 0)
		assert.Equal(t, inProgress, 0)
	}
	c.HandlePacket(now+time.Hour, synPacket(1, 0))
	c.closeFlow(synPacket(1, 0).Flow())
	for _, u := range c.upstreams {
		assert.Equal(t, u.flows+u.inProgress, 0)
	}
}

// Guards against flows of callers that open one for each request counting as load after their end: the
// callers' last acknowledgement follows their FIN.
func TestClosedFlowIsNoLoad(t *testing.T) {
	c := newCore(1)
	for n := range 100 {
		now := time.Duration(n) * 10 * time.Millisecond
		cookie := c.HandlePacket(now, synPacket(n, 0)).Cookie
		request := dataPacket(n, 1, cookie)
		request.Ack = 1
		cookie = c.HandlePacket(now, request).Cookie
		last := dataPacket(n, 101, cookie)
		last.Length, last.Ack, last.Flags = 0, 1+answerBytes, ACK|FIN
		c.HandlePacket(now, last)
		last.Seq, last.Ack, last.Flags = 102, 2+answerBytes, ACK
		assert.Equal(t, c.HandlePacket(now, last).Verdict, Forward)
		inProgress, flows := c.upstreamsByCookie[cookie].Load()
		assert.Equal(t, inProgress+flows, 0)
	}
}

// Guards against an upstream that has just started getting most new flows because the others have served
// flows before.
func TestNewUpstreamGetsItsShare(t *testing.T) {
	c := newCore(4)
	counts := map[directory.Key]int{}
	for n := range 1000 {
		now := time.Duration(n) * 10 * time.Millisecond
		if n == 500 {
			c.SetUpstream(testUpstream(9, "north", directory.Ready))
		}
		a := c.HandlePacket(now, synPacket(n, 0))
		counts[a.Upstream.Key]++
		request := dataPacket(n, 1, a.Cookie)
		request.Ack = 1
		c.HandlePacket(now, request)
		last := dataPacket(n, 101, a.Cookie)
		last.Length, last.Ack, last.Flags = 0, 1+answerBytes, ACK|FIN
		c.HandlePacket(now, last)
		last.Seq, last.Ack, last.Flags = 102, 2+answerBytes, ACK
		c.HandlePacket(now, last)
	}
	assert.Assert(t, counts[9] >= 90 && counts[9] <= 110, "%v", counts)
}

// Guards against the answer of a second upstream to a copied SYN leading an open flow to it: the flow stays
// where the caller's first packet led, and the caller gets its cookie back.
func TestSecondAnswerToSYNMovesNoFlow(t *testing.T) {
	c := newCore(3)
	first := c.HandlePacket(0, synPacket(1, 0))
	second := c.HandlePacket(200*time.Millisecond, synPacket(1, 1))
	assert.Assert(t, first.Upstream != second.Upstream)
	request := dataPacket(1, 1, first.Cookie)
	request.Ack = 1
	opened := c.HandlePacket(210*time.Millisecond, request)
	assert.Equal(t, opened.Upstream, first.Upstream)
	request.Seq, request.Cookie = 101, second.Cookie
	a := c.HandlePacket(211*time.Millisecond, request)
	assert.Equal(t, a.Upstream, first.Upstream)
	assert.Equal(t, a.Cookie, opened.Cookie)
}

// Guards against packets reaching the wrong one of two incarnations with the same cookie.
func TestCookieCollision(t *testing.T) {
	c := newCore(1)
	first := c.upstreams[directory.Incarnation{Key: 1, StartUnixMs: 1}]
	second := &Upstream{cookie: first.cookie, Registration: testUpstream(2, "north", directory.Ready)}
	c.upstreams[second.Incarnation] = second
	c.SetUpstream(second.Registration)
	for n := range 50 {
		assert.Equal(t, c.HandlePacket(0, synPacket(n, 0)).Upstream, first)
	}
}

// Guards against memory allocations for packets of open flows.
func TestPacketAllocatesNothing(t *testing.T) {
	c := newCore(5)
	a := c.HandlePacket(0, synPacket(1, 0))
	p := dataPacket(1, 1, a.Cookie)
	c.HandlePacket(0, p)
	assert.Equal(t, testing.AllocsPerRun(1000, func() { p.Seq++; c.HandlePacket(time.Millisecond, p) }), 0.0)
}

// Measures a packet of an open flow with as many upstreams as a data centre of the target size has.
func BenchmarkPacket(b *testing.B) {
	c := newCore(3930)
	a := c.HandlePacket(0, synPacket(1, 0))
	p := dataPacket(1, 1, a.Cookie)
	b.ReportAllocs()
	for b.Loop() {
		p.Seq++
		c.HandlePacket(time.Millisecond, p)
	}
}

// Measures the placement of a flow, by the number of upstreams of the service.
func BenchmarkPlace(b *testing.B) {
	for _, size := range []int{14, 120, 1000} {
		b.Run(netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(size)).String(), func(b *testing.B) {
			c := newCore(size)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				c.HandlePacket(time.Duration(n)*time.Millisecond, synPacket(n%20000, 0))
			}
		})
	}
}

// Guards against callers sending requests on idle flows whose upstream has ended: such flows are reset as
// soon as the end is certain, except those that another upstream may have opened.
func TestFlowsOfEndedUpstreamAreReset(t *testing.T) {
	c := newCore(2)
	ended, other := c.upstreams[directory.Incarnation{Key: 1, StartUnixMs: 1}], c.upstreams[directory.Incarnation{Key: 2, StartUnixMs: 1}]
	open := dataPacket(1, 7, ended.cookie)
	open.Ack = 4321
	c.HandlePacket(0, open)
	c.HandlePacket(0, dataPacket(2, 7, other.cookie))
	halfOpen := c.HandlePacket(0, synPacket(3, 0)) // at either upstream; the other one may open it after a retransmission
	c.SetUpstream(testUpstream(1, "north", directory.Draining))
	assert.Equal(t, len(c.TakeFlowsToReset()), 0)
	c.SetUpstream(testUpstream(1, "north", directory.Gone))
	resets := c.TakeFlowsToReset()
	assert.Equal(t, len(resets), 1, "the half-open flow is at %v", halfOpen.Upstream.Key)
	assert.Equal(t, resets[0].Caller, testCaller(1))
	assert.Equal(t, resets[0].Dest, route443)
	assert.Equal(t, resets[0].Ack, uint32(4321))
	assert.Equal(t, len(c.TakeFlowsToReset()), 0)
	assert.Equal(t, len(c.flows), 2)
}

// Guards against a daemon crashing on a packet of an open flow when it has the registration of the
// upstream but no routing table yet.
func TestOpenFlowBeforeFirstTable(t *testing.T) {
	c := New(Config{DataCentre: "north"}, rand.New(rand.NewPCG(1, 2)))
	r := testUpstream(1, "north", directory.Ready)
	c.SetUpstream(r)
	for seq := range uint32(3) {
		p := dataPacket(1, seq, r.Cookie())
		p.Ack = seq
		assert.Equal(t, c.HandlePacket(time.Duration(seq)*time.Second, p).Verdict, Forward)
	}
}

// Guards against memory that grows with each configuration that renames its routes and services.
func TestRemovedRoutesAndServicesAreForgotten(t *testing.T) {
	c := newLinkCore(testLink)
	for n := range 300 {
		now := time.Duration(n) * 10 * time.Second
		service, address := fmt.Sprintf("service-%d", n), netip.AddrPortFrom(route443.Addr(), uint16(1000+n))
		table := testTable(uint64(n+2), address)
		table.Services, table.Routes[0].Split[0].Service = []string{service}, service
		c.SetTable(table)
		r := testUpstream(directory.Key(1000+n), "north", directory.Ready)
		r.Service = service
		c.SetUpstream(r)
		p := synPacket(n, 0)
		p.Dest = address
		a := offerSYN(c, now, p)
		assert.Equal(t, a.Verdict, Forward)
		finishFlow(c, now+10*time.Millisecond, p, a.Cookie)
		c.RemoveUpstream(r.Incarnation)
	}
	// The upstreams of newLinkCore, and the latest service.
	const most = 3
	assert.Assert(t, len(c.link.costs) <= most, "%d", len(c.link.costs))
	assert.Assert(t, len(c.firstAnswers) <= most, "%d", len(c.firstAnswers))
	assert.Assert(t, len(c.serviceCosts) <= most, "%d", len(c.serviceCosts))
	assert.Assert(t, len(c.outages) <= most, "%d", len(c.outages))
	assert.Assert(t, len(c.limits) <= most, "%d", len(c.limits))
	assert.Assert(t, len(c.catchUps) <= most, "%d", len(c.catchUps))
}
