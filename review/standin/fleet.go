package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment Karri Bend (SYSTEM.md).
const (
	stabilityWindow = 4 * time.Second
	ackTime         = 5 * time.Second
	catchUpTime     = 4 * time.Second
	drainTime       = 3 * time.Second
	graceTime       = 6 * time.Second
	applyTime       = 3 * time.Second
	recoveryTime    = 12 * time.Second
	reorderTime     = 2 * time.Second
	beatPeriod      = 1200 * time.Millisecond
	clientDelay     = 3 * time.Millisecond // one way
)

var zoneNames = []string{"perth-a", "perth-b", "perth-c"}

// ports are the same on all machines.
type ports struct{ control, datagram, readiness, server, internal uint16 }

// fleet is the system under test with the platform's part that the case plays.
type fleet struct {
	dir      string // temporary folder
	subnet   byte   // second byte of the loopback addresses
	ports    ports
	commands map[string][]string // of the deploy file, by the class of machines
	rec      *record
	started  time.Time

	mu       sync.Mutex
	controls []*machine // in service, the list of the operator and the servers
	edges    []*machine
	all      []*machine
	seeds    []string
}

// machine runs one process of the system.
type machine struct {
	f        *fleet
	name     string
	class    string // core or edge
	zone     string
	ip       netip.Addr
	dataDir  string
	settings string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	ready  bool // in rotation
}

// newFleet prepares a deployment with one core machine and the given number of edge machines in each zone.
func newFleet(rec *record, edgesPerZone int) (*fleet, error) {
	commands, err := readDeployFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, commands: commands, rec: rec, started: time.Now()}
	for range 50 {
		f.subnet = byte(20 + rand.IntN(200))
		base := uint16(20000 + rand.IntN(8000))
		f.ports = ports{control: base, datagram: base + 1, readiness: base + 2, server: base + 3, internal: base + 4}
		if f.free() {
			break
		}
	}
	if !f.free() {
		return nil, errors.New("no free ports")
	}
	for z := range zoneNames {
		f.addMachine("core", z)
		for range edgesPerZone {
			f.addMachine("edge", z)
		}
	}
	for _, m := range f.controls {
		f.seeds = append(f.seeds, m.controlAddress())
	}
	return f, nil
}

// free reports whether the ports can be used on the first addresses of each kind.
func (f *fleet) free() bool {
	if f.ports.control == 0 {
		return false
	}
	for kind := kindCore; kind <= kindProxy; kind++ {
		for _, port := range []uint16{f.ports.control, f.ports.readiness, f.ports.server, f.ports.internal, metricsPort} {
			l, err := net.Listen("tcp4", netip.AddrPortFrom(f.ip(kind, 1), port).String())
			if err != nil {
				return false
			}
			l.Close()
		}
		for _, port := range []uint16{f.ports.datagram, f.ports.server, f.ports.internal} {
			c, err := net.ListenPacket("udp4", netip.AddrPortFrom(f.ip(kind, 1), port).String())
			if err != nil {
				return false
			}
			c.Close()
		}
	}
	return true
}

// metricsPort is the port of the metrics in the deploy file.
const metricsPort = 9102

func (f *fleet) ip(kind, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.subnet, byte(kind), byte(n)})
}

// Kinds of loopback addresses: the third byte.
const (
	kindCore = iota + 1
	kindEdge
	kindServer
	kindClient
	kindProxy
)

// addMachine adds a machine that is not started yet.
func (f *fleet) addMachine(class string, zone int) *machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	kind, list := kindCore, &f.controls
	if class == "edge" {
		kind, list = kindEdge, &f.edges
	}
	n := 1
	for _, m := range f.all {
		if m.class == class {
			n++
		}
	}
	m := &machine{f: f, class: class, zone: zoneNames[zone], ip: f.ip(kind, n), name: fmt.Sprintf("%s-%s-%d", class, zoneNames[zone], n)}
	m.dataDir = filepath.Join(f.dir, m.name, "data")
	m.settings = filepath.Join(f.dir, m.name, "node.json")
	f.all = append(f.all, m)
	*list = append(*list, m)
	return m
}

// readDeployFile returns the commands of the roles by the class of machines.
func readDeployFile(path string) (map[string][]string, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	out := map[string][]string{}
	var run []string
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		key, value, ok := strings.Cut(lines.Text(), "=")
		if !ok {
			continue
		}
		value = strings.Trim(strings.TrimSpace(value), `"`)
		switch strings.TrimSpace(key) {
		case "run":
			run = strings.Fields(value)
		case "on":
			out[value] = run
		}
	}
	if len(out["edge"]) == 0 || len(out["core"]) == 0 {
		return nil, fmt.Errorf("%s has no command for edge or core", path)
	}
	return out, lines.Err()
}

func (m *machine) controlAddress() string {
	return netip.AddrPortFrom(m.ip, m.f.ports.control).String()
}

// writeSettings writes the settings file of DEPLOY.md.
func (m *machine) writeSettings(bootstrap bool) error {
	f := m.f
	bind := map[string]string{"datagramAddress": netip.AddrPortFrom(m.ip, f.ports.datagram).String(), "readiness": netip.AddrPortFrom(m.ip, f.ports.readiness).String()}
	serves := []string{"edge"}
	var dataDir any
	diskMB := 0
	if m.class == "core" {
		bind, serves = map[string]string{"control": m.controlAddress()}, []string{"control_plane"}
		dataDir, diskMB = m.dataDir, 128
		if err := os.MkdirAll(m.dataDir, 0o755); err != nil {
			return err
		}
	}
	zones := map[string]string{}
	for _, z := range zoneNames {
		zones[z] = "perth"
	}
	data, err := json.Marshal(map[string]any{
		"nodeName": m.name, "role": m.class, "machineClass": m.class, "serves": serves, "ip": m.ip.String(), "zone": m.zone,
		"region": "perth", "zones": zones, "bindAddresses": bind, "internalPortRange": []uint16{f.ports.internal, f.ports.internal + 15},
		"seeds": f.seeds, "bootstrap": bootstrap, "countsAsLoss": m.class == "core",
		"limits":  map[string]any{"cpuQuota": 0.48, "cpus": 1, "memoryMb": 280, "maxFds": 4096, "bandwidthMbps": 1000.0, "diskMb": diskMB},
		"dataDir": dataDir, "discovery": "registry", "entrypoint": "announce", "heartbeatMs": beatPeriod.Milliseconds(),
		"invariants":     []string{"base", "drain", "config", "cost", "recover", "flows"},
		"faultTolerance": map[string]any{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "stabilityWindowMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 6, "lossSlackMs": 200,
			"configApplyMs": 3000, "downgradeMs": 250, "maxSkewMs": 12000, "recoveryS": 12, "reorderMs": 2000, "flowTtlS": 60,
		},
		"config_mode": "highest", "hash": "mod", "forwardingMode": "echo",
	})
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(m.settings), 0o755); err != nil {
		return err
	}
	return os.WriteFile(m.settings, data, 0o644)
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start(bootstrap bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.writeSettings(bootstrap); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(filepath.Dir(m.settings), "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	words := m.f.commands[m.class]
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.f.dir, "LANG=C", "ROSEMARYGATE_BOOT=" + m.settings}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startCommand(cmd); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.cmd, m.exited = cmd, exited
	go func() {
		_ = cmd.Wait() // the exit status does not matter
		close(exited)
	}()
	m.f.rec.event("%s starts (bootstrap %v)", m.name, bootstrap)
	return nil
}

// startCommand starts a command from a thread that lives as long as this process: the kernel sends the signal
// of Pdeathsig when the thread that started the process ends.
func startCommand(cmd *exec.Cmd) error {
	starterOnce.Do(func() {
		go func() {
			runtime.LockOSThread()
			for task := range starterTasks {
				task.result <- task.cmd.Start()
			}
		}()
	})
	task := starterTask{cmd, make(chan error, 1)}
	starterTasks <- task
	return <-task.result
}

type starterTask struct {
	cmd    *exec.Cmd
	result chan error
}

var (
	starterOnce  sync.Once
	starterTasks = make(chan starterTask)
)

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	cmd := m.cmd
	m.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(s) // the process may have ended
	}
}

// stop sends a signal and waits until the process has ended.
func (m *machine) stop(s syscall.Signal) {
	m.f.rec.event("%s gets %v", m.name, s)
	m.signal(s)
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(graceTime):
		m.signal(syscall.SIGKILL)
		<-exited
	}
	m.f.rec.event("%s has ended", m.name)
}

// remove takes a machine off the operator's list.
func (f *fleet) remove(gone *machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, m := range f.controls {
		if m == gone {
			f.controls = append(f.controls[:i:i], f.controls[i+1:]...)
			return
		}
	}
}

func (f *fleet) controlList() []*machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*machine(nil), f.controls...)
}

// startAll starts all machines for the first time and the readiness checks.
func (f *fleet) startAll() error {
	for _, m := range f.all {
		if err := m.start(true); err != nil {
			return err
		}
	}
	for _, m := range f.edges {
		go m.checkReadiness()
	}
	return nil
}

func (f *fleet) close() {
	for _, m := range f.all {
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
	}
	for _, m := range f.all {
		if m.exited != nil {
			<-m.exited
		}
	}
	os.RemoveAll(f.dir)
}

// checkReadiness plays the readiness checks of the platform: twice a second, out of rotation after two misses.
func (m *machine) checkReadiness() {
	client := &http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	missed := 0
	for {
		resp, err := client.Get("http://" + netip.AddrPortFrom(m.ip, m.f.ports.readiness).String() + "/readyz")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			resp.Body.Close()
		}
		if missed++; ok {
			missed = 0
		}
		m.mu.Lock()
		before := m.ready
		m.ready = ok || m.ready && missed < 2
		if m.ready != before {
			m.f.rec.event("%s in rotation: %v", m.name, m.ready)
		}
		m.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

func (m *machine) inRotation() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ready
}

// rotation returns the edge machines to which the routers send the packets of a zone's clients.
func (f *fleet) rotation(zone string) []*machine {
	var inZone, ready, readyElsewhere []*machine
	for _, m := range f.edges {
		switch {
		case m.zone == zone && m.inRotation():
			ready, inZone = append(ready, m), append(inZone, m)
		case m.zone == zone:
			inZone = append(inZone, m)
		case m.inRotation():
			readyElsewhere = append(readyElsewhere, m)
		}
	}
	switch {
	case len(ready) == 0 && len(readyElsewhere) > 0:
		return readyElsewhere
	case 2*len(ready) < len(inZone):
		return inZone
	}
	return ready
}

// call sends a request to a control address and returns status and body; status 0 stands for no response
// within a second.
func call(address, method, path string, body []byte, from netip.Addr) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	dialer := &net.Dialer{}
	if from.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: from.AsSlice()}
	}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	client := &http.Client{Transport: transport}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}
