package main

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	clientsPerZone = 60
	lateSYNFreeze  = 2500 * time.Millisecond
	lateSYNPause   = 9 * time.Second // between two freezes, so that the machines are in touch again
	lateSYNFreezes = 7
)

// startTargets starts the targets of the deployment kbr-floor.
func (f *fleet) startTargets() error {
	i := 0
	for _, s := range []struct {
		service string
		counts  [3]int
		work    time.Duration
	}{{"pressline", [3]int{5, 5, 4}, 40 * time.Millisecond}, {"packbench", [3]int{2, 1, 1}, 5 * time.Millisecond}} {
		for z, count := range s.counts {
			for range count {
				if _, err := f.startTarget(i, s.service, zones[z], s.work); err != nil {
					return err
				}
				i++
			}
		}
	}
	return nil
}

// begin starts the deployment and waits until it serves.
func (f *fleet) begin(edgesPerZone ...int) error {
	f.build(edgesPerZone...)
	if err := f.startAll(); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	if err := f.startTargets(); err != nil {
		return err
	}
	if _, err := f.replaceConfig(configuration(1, feedRoute, countRoute, labelRoute), 10*time.Second); err != nil {
		return err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(f.sheet.stability)
	return nil
}

// runLateSYN freezes entry machines one after the other. Each finds the SYNs of its time out of rotation in its
// socket when it wakes; the flows have opened through other machines meanwhile.
func runLateSYN(f *fleet, trouble bool) (int, error) {
	if err := f.begin(3, 2, 2); err != nil {
		return 0, err
	}
	var requests, unanswered atomic.Int64
	for z, zone := range zones {
		for i := range clientsPerZone {
			c, err := f.startClient(z*clientsPerZone+i, zone)
			if err != nil {
				return 0, err
			}
			f.work.Go(func() { c.useFeeds(&requests, &unanswered) })
		}
	}
	time.Sleep(6 * time.Second)
	order := rand.Perm(len(f.edges))
	for i := range lateSYNFreezes {
		if trouble {
			f.edges[order[i%len(order)]].freeze(lateSYNFreeze)
		} else {
			time.Sleep(lateSYNFreeze)
		}
		time.Sleep(lateSYNPause)
	}
	broken, excused := f.observer.result()
	f.record.note("%d requests answered, %d not; flows reset by a foreign target: %d counted, %d through machines out of touch", requests.Load(), unanswered.Load(), broken, excused)
	if requests.Load() == 0 {
		return 0, fmt.Errorf("no request was answered")
	}
	return broken, nil
}

// useFeeds opens flows one after the other and sends requests with pauses on each.
func (c *client) useFeeds(requests, unanswered *atomic.Int64) {
	for n := 0; ; n++ {
		if !c.f.sleep(time.Duration(c.rng.IntN(300)) * time.Millisecond) {
			return
		}
		route := feedRoute
		if c.rng.IntN(4) == 0 {
			route = countRoute
		}
		fl, how := c.dial(route.address)
		if how != opened {
			continue
		}
		for k := range 4 + c.rng.IntN(16) {
			id := fmt.Sprintf("%v-%d-%d", c.ip, n, k)
			method, answerBytes, body := "GET", 2000, 0
			if route.kind == "unsafe" {
				method, answerBytes, body = "POST", 600, 900
			}
			how := fl.request(method, id, answerBytes, body)
			select {
			case <-c.f.stop:
				return
			default:
			}
			if how != answered {
				unanswered.Add(1)
				c.f.record.note("request %s (%s) on %v: %s", id, route.kind, fl.key, how)
				break
			}
			requests.Add(1)
			if !fl.idle(time.Duration(100+c.rng.IntN(900)) * time.Millisecond) {
				break
			}
		}
		fl.close()
		c.f.observer.closed(fl.key)
	}
}
