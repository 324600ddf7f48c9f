package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"syscall"
	"time"

	"rosemarygate/pkg/control/directory"
)

func init() { cases["same-cookie"] = sameCookie }

// sameCookieRounds is the number of daemons that are restarted, one after the other. Each restart has an even chance
// to show the fault.
const sameCookieRounds = 12

// collidingKeys returns the numbers of two upstreams that have the same cookie, given their start times.
func collidingKeys(bornA, bornB int64) (a, b uint64) {
	byCookie := map[directory.Cookie]uint64{}
	for {
		a = rand.Uint64() >> 8
		byCookie[directory.Incarnation{Key: directory.Key(a), StartUnixMs: bornA}.Cookie()] = a
		b = rand.Uint64() >> 8
		if a, ok := byCookie[directory.Incarnation{Key: directory.Key(b), StartUnixMs: bornB}.Cookie()]; ok {
			return a, b
		}
	}
}

// longFlow is a flow that a caller keeps open between two requests.
type longFlow struct {
	packets  chan packet
	base     packet
	seq, ack uint32
	echo     uint32
}

// open opens a flow with one request through an entry daemon, and returns nil if that fails.
func (c *client) open(port uint16, edge *process) *longFlow {
	l := &longFlow{packets: make(chan packet, 16)}
	c.mu.Lock()
	c.flows[port] = l.packets
	c.mu.Unlock()
	l.base = packet{src: netip.AddrPortFrom(c.ip, port), dst: netip.AddrPortFrom(netip.MustParseAddr(routeHost), routePort)}
	syn := l.base
	syn.flags, syn.seq = flagSYN, rand.Uint32()
	c.sendTo(edge, syn)
	select {
	case answer := <-l.packets:
		if answer.flags&flagSYN == 0 {
			return nil
		}
		l.seq, l.ack, l.echo = syn.seq+1, answer.seq+1, answer.echo
	case <-time.After(200 * time.Millisecond):
		return nil
	}
	if outcome := c.requestOn(l, edge); outcome != "answered" {
		return nil
	}
	return l
}

func (c *client) sendTo(edge *process, p packet) {
	to := netip.MustParseAddrPort(net.JoinHostPort(edge.ip, fmt.Sprint(c.fleet.ports.packet)))
	_, _ = c.conn.WriteToUDPAddrPort(p.encode(), to) // a lost packet shows as a missing answer
}

// requestOn sends a request on an open flow and returns its outcome.
func (c *client) requestOn(l *longFlow, edge *process) string {
	request := l.base
	request.flags, request.seq, request.ack, request.echo = flagACK, l.seq, l.ack, l.echo
	request.data = []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	c.sendTo(edge, request)
	select {
	case answer := <-l.packets:
		switch {
		case answer.flags&flagRST != 0:
			return "reset"
		case len(answer.data) == 0:
			return "no answer"
		}
		l.seq, l.ack, l.echo = l.seq+uint32(len(request.data)), answer.seq+uint32(len(answer.data)), answer.echo
		return "answered"
	case <-time.After(time.Second):
		return "no answer"
	}
}

// holder returns the target that has taken the opening packet of a flow.
func (f *fleet) holder(l *longFlow) string {
	for _, o := range f.takenOpenings(time.Time{}) {
		if o.caller == l.base.src {
			return o.target
		}
	}
	return ""
}

// sameCookie restarts entry daemons one after the other while two upstreams have the same cookie. The open flows have
// to stay at their upstreams.
func sameCookie(f *fleet, trouble bool) ([]string, error) {
	if err := f.start(3, 2); err != nil {
		return nil, err
	}
	if !f.order("/Config.Replace", configuration(1, 1), 15*time.Second, f.allControls()...) {
		return nil, fmt.Errorf("the first configuration is not accepted")
	}
	f.announcing = make(chan struct{}) // both targets start at the same time
	born := time.Now().UnixMilli()
	a, b := collidingKeys(born, born)
	for i, key := range []uint64{a, b} {
		if _, err := f.startTargetAs(i, f.zones[0], i, 0, key, born); err != nil {
			return nil, err
		}
	}
	close(f.announcing)
	if err := f.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	c, err := f.startClient(0, time.Hour)
	if err != nil {
		return nil, err
	}
	defer c.end()
	time.Sleep(stableTime)
	port := uint16(30000)
	next := func(edge *process) *longFlow {
		port++
		return c.open(port, edge)
	}
	if !trouble {
		f.record.line("without the disruption: no daemon is restarted")
	}
	// The daemons are restarted one after the other, as in a planned roll.
	for range sameCookieRounds {
		var flows []*longFlow
		for range 10 {
			if l := next(f.edges[0]); l != nil {
				flows = append(flows, l)
			}
		}
		if len(flows) == 0 {
			return nil, fmt.Errorf("no flow was opened")
		}
		f.record.line("%d flows are open at target %s through %s", len(flows), f.holder(flows[0]), f.edges[0].name)
		through := f.edges[0]
		if trouble {
			f.edges[0].signal(syscall.SIGTERM)
			<-f.edges[0].exited
			through = f.edges[1]
		}
		var broken []string
		for _, l := range flows {
			if outcome := c.requestOn(l, through); outcome != "answered" {
				broken = append(broken, fmt.Sprintf("FLOW: the flow of %v, open at target %s, has the outcome %q through %s", l.base.src, f.holder(l), outcome, through.name))
			}
		}
		if len(broken) > 0 {
			return broken, nil
		}
		if !trouble {
			f.record.line("their next requests are answered through %s", through.name)
			time.Sleep(time.Second)
			continue
		}
		if err := f.edges[0].start(false); err != nil {
			return nil, err
		}
		if err := f.awaitReady(15 * time.Second); err != nil {
			return nil, err
		}
		f.edges[0], f.edges[1] = f.edges[1], f.edges[0]
		time.Sleep(stableTime)
	}
	return nil, nil
}
