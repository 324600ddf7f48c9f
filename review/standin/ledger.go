package main

import (
	"net/netip"
	"sync"
	"time"
)

// ledger knows the attempts that clients have sent and the servers of the day.
type ledger struct {
	mu       sync.Mutex
	attempts map[string]netip.AddrPort // route of each attempt
	runs     map[string]int
	servers  map[string]*server
}

var books = &ledger{attempts: map[string]netip.AddrPort{}, runs: map[string]int{}, servers: map[string]*server{}}

func (f *fleet) sent(attempt string, route netip.AddrPort) {
	books.mu.Lock()
	defer books.mu.Unlock()
	books.attempts[attempt] = route
}

// asked checks that a client has sent the request that a server begins to run, and that it runs once.
func (f *fleet) asked(attempt string, s *server, route netip.AddrPort) {
	books.mu.Lock()
	defer books.mu.Unlock()
	if sentTo, ok := books.attempts[attempt]; !ok || sentTo != route {
		f.rec.broken("UNASKED: server %s runs %q, which no client sent", s.id, attempt)
	}
	if books.runs[attempt]++; books.runs[attempt] > 1 {
		f.rec.broken("server %s runs %s, which has run before", s.id, attempt)
	}
}

func (f *fleet) runsOf(attempt string) int {
	books.mu.Lock()
	defer books.mu.Unlock()
	return books.runs[attempt]
}

func (f *fleet) addServer(s *server) {
	books.mu.Lock()
	defer books.mu.Unlock()
	books.servers[s.id] = s
}

func (f *fleet) serverByID(id string) *server {
	books.mu.Lock()
	defer books.mu.Unlock()
	return books.servers[id]
}

// operator sends and reads the configuration.
type operator struct {
	f     *fleet
	first int
}

// next returns the control addresses in the order in which the operator calls them.
func (o *operator) next() string {
	list := o.f.controlList()
	o.first++
	return list[o.first%len(list)].controlAddress()
}

// routeSpec is a route of a configuration: its address and what serves it.
type routeSpec struct {
	name    string
	address netip.AddrPort
	fields  map[string]any
}

func route(name, address, service string) routeSpec {
	return routeSpec{name, netip.MustParseAddrPort(address), map[string]any{"service": service}}
}

// configuration returns a configuration with the services of Karri Bend.
func configuration(version int, routes ...routeSpec) []byte {
	var list []map[string]any
	for _, r := range routes {
		entry := map[string]any{
			"name": r.name, "host": r.address.Addr().String(), "pathPrefix": "/" + portText(r.address) + "/", "kind": "unsafe",
			"timeoutMs": 1500, "aimMs": 250, "priority": 1, "maxAttempts": 2,
		}
		for key, value := range r.fields {
			entry[key] = value
		}
		list = append(list, entry)
	}
	var services []map[string]any
	for _, name := range []string{"pressline", "packbench"} {
		services = append(services, map[string]any{"name": name, "healthPath": "/healthz", "maxConnections": 2000, "protocol": "h1", "tls": false})
	}
	return marshal(map[string]any{
		"version": version, "routes": list, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

func portText(a netip.AddrPort) string { return a.String()[len(a.Addr().String())+1:] }

// replace sends a configuration until it has a clear answer or limit has passed, and returns the status.
func (o *operator) replace(what string, body []byte, limit time.Duration) int {
	begin, backoff := time.Now(), 100*time.Millisecond
	code := 0
	for time.Since(begin) < limit {
		address := o.next()
		code, _ = call(address, "POST", "/Config.Replace", body, netip.Addr{})
		o.f.rec.event("operator sends %s to %s: status %d", what, address, code)
		switch code {
		case 200, 400, 409, 412, 413, 422:
			return code
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, time.Second)
	}
	return code
}

// read reads the configuration once.
func (o *operator) read() (int, []byte) {
	address := o.next()
	code, body := call(address, "GET", "/Config.Read", nil, netip.Addr{})
	o.f.rec.event("operator reads the configuration at %s: status %d, %d bytes", address, code, len(body))
	return code, body
}
