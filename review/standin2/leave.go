package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	firstBackoff   = 800 * time.Millisecond // of a call without a response; it doubles
	maxLeaveTime   = 5 * time.Second        // after which a target exits without an acknowledgement
	replacedCount  = 6                      // of the 14 targets of pressline
	replacementGap = time.Second
)

// dropResponses forwards the connections to an address and drops what comes back. It returns its own address.
func (f *fleet) dropResponses(address string) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	f.work.Go(func() {
		<-f.stop
		listener.Close()
	})
	f.work.Go(func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			f.work.Go(func() { forwardOneWay(from, address) })
		}
	})
	return listener.Addr().String(), nil
}

func forwardOneWay(from net.Conn, address string) {
	defer from.Close()
	to, err := net.Dial("tcp4", address)
	if err != nil {
		return
	}
	defer to.Close()
	go func() { _, _ = io.Copy(io.Discard, to) }() // ends with the connection
	_, _ = io.Copy(to, from)                       // ends when the sender gives up
}

// leave drains the target, deregisters it and ends it. The response to its first deregistration is lost if
// loses is set.
func (t *target) leave(serves time.Duration, loses bool) {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	t.f.record.note("%s drains", t.id)
	if !t.f.sleep(serves) {
		return
	}
	t.mu.Lock()
	t.leaving = true
	t.mu.Unlock()
	cores := t.f.coreList()
	backoff, i := firstBackoff, rand.IntN(len(cores))
	for begin := time.Now(); time.Since(begin) < maxLeaveTime; i++ {
		p := cores[i%len(cores)]
		address := p.control()
		if loses {
			loses = false
			lossy, err := t.f.dropResponses(address)
			if err != nil {
				t.f.record.note("the response is not lost: %v", err)
				lossy = address
			}
			address = lossy
		}
		status, _ := call("POST", address, "/Instances.Deregister/"+t.id, nil)
		t.f.record.note("%s deregisters at %s: %d", t.id, p.name, status)
		if status == http.StatusOK || !t.f.sleep(backoff) {
			break
		}
		backoff *= 2
	}
	t.f.record.note("%s exits", t.id)
	t.end()
}

// runLostReply replaces targets one after the other. One response to each is lost.
func runLostReply(f *fleet, trouble bool) (int, error) {
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
			f.work.Go(func() { c.useFeedsRarely(&requests, &unanswered) })
		}
	}
	time.Sleep(15 * time.Second)
	f.mu.Lock()
	leaving := append([]*target(nil), f.targets[:replacedCount]...)
	f.mu.Unlock()
	var left sync.WaitGroup
	for i, t := range leaving {
		if _, err := f.startTarget(30+i, t.service, t.zone, t.work); err != nil {
			return 0, err
		}
		time.Sleep(replacementGap)
		left.Go(func() { t.leave(f.sheet.drain+500*time.Millisecond, trouble) })
	}
	left.Wait()
	time.Sleep(3 * time.Second)
	broken, _ := f.observer.result()
	f.record.note("%d requests answered, %d not; open flows reset while their target lives: %d", requests.Load(), unanswered.Load(), broken)
	if requests.Load() == 0 {
		return 0, fmt.Errorf("no request was answered")
	}
	return broken, nil
}

// useFeedsRarely keeps a flow open and sends a request from time to time.
func (c *client) useFeedsRarely(requests, unanswered *atomic.Int64) {
	for n := 0; ; n++ {
		if !c.f.sleep(time.Duration(c.rng.IntN(2000)) * time.Millisecond) {
			return
		}
		fl, how := c.dial(feedRoute.address)
		if how != opened {
			continue
		}
		for k := 0; ; k++ {
			id := fmt.Sprintf("%v-%d-%d", c.ip, n, k)
			if how := fl.request("GET", id, 2000, 0); how != answered {
				unanswered.Add(1)
				c.f.record.note("request %s on %v: %s", id, fl.key, how)
				break
			}
			requests.Add(1)
			if !fl.idle(4*time.Second + time.Duration(c.rng.IntN(8000))*time.Millisecond) {
				break
			}
		}
		fl.close()
		c.f.observer.closed(fl.key)
	}
}

// runOtherNames sends one heartbeat of another writer, whose fields have other names than those of the page.
func runOtherNames(f *fleet, trouble bool) (int, error) {
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
	time.Sleep(8 * time.Second)
	if trouble {
		f.mu.Lock()
		t := f.targets[0]
		f.mu.Unlock()
		status, answer := call("POST", f.cores[0].control(), "/Instances.Heartbeat/i-0badc0de", map[string]any{
			"Service": t.service, "Address": t.address.String(), "Zone": t.zone, "Version": "v1", "Concurrency": 3, "State": "ready",
			"WarmupRemainingMs": 0, "Sequence": 1, "Born": time.Now().UnixMilli(),
		})
		f.record.note("heartbeat of another writer with the address of %s at %s: %d %s", t.id, f.cores[0].name, status, answer)
	}
	time.Sleep(10 * time.Second)
	broken, _ := f.observer.result()
	f.record.note("%d requests answered, %d not; open flows reset while their target lives: %d", requests.Load(), unanswered.Load(), broken)
	if requests.Load() == 0 {
		return 0, fmt.Errorf("no request was answered")
	}
	return broken, nil
}
