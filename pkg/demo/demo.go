// Package demo runs the whole data path in one process: daemons, stand-in upstreams and callers behind a
// fabric that loses, duplicates and reorders datagrams.
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

// Options are the options of the demo.
type Options struct {
	Duration   time.Duration
	Seed       uint64
	Feeds      int // open feeds, each of a caller that also sends non-idempotent requests
	Pullers    int // callers that request large answers
	Log        logrus.FieldLogger
	RestartAll bool // restart every daemon in turn instead of one
	Progress   func(string)
}

// Report is the result. RequestsDoubled, FalseNotRun and LateAfterDrain come from the records of the
// stand-ins, WrongService from these and from the callers, and broken feeds from the callers.
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

// OK reports whether no guarantee was violated and requests were answered.
func (r *Report) OK() bool {
	return r.FlowsBroken == 0 && r.FeedGaps == 0 && r.WrongService == 0 && r.RequestsDoubled == 0 &&
		r.FalseNotRun == 0 && r.WrongAnswers == 0 && r.LateAfterDrain == 0 && r.RequestsAnswered > 0
}

// daemonDataCentres are the data centres of the seven daemons.
var daemonDataCentres = []string{"perth-a", "perth-a", "perth-a", "perth-b", "perth-b", "perth-c", "perth-c"}

const (
	ticketUpstreams = 15
	labelUpstreams  = 4
	labelSheetSize  = 30_000 // bytes
	feedPeriod      = 100 * time.Millisecond
	serviceTime     = 4 * time.Millisecond
	startTimeout    = 15 * time.Second
)

var fabricFaults = fleet.FabricFaults{Loss: 0.02, Duplicate: 0.02, Reorder: 0.02, ReorderDelay: 15 * time.Millisecond}

// Run runs the demo and returns its report.
func Run(ctx context.Context, options Options) (*Report, error) {
	cfg, err := loadConfig()
	if err != nil {
		return nil, err
	}
	demoFleet := fleet.New(cfg, daemonDataCentres, options.Log)
	defer demoFleet.Close()
	if err := demoFleet.Start(); err != nil {
		return nil, err
	}
	if err := startUpstreams(demoFleet, options.Seed); err != nil {
		return nil, err
	}
	if err := demoFleet.WaitUpstreams(ticketUpstreams+labelUpstreams, startTimeout); err != nil {
		return nil, err
	}
	options.Progress("daemons and upstreams are up")
	return runCallers(ctx, demoFleet, options)
}

func startUpstreams(demoFleet *fleet.Fleet, seed uint64) error {
	dataCentres := []string{"perth-a", "perth-b", "perth-c"}
	for i := range ticketUpstreams + labelUpstreams {
		upstreamConfig := standin.Config{
			Service: ticketService, Name: fmt.Sprintf("ticket-%02d", i+1), DataCentre: dataCentres[i%len(dataCentres)],
			Slots: 3, FlowLimit: 2000, Credential: credential,
			ServiceTime: serviceTime, FeedPeriod: feedPeriod, Seed: seed + uint64(i),
		}
		if i >= ticketUpstreams {
			upstreamConfig.Service, upstreamConfig.Name = labelService, fmt.Sprintf("label-%d", i-ticketUpstreams+1)
			upstreamConfig.AnswerSize = map[string]int{"sheet": labelSheetSize}
		}
		if err := demoFleet.StartUpstream(upstreamConfig); err != nil {
			return errors.Wrapf(err, "upstream %s", upstreamConfig.Name)
		}
	}
	return nil
}

func runCallers(ctx context.Context, demoFleet *fleet.Fleet, options Options) (*Report, error) {
	s := &session{fleet: demoFleet, options: options, report: &Report{
		RefusedByReason: map[string]int{}, UnknownByReason: map[string]int{},
	}}
	ticketClient, err := demoFleet.Client(ticketPort, fabricFaults, options.Seed, client.Config{})
	if err != nil {
		return nil, err
	}
	defer ticketClient.Close()
	labelClient, err := demoFleet.Client(labelPort, fabricFaults, options.Seed+1, client.Config{})
	if err != nil {
		return nil, err
	}
	defer labelClient.Close()

	start := time.Now()
	callersCtx, stop := context.WithTimeout(ctx, options.Duration)
	defer stop()
	var wg sync.WaitGroup
	for i := range options.Feeds {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.runFeedCaller(callersCtx, ticketClient, i)
		}()
	}
	for range options.Pullers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.runPuller(callersCtx, labelClient)
		}()
	}
	changesErr := s.makeChanges(callersCtx)
	wg.Wait()
	s.completeReport(time.Since(start))
	return s.report, changesErr
}

// makeChanges restarts daemons and drains an upstream while the callers run.
func (s *session) makeChanges(ctx context.Context) error {
	daemons := []int{2}
	if s.options.RestartAll {
		daemons = []int{0, 1, 2, 3, 4, 5, 6}
	}
	pause := s.options.Duration / time.Duration(len(daemons)+3)
	if !sleep(ctx, pause) {
		return nil
	}
	for _, i := range daemons {
		s.options.Progress("restarting daemon " + s.fleet.Hosts()[i].Name)
		if err := s.restartDaemon(i); err != nil {
			return err
		}
		if !sleep(ctx, pause) {
			return nil
		}
	}
	s.options.Progress("draining upstream ticket-01")
	s.fleet.DrainUpstream("ticket-01")
	s.report.UpstreamDrains++
	<-ctx.Done()
	return nil
}

func (s *session) restartDaemon(i int) error {
	if err := s.fleet.StopDaemon(i); err != nil {
		return err
	}
	if err := s.fleet.StartDaemon(i); err != nil {
		return err
	}
	s.report.DaemonRestarts++
	return s.fleet.WaitReady(i)
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
