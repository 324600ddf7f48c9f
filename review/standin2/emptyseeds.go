package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

const (
	killedFor        = 3500 * time.Millisecond // of the first seed
	wipesAfter       = 3300 * time.Millisecond // after that kill
	wipedFor         = 2 * time.Second
	leaderChanged    = 4028 // number of the log event
	finalReadsFor    = 20 * time.Second
	calmAfterReturns = 25 * time.Second // more than catchUpS and recoveryS
)

// kill kills the process and starts it again after a time, with an empty disk if it is wiped.
func (p *process) kill(down time.Duration, wipe bool) error {
	p.f.record.note("%s is killed for %v, disk lost: %v", p.name, down, wipe)
	p.disturb(true)
	defer p.disturb(false)
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	<-exited
	if wipe {
		if err := os.RemoveAll(p.dataDir); err != nil {
			return err
		}
	}
	time.Sleep(down)
	p.f.record.note("%s starts again", p.name)
	return p.start(false)
}

// leader returns the name of the core machine that leads by the log of p, empty if it knows none.
func (p *process) leader() string {
	log, err := os.Open(p.logPath())
	if err != nil {
		return ""
	}
	defer log.Close()
	name := ""
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		var line struct {
			Event  int    `json:"event"`
			Leader string `json:"leader"`
		}
		if json.Unmarshal(lines.Bytes(), &line) != nil || line.Event != leaderChanged {
			continue
		}
		name = ""
		for _, c := range p.f.coreList() {
			if line.Leader == fmt.Sprintf("%v:%d", c.ip, p.f.ports.peer) {
				name = c.name
			}
		}
	}
	return name
}

// readVersion reads the configuration at a core machine and returns its version, 0 if there is no answer with it.
func (p *process) readVersion() uint64 {
	status, answer := call("GET", p.control(), "/Config.Read", nil)
	var c struct {
		Version uint64 `json:"version"`
	}
	if status != http.StatusOK || json.Unmarshal(answer, &c) != nil {
		p.f.record.note("operator reads at %s: %d", p.name, status)
		return 0
	}
	p.f.record.note("operator reads at %s: version %d", p.name, c.Version)
	return c.Version
}

// runEmptySeeds loses the disks of two seeds while the third one is down and removed from the group. Long after
// all are back, the machine that has just acknowledged a configuration loses its disk.
func runEmptySeeds(f *fleet, trouble bool) (int, error) {
	f.sheet = kbrFloorGrown
	onlyLast := os.Getenv("ONLY_LAST") == "1"
	if err := f.begin(3, 2, 2); err != nil {
		return 0, err
	}
	for version := uint64(2); version <= 4; version++ {
		if _, err := f.replaceConfig(configuration(version, feedRoute, countRoute, labelRoute), f.sheet.ack); err != nil {
			return 0, err
		}
	}
	if trouble && !onlyLast {
		if err := f.emptySeeds(); err != nil {
			return 0, err
		}
	}
	time.Sleep(calmAfterReturns)
	for _, p := range f.coreList() {
		p.readVersion()
	}
	const last = 5
	acknowledged, err := f.replaceConfig(configuration(last, feedRoute, countRoute, labelRoute), 2*f.sheet.ack)
	if err != nil {
		return 0, err
	}
	if trouble {
		if err := acknowledged.kill(time.Second, true); err != nil {
			return 0, err
		}
	}
	time.Sleep(f.sheet.recovery)
	answered, older := 0, 0
	for end := time.Now().Add(finalReadsFor); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, p := range f.coreList() {
			switch version := p.readVersion(); {
			case version == 0:
			case version < last:
				older++
			default:
				answered++
			}
		}
	}
	f.record.note("reads of the acknowledged version %d: %d, of an older one: %d", last, answered, older)
	switch {
	case older > 0:
		f.record.note("BROKEN CONFIG: an older version is read")
		return older, nil
	case answered == 0:
		f.record.note("BROKEN LOST: version %d was acknowledged and cannot be read at any machine", last)
		return 1, nil
	}
	return 0, nil
}

// emptySeeds kills a seed that does not lead, and takes the disks of the other two seeds when the group has
// removed it.
func (f *fleet) emptySeeds() error {
	var first *process
	var others []*process
	for _, p := range f.seedMachines() {
		if first == nil && p.leader() != p.name {
			first = p
		} else {
			others = append(others, p)
		}
	}
	f.record.note("leader: %s", first.leader())
	results := make(chan error, 3)
	go func() { results <- first.kill(killedFor, false) }()
	time.Sleep(wipesAfter)
	for _, p := range others {
		go func() { results <- p.kill(wipedFor, true) }()
	}
	for range 3 {
		if err := <-results; err != nil {
			return err
		}
	}
	f.record.note("all machines are back")
	return nil
}
