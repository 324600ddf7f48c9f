package main

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

func init() { cases["roll"] = roll }

const (
	clientDelay = time.Millisecond      // one way between a client and a machine
	workTime    = 15 * time.Millisecond // of a request
	// flowsPerSecond flows with two requests each are 1.5 times the 400 requests a second of the sheet. The pause between
	// the two lets flows span the planned stop and the return of a daemon; only a flow that is idle for 15 s may be
	// discarded.
	flowsPerSecond   = 300
	shortestPause    = 1500 * time.Millisecond
	longestPause     = 6 * time.Second
	requestsPerFlow  = 2
	rollGap          = 1200 * time.Millisecond
	rollRounds       = 4
	probePeriod      = 500 * time.Millisecond
	requestDeadline  = 1200 * time.Millisecond
	retransmitPeriod = 200 * time.Millisecond
)

// router selects the entry daemon of a packet by a hash modulo the daemons in rotation in the zone of the client.
type router struct {
	fleet *fleet
	mu    sync.Mutex
	out   map[*process]int // misses in a row
}

func newRouter(f *fleet) *router {
	r := &router{fleet: f, out: map[*process]int{}}
	client := &http.Client{Timeout: probePeriod, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, p := range f.edges {
		go func() {
			for {
				response, err := client.Get("http://" + net.JoinHostPort(p.ip, fmt.Sprint(f.ports.readiness)) + "/readyz")
				ready := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					response.Body.Close()
				}
				r.record(p, ready)
				time.Sleep(probePeriod)
			}
		}()
	}
	return r
}

func (r *router) record(p *process, ready bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.out[p] >= 2
	if r.out[p]++; ready {
		r.out[p] = 0
	}
	if after := r.out[p] >= 2; after != before {
		r.fleet.record.line("%s is in rotation: %v", p.name, !after)
	}
}

func (r *router) isIn(p *process) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.out[p] < 2
}

// route returns the daemon for a packet of a client in a zone.
func (r *router) route(p *packet, zone string) *process {
	var all, in []*process
	for _, e := range r.fleet.edges {
		if e.zone != zone {
			continue
		}
		all = append(all, e)
		if r.isIn(e) {
			in = append(in, e)
		}
	}
	switch {
	case len(in) == 0: // the daemons of another zone
		for _, e := range r.fleet.edges {
			if r.isIn(e) {
				in = append(in, e)
			}
		}
		if len(in) == 0 {
			in = all
		}
	case 2*len(in) < len(all):
		in = all
	}
	h := fnv.New64a()
	fmt.Fprint(h, p.src, p.dst)
	return in[h.Sum64()%uint64(len(in))]
}

// feed is a flow with several requests and pauses between them.
type feed struct {
	client  *feeds
	base    packet
	zone    string
	packets chan packet
	path    []string // daemons of its packets, in order
}

// feeds are the flows of the clients at one address.
type feeds struct {
	fleet  *fleet
	router *router
	conn   *net.UDPConn
	ip     netip.Addr
	zone   string
	mu     sync.Mutex
	flows  map[uint16]*feed
	counts map[string]int
	broken []string
}

func (f *fleet) newFeeds(i int, zone string, r *router) (*feeds, error) {
	ip := netip.MustParseAddr(f.ip(5, i))
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, uint16(f.ports.packet))))
	if err != nil {
		return nil, err
	}
	c := &feeds{fleet: f, router: r, conn: conn, ip: ip, zone: zone, flows: map[uint16]*feed{}, counts: map[string]int{}}
	go c.receive()
	return c, nil
}

func (c *feeds) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, ok := decodePacket(append([]byte(nil), buffer[:n]...))
		if !ok {
			continue
		}
		time.AfterFunc(clientDelay, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if flow := c.flows[p.dst.Port()]; flow != nil {
				select {
				case flow.packets <- p:
				default:
				}
			}
		})
	}
}

func (c *feeds) count(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name]++
}

// send sends a packet to the daemon that the router selects when it arrives there.
func (l *feed) send(p packet) {
	time.AfterFunc(clientDelay, func() {
		edge := l.client.router.route(&p, l.zone)
		l.client.mu.Lock()
		if n := len(l.path); n == 0 || l.path[n-1] != edge.name {
			l.path = append(l.path, edge.name)
		}
		l.client.mu.Unlock()
		to := netip.MustParseAddrPort(net.JoinHostPort(edge.ip, fmt.Sprint(l.client.fleet.ports.packet)))
		_, _ = l.client.conn.WriteToUDPAddrPort(p.encode(), to) // a lost packet is sent again
	})
}

// run opens the flow, sends its requests and closes it.
func (l *feed) run() {
	c := l.client
	defer func() {
		c.mu.Lock()
		delete(c.flows, l.base.src.Port())
		c.mu.Unlock()
	}()
	syn := l.base
	syn.flags, syn.seq = flagSYN, rand.Uint32()
	var answer packet
	for copies, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		syn.ack = uint32(copies)
		l.send(syn)
		select {
		case answer = <-l.packets:
		case <-time.After(wait):
			continue
		}
		break
	}
	if answer.flags&flagSYN == 0 {
		c.count("not opened")
		return
	}
	c.count("opened")
	seq, ack, echo := syn.seq+1, answer.seq+1, answer.echo
	for i := range requestsPerFlow {
		if i > 0 {
			// Packets that arrive in a pause change the echo that the client returns.
			end := time.After(shortestPause + rand.N(longestPause-shortestPause))
			for waiting := true; waiting; {
				select {
				case p := <-l.packets:
					if p.flags&flagRST != 0 {
						l.reset("in a pause")
						return
					}
					echo = p.echo
				case <-end:
					waiting = false
				}
			}
		}
		request := l.base
		request.flags, request.seq, request.data = flagACK, seq, []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		outcome := ""
		deadline, retransmit, interval := time.After(requestDeadline), time.After(0), retransmitPeriod
		for outcome == "" {
			select {
			case <-retransmit:
				request.ack, request.echo = ack, echo
				l.send(request)
				retransmit = time.After(interval)
				interval *= 2
			case p := <-l.packets:
				echo = p.echo
				switch {
				case p.flags&flagRST != 0:
					l.reset(fmt.Sprintf("during request %d", i+1))
					return
				case len(p.data) > 0 && p.seq == ack:
					ack += uint32(len(p.data))
					outcome = "answered"
				}
			case <-deadline:
				c.count("requests without an answer")
				return
			}
		}
		c.count("requests answered")
		seq += uint32(len(request.data))
		acknowledgement := l.base
		acknowledgement.flags, acknowledgement.seq, acknowledgement.ack, acknowledgement.echo = flagACK, seq, ack, echo
		l.send(acknowledgement)
	}
	fin := l.base
	fin.flags, fin.seq, fin.ack, fin.echo = flagACK|flagFIN, seq, ack, echo
	l.send(fin)
}

// reset records that the flow was reset by something else than its target.
func (l *feed) reset(when string) {
	c := l.client
	c.count("resets")
	var holder, sender string
	for _, t := range c.fleet.targets {
		t.mu.Lock()
		if t.opened[l.base.src] {
			holder = t.id
		}
		if t.resets[l.base.src] {
			sender = t.id
		}
		t.mu.Unlock()
	}
	if holder == "" || sender == holder {
		return
	}
	if sender == "" {
		sender = "the system"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, fmt.Sprintf("FLOW: the flow of %v, open at target %s, gets a reset %s from %s; its packets went through %v", l.base.src, holder, when, sender, l.path))
}

// roll stops and starts the entry daemons in turn while clients keep flows open. No open flow may get a reset that its
// target did not send.
func roll(f *fleet, trouble bool) ([]string, error) {
	f.zones = []string{"zone-a", "zone-b", "zone-c", "zone-d"}
	if err := f.start(4, 7); err != nil {
		return nil, err
	}
	if !f.order("/Config.Replace", configuration(1, 1), 15*time.Second, f.allControls()...) {
		return nil, fmt.Errorf("the first configuration is not accepted")
	}
	for i := range 14 {
		t, err := f.startTarget(i, f.zones[i%len(f.zones)], i)
		if err != nil {
			return nil, err
		}
		t.mu.Lock()
		t.work = workTime
		t.mu.Unlock()
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	r := newRouter(f)
	var all []*feeds
	for i, zone := range f.zones {
		c, err := f.newFeeds(i, zone, r)
		if err != nil {
			return nil, err
		}
		all = append(all, c)
	}
	stop := make(chan struct{})
	var flows sync.WaitGroup
	flows.Go(func() {
		ticker := time.NewTicker(time.Second / flowsPerSecond)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			c := all[n%len(all)]
			l := &feed{client: c, zone: c.zone, packets: make(chan packet, 32)}
			l.base = packet{src: netip.AddrPortFrom(c.ip, uint16(10000+n/len(all))), dst: netip.AddrPortFrom(netip.MustParseAddr(routeHost), routePort)}
			c.mu.Lock()
			c.flows[l.base.src.Port()] = l
			c.mu.Unlock()
			flows.Go(l.run)
		}
	})
	time.Sleep(stableTime)
	for range rollRounds {
		for _, p := range f.edges {
			if trouble {
				p.signal(syscall.SIGTERM)
				<-p.exited
				if err := p.start(false); err != nil {
					return nil, err
				}
				if err := f.awaitReady(15 * time.Second); err != nil {
					return nil, err
				}
			}
			time.Sleep(rollGap)
		}
	}
	close(stop)
	flows.Wait()
	var broken []string
	for _, c := range all {
		c.conn.Close()
		f.record.line("clients in %s: %v", c.zone, c.counts)
		broken = append(broken, c.broken...)
	}
	return broken, nil
}
