package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, those of a small one.
const (
	heartbeatPeriod = 1200 * time.Millisecond
	drainTime       = 3 * time.Second
	applyTime       = 3 * time.Second
	stableTime      = 4 * time.Second
	evacuateTime    = 5 * time.Second
	graceTime       = 6 * time.Second
	operatorTimeout = time.Second
)

// threeZones are the zones of most cases.
var threeZones = []string{"zone-a", "zone-b", "zone-c"}

// ports are the ports of all machines.
type ports struct{ packet, readiness, control, peer, target int }

// fleet is the system with its platform.
type fleet struct {
	record   *record
	binary   string
	dir      string
	subnet   int
	reserved net.Listener
	zones    []string
	ports    ports
	controls []*process
	edges    []*process
	mu       sync.Mutex
	closed   bool
	targets  []*target
	clients  []*client
	// announcing is closed once targets announce themselves.
	announcing chan struct{}
}

// process is one process of the system.
type process struct {
	fleet     *fleet
	name      string
	zone      string
	ip        string
	isControl bool
	dir       string
	seeds     []string
	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	ends      int // ends that the case did not cause
	killed    bool
}

func newFleet(binary string, r *record) (*fleet, error) {
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("build the system as deploy/system.toml says, then run review/build-3.sh: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, binary: binary, dir: dir, subnet: 20 + rand.IntN(200), zones: threeZones, announcing: make(chan struct{})}
	close(f.announcing)
	f.ports = ports{packet: 8172, readiness: 8167, control: 8166, peer: 7720, target: 8080}
	for range 50 {
		// The listener keeps other cases from the same addresses.
		reserved, err := net.Listen("tcp4", net.JoinHostPort(f.ip(9, 0), fmt.Sprint(f.ports.control)))
		if err == nil && f.portsFree() {
			f.reserved = reserved
			return f, nil
		}
		if err == nil {
			reserved.Close()
		}
		f.subnet = 20 + rand.IntN(200)
	}
	return nil, errors.New("no free ports")
}

func (f *fleet) ip(kind, i int) string { return fmt.Sprintf("127.%d.%d.%d", f.subnet, kind, i+1) }

// portsFree reports whether the ports are free at the first addresses of the subnet.
func (f *fleet) portsFree() bool {
	for kind := 1; kind <= 2; kind++ {
		for _, port := range []int{f.ports.readiness, f.ports.control, f.ports.peer, 9102} {
			l, err := net.Listen("tcp4", net.JoinHostPort(f.ip(kind, 0), fmt.Sprint(port)))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// start starts control hosts and entry daemons for the first time, a control host and an entry daemon in each zone.
func (f *fleet) start(controls, edges int) error {
	var seeds []string
	for i := range min(controls, 3) {
		seeds = append(seeds, f.controlAddress(i))
	}
	for i := range controls {
		f.controls = append(f.controls, f.newProcess(fmt.Sprintf("core-%d", i+1), true, f.ip(1, i), f.zones[i%len(f.zones)], seeds))
	}
	for i := range edges {
		f.edges = append(f.edges, f.newProcess(fmt.Sprintf("edge-%d", i+1), false, f.ip(2, i), f.zones[i%len(f.zones)], seeds))
	}
	for _, p := range f.processes() {
		if err := p.start(true); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) processes() []*process {
	return append(append([]*process{}, f.controls...), f.edges...)
}

func (f *fleet) controlAddress(i int) string {
	return net.JoinHostPort(f.ip(1, i), fmt.Sprint(f.ports.control))
}

func (f *fleet) newProcess(name string, isControl bool, ip, zone string, seeds []string) *process {
	return &process{fleet: f, name: name, isControl: isControl, ip: ip, zone: zone, seeds: seeds, dir: filepath.Join(f.dir, name)}
}

// writeSettings writes the settings file of the platform.
func (p *process) writeSettings(bootstrap bool) error {
	f := p.fleet
	class, serves, addresses, disk := "edge", "edge", map[string]string{
		"datagramAddress": net.JoinHostPort(p.ip, fmt.Sprint(f.ports.packet)), "readiness": net.JoinHostPort(p.ip, fmt.Sprint(f.ports.readiness)),
	}, 0
	var dataDir any
	if p.isControl {
		class, serves, disk = "core", "control_plane", 128
		addresses = map[string]string{"control": net.JoinHostPort(p.ip, fmt.Sprint(f.ports.control))}
		dataDir = filepath.Join(p.dir, "data")
	}
	regions := map[string]string{}
	for _, zone := range f.zones {
		regions[zone] = "region-a"
	}
	settings := map[string]any{
		"nodeName": p.name, "role": class, "machineClass": class, "serves": []string{serves}, "ip": p.ip, "zone": p.zone, "region": "region-a",
		"zones":         regions,
		"bindAddresses": addresses, "internalPortRange": []int{f.ports.peer, f.ports.peer + 15}, "seeds": p.seeds, "bootstrap": bootstrap,
		"countsAsLoss": p.isControl,
		"limits": map[string]any{
			"cpuQuota": 0.48, "cpus": 1, "memoryMb": 280, "maxFds": 4096, "bandwidthMbps": 1000.0, "diskMb": disk,
		},
		"dataDir": dataDir, "discovery": "registry", "entrypoint": "announce", "heartbeatMs": heartbeatPeriod.Milliseconds(),
		"invariants":     []string{"base", "drain", "config", "cost", "recover", "flows"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "stabilityWindowMs": stableTime.Milliseconds(), "ackMs": 5000, "catchUpS": 4,
			"drainMs": drainTime.Milliseconds(), "graceS": graceTime.Seconds(), "lossSlackMs": 200, "configApplyMs": applyTime.Milliseconds(),
			"downgradeMs": 250, "maxSkewMs": 12000, "recoveryS": 12, "reorderMs": 2000, "flowTtlS": 60,
			"evacuateMs": evacuateTime.Milliseconds(), "warmupOverrun": 1.5, "warmupSlack": 5,
		},
		"config_mode": "highest", "hash": "mod", "forwardingMode": "echo",
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(p.dir, "node.json")
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// start starts the process with the command of the deploy file.
func (p *process) start(bootstrap bool) error {
	if err := os.MkdirAll(filepath.Join(p.dir, "data"), 0o700); err != nil {
		return err
	}
	if err := p.writeSettings(bootstrap); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(p.dir, "log.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	command := "edge"
	if p.isControl {
		command = "control"
	}
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if p.fleet.closed {
		return errors.New("the case has ended")
	}
	cmd := exec.Command(p.fleet.binary, command, "--metrics-port", "9102")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.dir, "ROSEMARYGATE_BOOT=" + filepath.Join(p.dir, "node.json")}
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.killed = cmd, exited, false
	p.mu.Unlock()
	p.fleet.record.line("%s started, process %d", p.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		if !p.killed {
			p.ends++
		}
		p.mu.Unlock()
		p.fleet.record.line("%s ended: %v", p.name, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.killed = true
	}
	p.fleet.record.line("%s gets %v", p.name, s)
	_ = p.cmd.Process.Signal(s) // the process may have ended
}

// end kills the process and waits for its end.
func (p *process) end() {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.killed = true
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill() // it may have ended
		<-exited
	}
}

// close ends all processes and removes the files.
func (f *fleet) close() {
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return
	}
	f.closed = true
	f.mu.Unlock()
	for _, p := range f.processes() {
		p.end()
	}
	for _, t := range f.targets {
		t.crash()
	}
	f.reserved.Close()
	os.RemoveAll(f.dir)
}

// awaitReady waits until all entry daemons are ready for flows.
func (f *fleet) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for _, p := range f.edges {
		for {
			response, err := client.Get("http://" + net.JoinHostPort(p.ip, fmt.Sprint(f.ports.readiness)) + "/readyz")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready in %v", p.name, limit)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
