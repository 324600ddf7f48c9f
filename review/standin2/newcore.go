package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"syscall"
	"time"
)

const (
	successorRuns  = 10 * time.Second // before the machine that it replaces is stopped
	checksForRoute = 20 * time.Second
	checkPause     = 2 * time.Second
)

// replaceCore starts a core machine at a new address with an empty disk, and stops an earlier one for good when
// the new one has run for a while. Settings files of other machines do not change.
func (f *fleet) replaceCore(old *process, n int) error {
	p := &process{f: f, name: fmt.Sprintf("core-%s-%d", old.zone, n), role: "control", zone: old.zone, ip: f.address(coreMachine, 20+n)}
	p.seeds = controlsOf(append(f.coreList(), p)[:3])
	f.mu.Lock()
	f.cores = append(f.cores, p)
	f.mu.Unlock()
	f.record.note("%s starts, with the seeds %v", p.name, p.seeds)
	p.disturb(false)
	if err := p.start(false); err != nil {
		return err
	}
	time.Sleep(successorRuns)
	f.record.note("%s gets SIGTERM and does not come back", old.name)
	old.signal(syscall.SIGTERM)
	old.mu.Lock()
	exited := old.exited
	old.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(6 * time.Second):
		old.signal(syscall.SIGKILL)
		<-exited
	}
	f.record.note("%s has ended", old.name)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cores = slices.DeleteFunc(f.cores, func(c *process) bool { return c == old })
	return nil
}

// runNewCore replaces all core machines one after the other. Then the operator adds a route, and clients use it
// through each edge.
func runNewCore(f *fleet, trouble bool) (int, error) {
	if err := f.begin(4, 3, 3); err != nil { // with the spare edges of the site
		return 0, err
	}
	if trouble {
		order := f.coreList()
		rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		for i, old := range order {
			if err := f.replaceCore(old, i+2); err != nil {
				return 0, err
			}
			time.Sleep(f.sheet.stability)
		}
	}
	time.Sleep(2 * f.sheet.stability)
	added := routeSpec{"r-added", netip.MustParseAddrPort("198.18.0.3:443"), "safe", "pressline"}
	if _, err := f.replaceConfig(configuration(2, feedRoute, countRoute, labelRoute, added), f.sheet.ack); err != nil {
		return 0, err
	}
	acknowledgedAt := time.Now()
	time.Sleep(f.sheet.configApply + time.Second)
	c, err := f.startClient(0, zones[0])
	if err != nil {
		return 0, err
	}
	broken, served := 0, 0
	for end := time.Now().Add(checksForRoute); time.Now().Before(end); time.Sleep(checkPause) {
		for i, edge := range f.edges {
			since := time.Since(acknowledgedAt).Round(time.Millisecond)
			fl, how := c.dialThrough(edge, added.address)
			f.record.note("flow on the added route through %s, %v after the acknowledgement: %s", edge.name, since, how)
			switch how {
			case opened:
				id := fmt.Sprintf("added-%d-%d", i, since.Milliseconds())
				f.record.note("request %s: %s", id, fl.request("GET", id, 2000, 0))
				fl.close()
				f.observer.closed(fl.key)
				served++
			case refused:
				broken++
				f.record.note("BROKEN CONFIG: %s, in touch, refuses the route of version 2", edge.name)
			}
		}
	}
	f.record.note("flows on the added route: %d opened, %d refused", served, broken)
	return broken, nil
}
