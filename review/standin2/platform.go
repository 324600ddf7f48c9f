package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"
)

const (
	probePeriod  = 500 * time.Millisecond
	probeTimeout = 450 * time.Millisecond
	maxMisses    = 2
	callTimeout  = time.Second
)

// probe checks the readiness of an edge twice a second. After two misses it is out of rotation until it is ready.
func (p *process) probe() {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	url := "http://" + netip.AddrPortFrom(p.ip, p.f.ports.readiness).String() + "/readyz"
	for p.f.sleep(probePeriod) {
		ready := false
		if response, err := client.Get(url); err == nil {
			response.Body.Close()
			ready = response.StatusCode == http.StatusOK
		}
		p.mu.Lock()
		before := p.inRotation
		if ready {
			p.misses, p.inRotation = 0, true
		} else if p.misses++; p.misses >= maxMisses {
			p.inRotation = false
		}
		changed, after := before != p.inRotation, p.inRotation
		p.mu.Unlock()
		if changed {
			p.f.record.note("%s in rotation: %v", p.name, after)
		}
	}
}

func (p *process) isInRotation() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inRotation
}

// route selects the edge of a zone for a packet as a router that hashes by mod does.
func (f *fleet) route(zone string, key flowKey) *process {
	var all, ready []*process
	for _, p := range f.edges {
		if p.zone != zone {
			continue
		}
		all = append(all, p)
		if p.isInRotation() {
			ready = append(ready, p)
		}
	}
	if 2*len(ready) < len(all) {
		ready = all
	}
	h := fnv.New64a()
	fmt.Fprintf(h, "%v %v", key.client, key.route)
	return ready[h.Sum64()%uint64(len(ready))]
}

var callClient = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes a call of a target or of the operator, and returns the status, 0 if there was no response.
func call(method, address, path string, body any) (status int, answer []byte) {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return 0, nil
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, content)
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := callClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	if answer, err = io.ReadAll(response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// routeSpec is a route of the operator's configuration.
type routeSpec struct {
	name    string
	address netip.AddrPort
	kind    string
	service string
}

var (
	feedRoute  = routeSpec{"r-feed", netip.MustParseAddrPort("198.18.0.1:8443"), "safe", "pressline"}
	countRoute = routeSpec{"r-count", netip.MustParseAddrPort("198.18.0.1:8080"), "unsafe", "pressline"}
	labelRoute = routeSpec{"r-label", netip.MustParseAddrPort("198.18.0.2:8443"), "download", "packbench"}
)

// configuration returns a configuration of the operator.
func configuration(version uint64, routes ...routeSpec) map[string]any {
	var list []map[string]any
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": r.address.Addr().String(), "pathPrefix": fmt.Sprintf("/%d/", r.address.Port()), "kind": r.kind,
			"timeoutMs": 1500, "aimMs": 250, "priority": 1, "service": r.service, "maxAttempts": 2,
		})
	}
	var services []map[string]any
	for _, name := range []string{"pressline", "packbench"} {
		services = append(services, map[string]any{"name": name, "healthPath": "/healthz", "maxConnections": 2000, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": list, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// replaceConfig sends a configuration until a core machine acknowledges it, and returns that machine.
func (f *fleet) replaceConfig(c map[string]any, limit time.Duration) (*process, error) {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		cores := f.coreList()
		p := cores[rand.IntN(len(cores))]
		status, _ := call("POST", p.control(), "/Config.Replace", c)
		f.record.note("operator sends version %v to %s: %d", c["version"], p.name, status)
		if status == http.StatusOK {
			return p, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil, fmt.Errorf("no core machine acknowledged version %v", c["version"])
}

// awaitReady waits until all edges are in rotation.
func (f *fleet) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		ready := 0
		for _, p := range f.edges {
			if p.isInRotation() {
				ready++
			}
		}
		if ready == len(f.edges) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("not all edges became ready within %v", limit)
}
