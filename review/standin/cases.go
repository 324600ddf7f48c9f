package main

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	scenarios["replaced-machine-then-disk"] = scenario{1, playReplacedMachineThenDisk}
	scenarios["unreadable-id"] = scenario{1, playUnreadableID}
	scenarios["entry-without-version"] = scenario{1, playEntryWithoutVersion}
	scenarios["lost-replies-to-leaving-servers"] = scenario{1, playLostReplies}
	scenarios["unknown-service-beside-split"] = scenario{1, playUnknownServiceBesideSplit}
}

const (
	mainRoute    = "198.18.0.1:8080"
	droppedRoute = "198.18.0.1:8443"
	addedRoute   = "198.18.0.2:8443"
)

// startTraffic starts clients with long flows in every zone: each sends a request, pauses and goes on.
func (f *fleet) startTraffic(perZone int, pause time.Duration, until <-chan struct{}) ([]*zoneClients, error) {
	var out []*zoneClients
	for z := range zoneNames {
		clients, err := f.startClients(z)
		if err != nil {
			return nil, err
		}
		out = append(out, clients)
		for range perZone {
			go clients.run(netip.MustParseAddrPort(mainRoute), "POST", pause, until)
		}
	}
	return out, nil
}

func versionOf(body []byte) int {
	var c struct{ Version int }
	if json.Unmarshal(body, &c) != nil {
		return 0
	}
	return c.Version
}

// playReplacedMachineThenDisk: a core machine is added, and an old one is stopped for good 10 s later. Then another core
// machine loses its disk.
func playReplacedMachineThenDisk(f *fleet, trouble bool) error {
	o := &operator{f: f}
	main := route("r-main", mainRoute, "pressline")
	if _, err := f.prepare(o, configuration(3, main), 4, 2); err != nil {
		return err
	}
	until := make(chan struct{})
	defer close(until)
	if _, err := f.startTraffic(4, time.Second, until); err != nil {
		return err
	}
	time.Sleep(stabilityWindow)
	old, lost := f.controls[0], f.controls[1]

	successor := f.addMachine("core", 0)
	if err := successor.start(false); err != nil {
		return err
	}
	time.Sleep(catchUpTime + 6*time.Second) // catchUpS 4: the successor has had its time
	if code := o.replace("version 5", configuration(5, main), ackTime); code != 200 {
		return notRun("version 5 was not acknowledged")
	}
	f.remove(old)
	f.seeds = nil
	for _, m := range f.controls {
		f.seeds = append(f.seeds, m.controlAddress())
	}
	old.stop(syscall.SIGTERM) // never starts again
	time.Sleep(time.Second)
	if code := o.replace("version 8", configuration(8, main), ackTime); code != 200 {
		return notRun("version 8 was not acknowledged")
	}
	time.Sleep(time.Second)
	if trouble {
		lost.stop(syscall.SIGKILL)
		if err := os.RemoveAll(lost.dataDir); err != nil {
			return err
		}
		time.Sleep(time.Second)
		if err := lost.start(false); err != nil {
			return err
		}
	}
	// All machines are back. recoveryS later, the configuration has to be readable and changes have to be
	// acknowledged again.
	f.rec.event("all machines are back")
	time.Sleep(recoveryTime)
	readVersion := 0
	for begin := time.Now(); time.Since(begin) < 3*stabilityWindow && readVersion == 0; time.Sleep(300 * time.Millisecond) {
		if code, body := o.read(); code == 200 {
			readVersion = versionOf(body)
		}
	}
	if readVersion < 8 {
		f.rec.broken("LOST, CONFIG: version 8 was acknowledged; from 12 s to 24 s after the last machine was back it cannot be read at any control address (read: version %d)", readVersion)
	}
	if code := o.replace("version 9", configuration(9, main), 3*ackTime); code != 200 {
		f.rec.broken("Acks: version 9 has no acknowledgement 15 s after it was first sent (ackMs 5000), status %d", code)
	}
	return nil
}

// playUnreadableID: another writer sends heartbeats whose id has bytes that are no text. Then the configuration
// changes and a server drains.
func playUnreadableID(f *fleet, trouble bool) error {
	o := &operator{f: f}
	main := route("r-main", mainRoute, "pressline")
	dropped, added := route("r-old", droppedRoute, "pressline"), route("r-new", addedRoute, "pressline")
	servers, err := f.prepare(o, configuration(3, main, dropped), 6, 2)
	if err != nil {
		return err
	}
	until := make(chan struct{})
	defer close(until)
	clients, err := f.startTraffic(4, 300*time.Millisecond, until)
	if err != nil {
		return err
	}
	time.Sleep(stabilityWindow + time.Second)
	if trouble {
		for i, m := range f.controlList() {
			body := marshal(map[string]any{
				"service": "pressline", "address": netip.AddrPortFrom(f.ip(kindServer, 200), f.ports.server).String(), "zone": zoneNames[0], "version": "v1",
				"concurrency": serverSlots, "state": "ready", "warmupRemainingMs": 0, "sequence": i + 1, "born": time.Now().UnixMilli(),
			})
			path := "/Instances.Heartbeat/%FF%FE-0badc0de"
			code, _ := call(m.controlAddress(), "POST", path, body, netip.Addr{})
			f.rec.event("another writer sends %s to %s: status %d", path, m.name, code)
			time.Sleep(beatPeriod)
		}
	}
	time.Sleep(time.Second)
	if code := o.replace("version 5, without r-old and with r-new", configuration(5, main, added), ackTime); code != 200 {
		return notRun("version 5 was not acknowledged")
	}
	ackedAt := time.Now()
	if !servers[0].drain() {
		return notRun("the draining server had no acknowledgement")
	}
	time.Sleep(applyTime + 500*time.Millisecond)
	for time.Since(ackedAt) < 12*time.Second {
		for _, z := range clients {
			sentAt := time.Since(ackedAt)
			if fl, result := z.openFlow(netip.MustParseAddrPort(addedRoute)); result == refused {
				f.rec.broken("CONFIG: a SYN for r-new from %s, sent %d ms after version 5 was acknowledged, is reset as if there were no such route", z.zone, sentAt.Milliseconds())
			} else {
				fl.forget()
			}
			sentAt = time.Since(ackedAt)
			fl, result := z.openFlow(netip.MustParseAddrPort(droppedRoute))
			if result != opened {
				continue
			}
			if answer, _ := fl.request("POST"); answer == served {
				f.rec.broken("CONFIG: a request on r-old from %s, whose SYN was sent %d ms after version 5 dropped the route, is run by server %s", z.zone, sentAt.Milliseconds(), fl.server)
			}
			fl.forget()
		}
		// New flows on the main route, which must not reach the draining server any more.
		for _, z := range clients {
			for range 6 {
				if fl, result := z.openFlow(netip.MustParseAddrPort(mainRoute)); result == opened {
					fl.request("POST")
					fl.forget()
				}
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil
}

// playEntryWithoutVersion: another writer sends one heartbeat without the field version for the address of a live
// server.
func playEntryWithoutVersion(f *fleet, trouble bool) error {
	o := &operator{f: f}
	servers, err := f.prepare(o, configuration(3, route("r-main", mainRoute, "pressline")), 4, 2)
	if err != nil {
		return err
	}
	until := make(chan struct{})
	defer close(until)
	if _, err := f.startTraffic(12, 400*time.Millisecond, until); err != nil {
		return err
	}
	time.Sleep(stabilityWindow + 4*time.Second)
	if trouble {
		body := marshal(map[string]any{
			"service": "pressline", "address": servers[0].address.String(), "zone": servers[0].zone, "concurrency": serverSlots,
			"state": "ready", "warmupRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
		m := f.controls[0]
		code, _ := call(m.controlAddress(), "POST", "/Instances.Heartbeat/m-00c0ffee", body, netip.Addr{})
		f.rec.event("another writer sends a heartbeat without version for the address of server %s to %s: status %d, %s", servers[0].id, m.name, code, body)
	}
	time.Sleep(12 * time.Second)
	if f.rec.counted("requests answered") == 0 {
		return notRun("no request was answered")
	}
	return nil
}

// playUnknownServiceBesideSplit: the operator sends a configuration with a route that names an undeclared service.
func playUnknownServiceBesideSplit(f *fleet, trouble bool) error {
	o := &operator{f: f}
	main := route("r-main", mainRoute, "pressline")
	if _, err := f.prepare(o, configuration(3, main), 2, 2); err != nil {
		return err
	}
	time.Sleep(stabilityWindow)
	split := []map[string]any{{"service": "pressline", "weight": 90}, {"service": "packbench", "weight": 10}}
	bad := routeSpec{"r-bad", netip.MustParseAddrPort(addedRoute), map[string]any{"trafficSplit": split}}
	if trouble {
		bad.fields["service"] = "nosuchservice"
	}
	code := o.replace("version 5", configuration(5, main, bad), ackTime)
	switch {
	case trouble && code == 200:
		f.rec.broken("CONFIG: version 5, whose route r-bad names the unknown service nosuchservice, is acknowledged")
	case !trouble && code != 200:
		return notRun("the valid version 5 was answered with %d", code)
	}
	time.Sleep(applyTime)
	if code, body := o.read(); trouble && code == 200 && versionOf(body) == 5 {
		f.rec.broken("CONFIG: the invalid version 5 is in force: it is read back")
	}
	return nil
}

// lossyProxy passes calls to a control address and loses responses while loss is above 0.
type lossyProxy struct {
	f       *fleet
	address string
	target  string
	loss    atomic.Uint64 // per mille
}

func (f *fleet) startProxy(n int, target string) (*lossyProxy, error) {
	p := &lossyProxy{f: f, address: netip.AddrPortFrom(f.ip(kindProxy, n), f.ports.control).String(), target: target}
	l, err := net.Listen("tcp4", p.address)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.relay(c)
		}
	}()
	return p, nil
}

// relay passes one call: each call has a connection of its own.
func (p *lossyProxy) relay(in net.Conn) {
	defer in.Close()
	out, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		buf := make([]byte, 32<<10)
		for {
			n, err := in.Read(buf)
			if err != nil {
				return
			}
			if _, err := out.Write(buf[:n]); err != nil {
				return
			}
		}
	}()
	lost := rand.Uint64N(1000) < p.loss.Load()
	buf := make([]byte, 32<<10)
	for {
		n, err := out.Read(buf)
		if n > 0 && lost {
			p.f.rec.event("a response of %s to a server is lost", p.target)
			time.Sleep(2 * time.Second) // the caller has given up
			return
		}
		if n > 0 {
			if _, err := in.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// playLostReplies: servers are emptied and taken away while responses of the control addresses are lost.
func playLostReplies(f *fleet, trouble bool) error {
	o := &operator{f: f}
	servers, err := f.prepare(o, configuration(3, route("r-main", mainRoute, "pressline")), 14, 4)
	if err != nil {
		return err
	}
	var proxies []*lossyProxy
	var addresses []string
	for i, m := range f.controls {
		p, err := f.startProxy(i+1, m.controlAddress())
		if err != nil {
			return err
		}
		proxies = append(proxies, p)
		addresses = append(addresses, p.address)
	}
	until := make(chan struct{})
	defer close(until)
	if _, err := f.startTraffic(30, 8*time.Second, until); err != nil {
		return err
	}
	time.Sleep(stabilityWindow + 2*time.Second)
	for _, s := range servers {
		s.mu.Lock()
		s.endpoints = func() []string { return addresses }
		s.mu.Unlock()
	}
	// release: half of the servers are replaced, one a second. The new one starts first, the old one drains.
	leaving := servers[:7]
	var left sync.WaitGroup
	for i, s := range leaving {
		successor, err := f.startServer(len(servers)+1+i, "pressline", i%len(zoneNames))
		if err != nil {
			return err
		}
		f.addServer(successor)
		left.Go(s.leave)
		if trouble && i == 3 { // the first server is about to deregister
			f.rec.event("responses to servers are lost, each with 0.7, for 8 s")
			for _, p := range proxies {
				p.loss.Store(700)
			}
			time.AfterFunc(8*time.Second, func() {
				for _, p := range proxies {
					p.loss.Store(0)
				}
			})
		}
		time.Sleep(time.Second)
	}
	left.Wait()
	time.Sleep(4 * time.Second)
	if f.rec.counted("requests answered") == 0 {
		return notRun("no request was answered")
	}
	return nil
}
