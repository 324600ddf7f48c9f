package main

import (
	"fmt"
	"time"
)

func init() { cases["long-count"] = longCount }

const (
	// longCountUnit is the unit of the time since the start of a target that its calls have as their sequence. It
	// increases by about 120,000 with each call.
	longCountUnit = 10 * time.Microsecond
	// longCountTime is the time after which the sequence has increased by more than 2^20. A sequence that increases
	// by one with each call needs two weeks for that.
	longCountTime = 14 * time.Second
)

// longCount drains one of eight targets, whose sequence has increased far since its first call. Later than drainTime after the acknowledgement no
// opening packet may reach them.
func longCount(f *fleet, trouble bool) ([]string, error) {
	if err := f.start(3, 3); err != nil {
		return nil, err
	}
	if !f.order("/Config.Replace", configuration(1, 1), 15*time.Second, f.allControls()...) {
		return nil, fmt.Errorf("the first configuration is not accepted")
	}
	var unit time.Duration
	if trouble {
		unit = longCountUnit
	}
	var leaving *target
	for i := range 8 {
		t, err := f.startTargetWithUnit(i, f.zones[i%len(f.zones)], i, unit)
		if err != nil {
			return nil, err
		}
		leaving = t
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	c, err := f.startClient(0, 20*time.Millisecond)
	if err != nil {
		return nil, err
	}
	defer c.end()
	time.Sleep(longCountTime)
	acknowledgedAt, ok := leaving.drain(5 * time.Second)
	if !ok {
		return nil, fmt.Errorf("the target that leaves has no acknowledgement")
	}
	time.Sleep(drainTime + 5*time.Second)
	sent, served, resets := c.counts()
	f.record.line("client: %d requests, %d served, %d reset at their opening", sent, served, resets)
	var broken []string
	for _, o := range f.takenOpenings(acknowledgedAt.Add(drainTime)) {
		if o.target == leaving.id {
			broken = append(broken, fmt.Sprintf("DRAIN: target %s took the opening packet of %v from %s, %v after the acknowledgement that it is draining", o.target, o.caller, o.edge, o.at.Sub(acknowledgedAt).Round(time.Millisecond)))
		}
	}
	return broken, nil
}
