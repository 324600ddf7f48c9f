package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// deployment holds the figures of a sheet that the stand-ins use.
type deployment struct {
	coresPerZone   int
	toleratedDisks int
	heartbeat      time.Duration
	stability      time.Duration // stabilityWindowMs
	catchUp        time.Duration
	recovery       time.Duration
	drain          time.Duration
	configApply    time.Duration
	ack            time.Duration
}

var (
	// kbrFloor is the sheet of kbr-floor.
	kbrFloor = deployment{1, 1, 1200 * time.Millisecond, 4 * time.Second, 4 * time.Second, 12 * time.Second, 3 * time.Second, 3 * time.Second, 5 * time.Second}
	// kbrFloorGrown is the sheet of kbr-floor-grown, but for the number of edges and targets.
	kbrFloorGrown = deployment{2, 2, 1200 * time.Millisecond, 5 * time.Second, 6 * time.Second, 15 * time.Second, 4 * time.Second, 4 * time.Second, 6 * time.Second}
)

var zones = []string{"perth-a", "perth-b", "perth-c"}

// ports are the ports of a day; they are the same on all machines.
type ports struct{ datagram, readiness, control, peer, target uint16 }

// fleet is the deployment: the processes of the system and the stand-ins around them.
type fleet struct {
	sheet    deployment
	record   *recorder
	observer *observer
	root     string
	logs     string
	dir      string
	network  [2]byte // second and third byte of all addresses
	ports    ports
	commands map[string][]string // by role
	edges    []*process
	cores    []*process
	stop     chan struct{}
	stopOnce sync.Once
	work     sync.WaitGroup

	mu      sync.Mutex // guards targets, and cores once the machines run
	targets []*target
}

// process is one process of the system on its own machine.
type process struct {
	f        *fleet
	name     string
	role     string
	zone     string
	ip       netip.Addr
	settings string
	dataDir  string
	seeds    []string // of its settings file; those of the first start if there are none

	mu          sync.Mutex
	cmd         *exec.Cmd
	exited      chan struct{}
	disturbedAt time.Time // latest moment at which a disruption was in force on the machine
	disturbed   bool      // a disruption is in force
	inRotation  bool
	misses      int
}

func newFleet(root, logs string, r *recorder) (*fleet, error) {
	f := &fleet{sheet: kbrFloor, record: r, root: root, logs: logs, stop: make(chan struct{}), commands: map[string][]string{}}
	f.observer = newObserver(f)
	var err error
	if f.root, err = filepath.Abs(root); err != nil {
		return nil, err
	}
	if err := f.readCommands(); err != nil {
		return nil, err
	}
	if f.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	f.network = [2]byte{byte(64 + rand.IntN(128)), byte(1 + rand.IntN(240))}
	f.ports = ports{datagram: freePort(), readiness: freePort(), control: freePort(), peer: freePort(), target: freePort()}
	return f, nil
}

// freePort returns a port outside the range from which the kernel takes ports of connections.
func freePort() uint16 {
	for {
		port := uint16(10000 + rand.IntN(20000))
		if l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			l.Close()
			return port
		}
	}
}

// readCommands reads the commands of the roles from the deploy file.
func (f *fleet) readCommands() error {
	content, err := os.ReadFile(filepath.Join(f.root, "deploy", "system.toml"))
	if err != nil {
		return err
	}
	role := ""
	rolePattern, runPattern := regexp.MustCompile(`^\[roles\.(.+)\]`), regexp.MustCompile(`^run = "(.+)"`)
	for line := range strings.Lines(string(content)) {
		if m := rolePattern.FindStringSubmatch(line); m != nil {
			role = m[1]
		}
		if m := runPattern.FindStringSubmatch(line); m != nil {
			f.commands[role] = strings.Fields(m[1])
		}
	}
	if len(f.commands["entry"]) == 0 || len(f.commands["control"]) == 0 {
		return fmt.Errorf("the deploy file has no commands for entry and control")
	}
	return nil
}

// Kinds of machines, each with a network of its own.
const (
	coreMachine = iota
	edgeMachine
	targetMachine
	clientMachine
)

// coreList returns the core machines that serve now, as the operator's list has them.
func (f *fleet) coreList() []*process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.cores)
}

// address returns the address of a machine.
func (f *fleet) address(kind, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.network[0], f.network[1] + byte(kind), byte(1 + i)})
}

// build lays out the machines: the edges of each zone, and the cores of the sheet.
func (f *fleet) build(edgesPerZone ...int) {
	for _, zone := range zones {
		for k := range f.sheet.coresPerZone {
			f.cores = append(f.cores, &process{f: f, name: fmt.Sprintf("core-%s-%d", zone, k+1), role: "control", zone: zone, ip: f.address(coreMachine, len(f.cores))})
		}
	}
	n := 0
	for i, count := range edgesPerZone {
		for k := range count {
			f.edges = append(f.edges, &process{f: f, name: fmt.Sprintf("edge-%s-%d", zones[i], k+1), role: "entry", zone: zones[i], ip: f.address(edgeMachine, n)})
			n++
		}
	}
}

// seedMachines returns the machines that the settings name as seeds: the first core of each zone.
func (f *fleet) seedMachines() []*process {
	var out []*process
	for i := 0; i < len(f.cores); i += f.sheet.coresPerZone {
		out = append(out, f.cores[i])
	}
	return out
}

func (f *fleet) seeds() []string { return controlsOf(f.seedMachines()) }

func controlsOf(machines []*process) []string {
	var out []string
	for _, p := range machines {
		out = append(out, p.control())
	}
	return out
}

func (p *process) control() string {
	return netip.AddrPortFrom(p.ip, p.f.ports.control).String()
}

func (p *process) datagram() netip.AddrPort { return netip.AddrPortFrom(p.ip, p.f.ports.datagram) }

// writeSettings writes the settings file of a process as the platform does.
func (p *process) writeSettings(bootstrap bool) error {
	f := p.f
	if len(p.seeds) == 0 {
		p.seeds = f.seeds()
	}
	zoneMap := map[string]string{}
	for _, z := range zones {
		zoneMap[z] = "perth"
	}
	s := map[string]any{
		"nodeName": p.name, "role": p.role, "ip": p.ip.String(), "zone": p.zone, "region": "perth", "zones": zoneMap,
		"internalPortRange": []uint16{f.ports.peer, f.ports.peer + 15}, "seeds": p.seeds, "bootstrap": bootstrap,
		"discovery": "registry", "entrypoint": "announce", "heartbeatMs": f.sheet.heartbeat.Milliseconds(),
		"invariants":     []string{"base", "drain", "config", "cost", "recover", "flows"},
		"faultTolerance": map[string]int{"machines": f.sheet.toleratedDisks, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "stabilityWindowMs": f.sheet.stability.Milliseconds(), "ackMs": f.sheet.ack.Milliseconds(),
			"catchUpS": f.sheet.catchUp.Seconds(), "drainMs": f.sheet.drain.Milliseconds(), "graceS": 6, "lossSlackMs": 200,
			"configApplyMs": f.sheet.configApply.Milliseconds(), "downgradeMs": 250, "maxSkewMs": 12000,
			"recoveryS": f.sheet.recovery.Seconds(), "reorderMs": 2000, "flowTtlS": 60,
		},
		"config_mode": "highest", "hash": "mod", "forwardingMode": "echo",
	}
	limits := map[string]any{"cpuQuota": 0.088, "cpus": 1, "memoryMb": 284, "maxFds": 4100, "bandwidthMbps": 1000.0, "diskMb": 0}
	if p.role == "control" {
		p.dataDir = filepath.Join(f.dir, p.name+"-data")
		if err := os.MkdirAll(p.dataDir, 0o700); err != nil {
			return err
		}
		limits = map[string]any{"cpuQuota": 0.48, "cpus": 1, "memoryMb": 280, "maxFds": 4096, "bandwidthMbps": 1000.0, "diskMb": 128}
		s["machineClass"], s["serves"], s["countsAsLoss"], s["dataDir"] = "core", []string{"control_plane"}, true, p.dataDir
		s["bindAddresses"] = map[string]string{"control": p.control()}
	} else {
		s["machineClass"], s["serves"], s["countsAsLoss"], s["dataDir"] = "edge", []string{"edge"}, false, nil
		s["bindAddresses"] = map[string]string{
			"datagramAddress": p.datagram().String(), "readiness": netip.AddrPortFrom(p.ip, f.ports.readiness).String(),
		}
	}
	s["limits"] = limits
	content, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	p.settings = filepath.Join(f.dir, p.name+".json")
	return os.WriteFile(p.settings, content, 0o600)
}

// logPath returns the file with what the process prints.
func (p *process) logPath() string {
	folder := p.f.logs
	if folder == "" {
		folder = p.f.dir
	}
	return filepath.Join(folder, p.name+".log")
}

// start starts the process.
func (p *process) start(bootstrap bool) error {
	if err := p.writeSettings(bootstrap); err != nil {
		return err
	}
	words := p.f.commands[p.role]
	cmd := exec.Command(filepath.Join(p.f.root, words[0]), words[1:]...)
	cmd.Dir = p.f.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.f.dir, "ROSEMARYGATE_BOOT=" + p.settings}
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait() // how it ended does not matter
		log.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // it may have ended
	}
}

// disturb records that a disruption begins or ends on the machine.
func (p *process) disturb(begins bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbed, p.disturbedAt = begins, time.Now()
}

// calm reports whether the machine had no disruption for the stability window.
func (p *process) calm() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.disturbed && time.Since(p.disturbedAt) >= p.f.sheet.stability
}

// freeze stops the process for a time, as node_freeze does.
func (p *process) freeze(d time.Duration) {
	p.f.record.note("%s freezes for %v", p.name, d)
	p.disturb(true)
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
	p.disturb(false)
	p.f.record.note("%s wakes", p.name)
}

// startAll starts all processes and the checks of the platform.
func (f *fleet) startAll() error {
	for _, p := range slices.Concat(f.cores, f.edges) {
		p.disturb(false)
		if err := p.start(true); err != nil {
			return err
		}
	}
	for _, p := range f.edges {
		f.work.Go(p.probe)
	}
	return nil
}

// stopAll ends everything that the case has started.
func (f *fleet) stopAll() {
	f.stopOnce.Do(func() {
		close(f.stop)
		for _, p := range slices.Concat(f.coreList(), f.edges) {
			p.signal(syscall.SIGKILL)
			p.mu.Lock()
			exited := p.exited
			p.mu.Unlock()
			if exited != nil {
				<-exited
			}
		}
		f.mu.Lock()
		targets := slices.Clone(f.targets)
		f.mu.Unlock()
		for _, t := range targets {
			t.end()
		}
		f.work.Wait()
		os.RemoveAll(f.dir)
	})
}

// sleep waits, and reports false if the case ends meanwhile.
func (f *fleet) sleep(d time.Duration) bool {
	select {
	case <-f.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// edgeAt returns the edge with an address.
func (f *fleet) edgeAt(a netip.Addr) *process {
	for _, p := range f.edges {
		if p.ip == a {
			return p
		}
	}
	return nil
}
