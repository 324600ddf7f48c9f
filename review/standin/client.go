package main

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const requestDeadline = 1500 * time.Millisecond

// signature stands for the Response-Signature of a server.
func signature(attempt, server, body string) uint32 {
	return crc32.ChecksumIEEE([]byte(attempt + "|" + server + "|" + body))
}

// zoneClients are the clients of a zone, which share an address.
type zoneClients struct {
	f    *fleet
	zone string
	ip   netip.Addr
	conn *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*clientFlow // by own port
}

// clientFlow is the client's end of a flow. Only the goroutine that opened it uses the fields below inbox.
type clientFlow struct {
	z        *zoneClients
	src, dst netip.AddrPort
	inbox    chan packet
	isn      uint32
	seq      uint32 // next own sequence number
	expected uint32 // next sequence number of the server
	echo     uint32
	server   string // as its responses say
	open     bool
}

func (f *fleet) startClients(zone int) (*zoneClients, error) {
	z := &zoneClients{f: f, zone: zoneNames[zone], ip: f.ip(kindClient, zone+1), flows: map[uint16]*clientFlow{}, port: 10000}
	var err error
	z.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(z.ip, f.ports.datagram)))
	if err != nil {
		return nil, err
	}
	go z.receive()
	return z, nil
}

func (z *zoneClients) receive() {
	buf := make([]byte, maxPacket)
	for {
		n, from, err := z.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return // the socket is closed
		}
		p, genuine, err := decode(buf[:n])
		systemReset := err == nil && p.flags == flagRST && p.sum == 0 && len(p.data) == 0
		if err != nil || !genuine && !systemReset {
			z.f.rec.broken("MIXED: a client gets a packet from %s that no server wrote and that is no reset", from)
			continue
		}
		z.mu.Lock()
		fl := z.flows[p.dst.Port()]
		z.mu.Unlock()
		if fl == nil || fl.dst != p.src {
			continue
		}
		select {
		case fl.inbox <- p:
		default:
			z.f.rec.count("packets beyond a client's inbox")
		}
	}
}

// send sends a packet through the edge machine that the routers pick by the addresses and ports.
func (fl *clientFlow) send(flags byte, seq, ack uint32, data []byte) {
	p := packet{src: fl.src, dst: fl.dst, flags: flags, seq: seq, ack: ack, echo: fl.echo, data: data}
	datagram := p.encode()
	time.AfterFunc(clientDelay, func() {
		rotation := fl.z.f.rotation(fl.z.zone)
		m := rotation[int(crc32.ChecksumIEEE([]byte(fl.src.String()+fl.dst.String())))%len(rotation)]
		_, _ = fl.z.conn.WriteToUDPAddrPort(datagram, netip.AddrPortFrom(m.ip, fl.z.f.ports.datagram)) // lost like any datagram
	})
}

// outcome is how an attempt to open a flow ended.
type outcome string

const (
	opened     outcome = "opened"
	refused    outcome = "refused"
	unanswered outcome = "unanswered"
)

// openFlow opens a flow: a SYN, and copies after 200 and 600 ms; the attempt ends after 1.4 s.
func (z *zoneClients) openFlow(route netip.AddrPort) (*clientFlow, outcome) {
	z.mu.Lock()
	z.port++
	fl := &clientFlow{z: z, src: netip.AddrPortFrom(z.ip, z.port), dst: route, inbox: make(chan packet, 64), isn: rand.Uint32()}
	z.flows[z.port] = fl
	z.mu.Unlock()
	fl.seq = fl.isn + 1
	for copies, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		fl.echo = 0
		fl.send(flagSYN, fl.isn, uint32(copies), nil)
		timeout := time.After(wait)
	waiting:
		for {
			select {
			case <-timeout:
				break waiting
			case p := <-fl.inbox:
				switch {
				case p.flags&flagRST != 0:
					fl.forget()
					return fl, refused
				case p.flags&flagSYN != 0 && p.ack == fl.isn+1:
					fl.echo, fl.expected, fl.open = p.echo, p.seq+1, true
					fl.send(flagACK, fl.seq, fl.expected, nil)
					return fl, opened
				}
			}
		}
	}
	fl.forget()
	return fl, unanswered
}

func (fl *clientFlow) forget() {
	fl.z.mu.Lock()
	defer fl.z.mu.Unlock()
	delete(fl.z.flows, fl.src.Port())
}

// reply is how a request on an open flow ended.
type reply string

const (
	served   reply = "served"
	wasReset reply = "reset"
	closed   reply = "closed"
	noAnswer reply = "no answer"
)

var attempts atomic.Uint64

// request sends a request and waits for its response. goOn reports whether the flow stays open.
func (fl *clientFlow) request(method string) (result reply, goOn bool) {
	attempt := fmt.Sprintf("%s-%d", fl.src, attempts.Add(1))
	body := ""
	if method == "POST" {
		body = "tally"
	}
	text := []byte(fmt.Sprintf("%s /count HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", method, fl.dst.Addr(), attempt, len(body), body))
	fl.z.f.sent(attempt, fl.dst)
	seq := fl.seq
	fl.seq += uint32(len(text))
	deadline := time.After(requestDeadline)
	pause := firstRetry
	var response []byte
	fl.send(flagACK, seq, fl.expected, text)
	for {
		retry := time.After(pause)
		select {
		case <-deadline:
			fl.z.f.rec.count("requests without an answer")
			fl.forget()
			return noAnswer, false
		case <-retry:
			fl.send(flagACK, seq, fl.expected, text)
			pause = min(2*pause, maxRetry)
		case p := <-fl.inbox:
			ended, was := fl.take(&p, &response)
			if was {
				fl.z.f.rec.event("request %s ends with the reset, without an answer; runs of it: %d", attempt, fl.z.f.runsOf(attempt))
				return wasReset, false
			}
			if head, rest, complete := bytes.Cut(response, []byte("\r\n\r\n")); complete && len(rest) >= 600 {
				fl.check(attempt, head, rest)
				if ended {
					fl.forget()
				}
				return served, !ended
			}
			if ended {
				fl.forget()
				return closed, false
			}
		}
	}
}

// take handles a packet of an open flow. It reports whether the server has closed the flow, and whether a
// reset has ended it.
func (fl *clientFlow) take(p *packet, response *[]byte) (ended, reset bool) {
	if p.flags&flagRST != 0 {
		fl.forget()
		fl.checkReset(p)
		return true, true
	}
	if p.flags&flagSYN != 0 {
		return false, false // a repeated answer to the SYN
	}
	fl.echo = p.echo
	if len(p.data) == 0 && p.flags&flagFIN == 0 {
		return false, false
	}
	if p.seq != fl.expected {
		fl.send(flagACK, fl.seq, fl.expected, nil)
		return false, false
	}
	fl.expected += uint32(len(p.data))
	if response != nil {
		*response = append(*response, p.data...)
	}
	if p.flags&flagFIN != 0 {
		fl.expected++
		fl.send(flagACK|flagFIN, fl.seq, fl.expected, nil)
		return true, false
	}
	fl.send(flagACK, fl.seq, fl.expected, nil)
	return false, false
}

// check checks that a response belongs to the request.
func (fl *clientFlow) check(attempt string, head, body []byte) {
	server := headerValue(head, "Server-Id")
	if headerValue(head, "Attempt-Id") != attempt || headerValue(head, "Response-Signature") != fmt.Sprintf("%08x", signature(attempt, server, string(body))) {
		fl.z.f.rec.broken("MIXED: the response to %s is not its own", attempt)
	}
	fl.server = server
	fl.z.f.rec.count("requests answered")
}

// checkReset reports a reset of an open flow that its living server did not send.
func (fl *clientFlow) checkReset(p *packet) {
	s := fl.z.f.serverByID(fl.server)
	if p.sum != 0 {
		fl.z.f.rec.event("flow %s at server %s is reset by a server", fl.src, fl.server)
		return
	}
	if s == nil || !s.isAlive() {
		fl.z.f.rec.event("flow %s at server %s, which has exited, is reset by the system", fl.src, fl.server)
		return
	}
	fl.z.f.rec.broken("FLOW: client %s gets a reset on its open flow to %s that its server %s, which lives, did not send", fl.src, fl.dst, s.id)
}

// idle keeps an open flow without requests and reports whether it is still open at the end.
func (fl *clientFlow) idle(d time.Duration) bool {
	end := time.After(d)
	for {
		select {
		case <-end:
			return true
		case p := <-fl.inbox:
			if ended, _ := fl.take(&p, nil); ended {
				fl.forget()
				return false
			}
		}
	}
}

// run is a client that keeps a flow for many requests, with pauses, and opens a new one when it has ended.
func (z *zoneClients) run(route netip.AddrPort, method string, pause time.Duration, until <-chan struct{}) {
	for {
		select {
		case <-until:
			return
		default:
		}
		fl, result := z.openFlow(route)
		z.f.rec.count("attempts to open a flow: " + string(result))
		if result != opened {
			time.Sleep(300 * time.Millisecond)
			continue
		}
		for {
			result, goOn := fl.request(method)
			z.f.rec.count("requests: " + string(result))
			if !goOn || !fl.idle(pause/2+rand.N(pause)) {
				break
			}
			select {
			case <-until:
				return
			default:
			}
		}
	}
}
