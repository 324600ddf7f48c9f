// Package flowbench measures the memory of open flows at one daemon and the rate at which the daemon
// opens them.
//
// Daemon, stand-in upstreams and caller share the process. The caller's memory is allocated and
// touched before the first flow opens, and the stand-ins keep no state for a flow without a feed, so
// later growth of the process is due to the daemon.
package flowbench

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"rosemarygate/pkg/config"
	"rosemarygate/pkg/fleet"
	"rosemarygate/pkg/standin"
)

const (
	port          = 4201
	service       = "bench/flows"
	credential    = "bench-credential"
	dataCentre    = "bench"
	upstreamCount = 8
	startTimeout  = 15 * time.Second
)

// Options of a run.
type Options struct {
	Flows           int
	OpenRate        int           // new flows per second
	HoldDuration    time.Duration // how long all flows are held open
	KeepAlivePeriod time.Duration // time between two keep-alives of a flow
	OpenFeeds       bool          // open a feed on every flow
}

// MemoryUse is the memory in use by the process.
type MemoryUse struct {
	Heap int `json:"heap_bytes"` // live objects after a garbage collection
	RSS  int `json:"rss_bytes"`
}

// Report is the result of a run.
type Report struct {
	Flows              int       `json:"flows"`
	OpenSeconds        float64   `json:"open_seconds"`
	FlowsPerSec        float64   `json:"flows_per_second"`
	SlowestSecondFlows int       `json:"slowest_second"` // flows confirmed in the slowest whole second
	Before             MemoryUse `json:"before"`
	After              MemoryUse `json:"after"`
	HeapPerFlow        float64   `json:"heap_bytes_per_flow"`
	RSSPerFlow         float64   `json:"rss_bytes_per_flow"`
	// UncollectedRSSPerFlow is the resident memory per flow before a garbage collection.
	UncollectedRSSPerFlow float64 `json:"rss_uncollected_bytes_per_flow"`
	HeldFlows             int     `json:"held_flows"` // open at the daemon at the end of the hold time
	OpensRefused          int64   `json:"opens_refused"`
	HeldFeeds             int64   `json:"held_feeds"`             // flows whose keep-alive reported an active feed
	KeepAlivesPerSec      float64 `json:"keep_alives_per_second"` // acknowledged while the flows are held
}

// Run opens the flows, holds them and measures memory and rates.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Flows < 1 || o.OpenRate < 1 {
		return nil, errors.New("flows and rate must be at least 1")
	}
	cfg, err := loadConfig(o)
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := fleet.New(cfg, []string{dataCentre}, log)
	defer f.Close()
	if err := startFleet(f, o); err != nil {
		return nil, err
	}
	daemonAddress := net.UDPAddrFromAddrPort(netip.AddrPortFrom(f.Hosts()[0].Addr, port))
	c, err := newCaller(daemonAddress, o.Flows)
	if err != nil {
		return nil, err
	}
	defer c.conn.Close()
	c.subscribeFeeds = o.OpenFeeds
	go c.receiveReplies()
	return measure(ctx, f, c, o)
}

func measure(ctx context.Context, f *fleet.Fleet, c *caller, o Options) (*Report, error) {
	r := &Report{Flows: o.Flows}
	var err error
	if r.Before, err = collectAndReadMemory(); err != nil {
		return nil, err
	}
	quit, stopWatch := watchConfirmRate(c)
	start := time.Now()
	err = c.openFlows(ctx, o.OpenRate, o.KeepAlivePeriod)
	r.OpenSeconds = time.Since(start).Seconds()
	rates := stopWatch(quit)
	if err != nil {
		return nil, err
	}
	r.FlowsPerSec = float64(o.Flows) / r.OpenSeconds
	if len(rates) > 0 {
		r.SlowestSecondFlows = slices.Min(rates)
	}
	acksBefore, holdStart := c.keepAliveAcks.Load(), time.Now()
	c.holdFlows(ctx, o.HoldDuration, o.KeepAlivePeriod)
	r.KeepAlivesPerSec = float64(c.keepAliveAcks.Load()-acksBefore) / time.Since(holdStart).Seconds()
	uncollectedRSS, err := residentBytes()
	if err != nil {
		return nil, err
	}
	r.UncollectedRSSPerFlow = float64(uncollectedRSS-r.Before.RSS) / float64(o.Flows)
	if r.After, err = collectAndReadMemory(); err != nil {
		return nil, err
	}
	for _, u := range f.Daemon(0).Status().Upstreams {
		r.HeldFlows += u.Flows
	}
	r.HeldFeeds = c.activeFeeds.Load()
	r.OpensRefused = c.refusedOpens.Load()
	r.HeapPerFlow = float64(r.After.Heap-r.Before.Heap) / float64(o.Flows)
	r.RSSPerFlow = float64(r.After.RSS-r.Before.RSS) / float64(o.Flows)
	return r, ctx.Err()
}

// watchConfirmRate counts the flows confirmed in each whole second. It returns a channel, and a
// function that closes that channel to stop the counting and returns the counts.
func watchConfirmRate(c *caller) (chan struct{}, func(chan struct{}) []int) {
	quit, done := make(chan struct{}), make(chan struct{})
	var rates []int
	go func() {
		defer close(done)
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		last := int64(0)
		for {
			select {
			case <-quit:
				return
			case <-ticker.C:
				now := c.confirmedFlows.Load()
				rates = append(rates, int(now-last))
				last = now
			}
		}
	}()
	return quit, func(quit chan struct{}) []int {
		close(quit)
		<-done
		return rates
	}
}

// collectAndReadMemory collects garbage, returns free memory to the system and reads the memory use
// of the process.
func collectAndReadMemory() (MemoryUse, error) {
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	rss, err := residentBytes()
	return MemoryUse{Heap: int(m.HeapAlloc), RSS: rss}, err
}

func residentBytes() (int, error) {
	b, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, errors.Wrap(err, "resident memory cannot be read: run on Linux")
	}
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return 0, errors.New("resident memory cannot be read: /proc/self/statm has no second field")
	}
	pages, err := strconv.Atoi(fields[1])
	return pages * os.Getpagesize(), err
}

func loadConfig(o Options) (*config.Config, error) {
	folder, err := config.FromFiles([]config.File{{Name: "10-bench.yaml", Data: fmt.Appendf(nil, `users:
  bench:
    services:
      flows:
        port: %d
        credential: %s
        flow_limit: %d
        flow_idle: 60s
        classes:
          any: {priority: 0, share: 0.5, queue_limit: 64, deadline: 10s}
`, port, credential, flowLimit(o))}})
	if err != nil {
		return nil, err
	}
	return folder.Merge()
}

// flowLimit returns a flow limit that leaves room for an uneven distribution over upstreams.
func flowLimit(o Options) int { return 2*o.Flows/upstreamCount + 100 }

func startFleet(f *fleet.Fleet, o Options) error {
	if err := f.Start(); err != nil {
		return err
	}
	for i := range upstreamCount {
		err := f.StartUpstream(standin.Config{
			Service: service, Name: fmt.Sprintf("up-%d", i), DataCentre: dataCentre, Slots: 1,
			FlowLimit: flowLimit(o), Credential: credential, FeedPeriod: time.Hour,
		})
		if err != nil {
			return err
		}
	}
	return f.WaitUpstreams(upstreamCount, startTimeout)
}
