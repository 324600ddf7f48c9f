package main

import (
	"fmt"
	"net"
	"time"
)

func init() { cases["late-order"] = lateOrder }

// orderDelay is how long the network holds the bytes of an order, less than a partition of the deployments lasts.
const orderDelay = 4 * time.Second

// clientRoundTrip is the time of a round trip between an operator and a control host: 3 ms each way.
const clientRoundTrip = 6 * time.Millisecond

// lateOrder takes an evacuation back while the network holds the first copy of that order, and begins the evacuation
// again. The copy arrives afterwards: it must not end the evacuation that was acknowledged last.
func lateOrder(f *fleet, trouble bool) ([]string, error) {
	if err := f.start(3, 3); err != nil {
		return nil, err
	}
	if !f.order("/Config.Replace", configuration(1, 1), 15*time.Second, f.allControls()...) {
		return nil, fmt.Errorf("the first configuration is not accepted")
	}
	for i := range 6 {
		if _, err := f.startTarget(i, f.zones[i%len(f.zones)], i); err != nil {
			return nil, err
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	held, err := newProxy(net.JoinHostPort(f.ip(4, 0), fmt.Sprint(f.ports.control)), f.controlAddress(0), clientRoundTrip)
	if err != nil {
		return nil, err
	}
	c, err := f.startClient(0, 20*time.Millisecond)
	if err != nil {
		return nil, err
	}
	defer c.end()
	time.Sleep(stableTime)
	viaNetwork := net.JoinHostPort(f.ip(4, 0), fmt.Sprint(f.ports.control))
	begin, finish := "/Evacuations.Begin/"+f.zones[0], "/Evacuations.Finish/"+f.zones[0]
	if !f.order(begin, nil, 5*time.Second, f.allControls()...) {
		return nil, fmt.Errorf("the evacuation is not acknowledged")
	}
	kept, err := keepConnection(viaNetwork)
	if err != nil {
		return nil, err
	}
	if result := kept.call("GET", "/Config.Read"); result.status != 200 {
		return nil, fmt.Errorf("the configuration is not read: %d", result.status)
	}
	time.Sleep(time.Second)
	if trouble {
		f.record.line("the network holds what the operator sends to core-1")
		held.hold()
	}
	heldSince := time.Now()
	f.record.line("operator sends %s to %s on the open connection", finish, viaNetwork)
	if result := kept.call("POST", finish); result.status == 200 {
		f.record.line("operator gets 200 to %s from %s", finish, viaNetwork)
	} else if !f.order(finish, nil, 5*time.Second, f.controlAddress(1), f.controlAddress(2)) {
		return nil, fmt.Errorf("the end of the evacuation is not acknowledged")
	}
	if !f.order(begin, nil, 5*time.Second, f.controlAddress(1), f.controlAddress(2)) {
		return nil, fmt.Errorf("the second evacuation is not acknowledged")
	}
	acknowledgedAt := time.Now()
	f.record.line("the second evacuation is acknowledged; nobody takes it back")
	if trouble {
		time.Sleep(time.Until(heldSince.Add(orderDelay)))
		f.record.line("the network passes on what it has held for %v", orderDelay)
		held.release()
	}
	time.Sleep(time.Until(acknowledgedAt.Add(evacuateTime + 6*time.Second)))
	sent, served, resets := c.counts()
	f.record.line("client: %d requests, %d served, %d reset at their opening", sent, served, resets)
	var broken []string
	for _, o := range f.takenOpenings(acknowledgedAt.Add(evacuateTime)) {
		if o.zone == f.zones[0] {
			broken = append(broken, fmt.Sprintf("EVAC: target %s in %s took the opening packet of %v from %s, %v after the acknowledgement", o.target, o.zone, o.caller, o.edge, o.at.Sub(acknowledgedAt).Round(time.Millisecond)))
		}
	}
	return broken, nil
}
