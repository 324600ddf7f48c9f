// Package demo runs the whole path in one process: daemons, stand-in upstreams and
// callers behind a fabric that loses, repeats and reorders datagrams.
package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"rosemarygate/client"
	"rosemarygate/pkg/fleet"
	"rosemarygate/pkg/standin"
)

// Options configure the demo.
type Options struct {
	Duration   time.Duration
	Seed       uint64
	Feeds      int // open feeds, each with a caller that posts counts
	Pullers    int // callers that pull large answers
	Log        logrus.FieldLogger
	RestartAll bool // restart every daemon in turn instead of one
	Progress   func(string)
}

// Report is the result. Doubled, false "not run" and wrong service come from the
// stand-ins' records, broken feeds from the callers.
type Report struct {
	Seconds          float64        `json:"seconds"`
	FlowsOpened      int            `json:"flows_opened"`
	FlowsBroken      int            `json:"flows_broken"`
	FeedItems        int            `json:"feed_items"`
	FeedGaps         int            `json:"feed_gaps"`
	WrongService     int            `json:"wrong_service"`
	RequestsAnswered int            `json:"requests_answered"`
	RequestsRefused  int            `json:"requests_refused"`
	RequestsUnknown  int            `json:"requests_unknown"`
	RequestsDeadline int            `json:"requests_deadline"`
	RequestsDoubled  int            `json:"requests_doubled"`
	FalseNotRun      int            `json:"false_not_run"`
	WrongAnswers     int            `json:"wrong_answers"`
	LateAfterDrain   int            `json:"late_after_drain"`
	DaemonRestarts   int            `json:"daemon_restarts"`
	UpstreamDrains   int            `json:"upstream_drains"`
	RefusedByReason  map[string]int `json:"refused_by_reason"`
	UnknownByReason  map[string]int `json:"unknown_by_reason"`
}

// OK reports whether everything that must hold held.
func (r *Report) OK() bool {
	return r.FlowsBroken == 0 && r.FeedGaps == 0 && r.WrongService == 0 && r.RequestsDoubled == 0 &&
		r.FalseNotRun == 0 && r.WrongAnswers == 0 && r.LateAfterDrain == 0 && r.RequestsAnswered > 0
}

// dataCentres place seven daemons.
var dataCentres = []string{"perth-a", "perth-a", "perth-a", "perth-b", "perth-b", "perth-c", "perth-c"}

const (
	ticketUpstreams = 15
	labelUpstreams  = 4
	labelSheetSize  = 30_000 // bytes
	feedPeriod      = 100 * time.Millisecond
	serviceTime     = 4 * time.Millisecond
	startTimeout    = 15 * time.Second
)

var faults = fleet.FabricFaults{Loss: 0.02, Duplicate: 0.02, Reorder: 0.02, ReorderDelay: 15 * time.Millisecond}

// Run runs the demo and returns its report.
func Run(ctx context.Context, o Options) (*Report, error) {
	cfg, err := loadConfig()
	if err != nil {
		return nil, err
	}
	f := fleet.New(cfg, dataCentres, o.Log)
	defer f.Close()
	if err := f.Start(); err != nil {
		return nil, err
	}
	if err := startUpstreams(f, o.Seed); err != nil {
		return nil, err
	}
	if err := f.WaitUpstreams(ticketUpstreams+labelUpstreams, startTimeout); err != nil {
		return nil, err
	}
	o.Progress("daemons and upstreams are up")
	return runCallers(ctx, f, o)
}

func startUpstreams(f *fleet.Fleet, seed uint64) error {
	centres := []string{"perth-a", "perth-b", "perth-c"}
	for i := range ticketUpstreams + labelUpstreams {
		c := standin.Config{
			Service: ticketService, Name: fmt.Sprintf("ticket-%02d", i+1), DataCentre: centres[i%len(centres)],
			Slots: 3, FlowLimit: 2000, Credential: credential,
			ServiceTime: serviceTime, FeedPeriod: feedPeriod, Seed: seed + uint64(i),
		}
		if i >= ticketUpstreams {
			c.Service, c.Name = labelService, fmt.Sprintf("label-%d", i-ticketUpstreams+1)
			c.AnswerSize = map[string]int{"sheet": labelSheetSize}
		}
		if err := f.StartUpstream(c); err != nil {
			return errors.Wrapf(err, "upstream %s", c.Name)
		}
	}
	return nil
}

func runCallers(ctx context.Context, f *fleet.Fleet, o Options) (*Report, error) {
	s := &session{fleet: f, opts: o, report: &Report{
		RefusedByReason: map[string]int{}, UnknownByReason: map[string]int{},
	}}
	tickets, err := f.Client(ticketPort, faults, o.Seed, client.Config{})
	if err != nil {
		return nil, err
	}
	defer tickets.Close()
	labels, err := f.Client(labelPort, faults, o.Seed+1, client.Config{})
	if err != nil {
		return nil, err
	}
	defer labels.Close()

	start := time.Now()
	callersCtx, stop := context.WithTimeout(ctx, o.Duration)
	defer stop()
	var wg sync.WaitGroup
	for i := range o.Feeds {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.terminal(callersCtx, tickets, i)
		}()
	}
	for range o.Pullers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.puller(callersCtx, labels)
		}()
	}
	changeErr := s.changes(callersCtx)
	wg.Wait()
	s.finish(time.Since(start))
	return s.report, changeErr
}

// changes restarts daemons and drains an upstream while the callers work.
func (s *session) changes(ctx context.Context) error {
	restarts := []int{2}
	if s.opts.RestartAll {
		restarts = []int{0, 1, 2, 3, 4, 5, 6}
	}
	step := s.opts.Duration / time.Duration(len(restarts)+3)
	if !sleep(ctx, step) {
		return nil
	}
	for _, i := range restarts {
		s.opts.Progress("restarting daemon " + s.fleet.Hosts()[i].Name)
		if err := s.restart(i); err != nil {
			return err
		}
		if !sleep(ctx, step) {
			return nil
		}
	}
	s.opts.Progress("draining upstream ticket-01")
	s.fleet.DrainUpstream("ticket-01")
	s.report.UpstreamDrains++
	<-ctx.Done()
	return nil
}

func (s *session) restart(i int) error {
	if err := s.fleet.StopDaemon(i); err != nil {
		return err
	}
	if err := s.fleet.StartDaemon(i); err != nil {
		return err
	}
	s.report.DaemonRestarts++
	return s.fleet.WaitReady(i)
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
