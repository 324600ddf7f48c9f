package model

import (
	"time"

	"rosemarygate/pkg/dispatch"
)

// handleTimer handles the expiry of a timer. The first timers are the next arrival of each class,
// the others the next completion at each upstream.
func (s *simulation) handleTimer(timer int) {
	if n := len(s.Deployment.Classes); timer >= n {
		s.handleCompletion(timer - n)
		return
	}
	s.handleArrival(timer)
}

func (s *simulation) scheduleArrival(class int) {
	s.stopTimer(class)
	if s.rates[class] > 0 {
		s.setTimer(class, s.exponential(1e9/s.rates[class]))
	}
}

func (s *simulation) handleArrival(class int) {
	s.scheduleArrival(class)
	if len(s.liveFlows) == 0 {
		return
	}
	f := int(s.liveFlows[s.rng.IntN(len(s.liveFlows))])
	c := &s.Deployment.Classes[class]
	r := s.allocateRequest()
	s.requests[r] = request{
		class:       class,
		upstream:    int(s.flows[f].upstream),
		entryDaemon: s.randomEntryDaemon(int(s.flows[f].dc)),
		flow:        f,
		arrivedAt:   s.now,
		deadline:    s.now + int64(c.Deadline),
		serviceTime: s.rng.ExpFloat64() * float64(c.ServiceTime),
		phase:       s.phase,
		tried:       s.requests[r].tried[:0],
	}
	s.classResult(r).Offered++
	s.submit(r)
}

func (s *simulation) allocateRequest() int {
	if n := len(s.freeRequests); n > 0 {
		r := s.freeRequests[n-1]
		s.freeRequests = s.freeRequests[:n-1]
		return r
	}
	s.requests = append(s.requests, request{})
	return len(s.requests) - 1
}

func (s *simulation) classResult(r int) *ClassResult {
	req := &s.requests[r]
	return &s.result.Phases[req.phase].Classes[req.class]
}

func (s *simulation) submit(r int) {
	req := &s.requests[r]
	req.attempts++
	req.running = false
	if s.upstreams[req.upstream].dc != s.daemonDCs[req.entryDaemon] {
		req.networkDelay += 2 * int64(s.Deployment.HopDelay)
	}
	s.policy.submit(r)
	s.startDispatched()
}

// startDispatched starts the dispatched requests. An upstream can shed one of them, which frees
// its slot for further requests.
func (s *simulation) startDispatched() {
	for len(s.dispatched) > 0 {
		r := s.dispatched[0]
		s.dispatched = s.dispatched[1:]
		s.startRequest(r)
	}
	s.dispatched = s.dispatched[:0]
}

func (s *simulation) startRequest(r int) {
	req := &s.requests[r]
	u := s.upstreams[req.upstream]
	if !u.start(s.now, r, req.serviceTime) {
		s.classResult(r).RefusedByReason["shed"]++
		s.policy.complete(r, dispatch.Shed)
		s.policy.retry(r, true)
		return
	}
	req.running = true
	if len(u.jobs) > u.slots {
		s.result.SlotOverruns++
	}
	s.scheduleCompletion(req.upstream)
}

// scheduleCompletion sets the timer of the next completion at an upstream.
func (s *simulation) scheduleCompletion(i int) {
	timer := len(s.Deployment.Classes) + i
	s.stopTimer(timer)
	if delay, ok := s.upstreams[i].nextCompletion(); ok {
		s.setTimer(timer, delay)
	}
}

func (s *simulation) handleCompletion(i int) {
	if r, ok := s.upstreams[i].removeCompleted(s.now); ok {
		s.handleAnswer(r)
	}
	s.scheduleCompletion(i)
	s.startDispatched()
}

func (s *simulation) handleAnswer(r int) {
	req := &s.requests[r]
	latency := s.now - req.arrivedAt + req.networkDelay
	inTime := s.now <= req.deadline
	s.classResult(r).recordAnswer(time.Duration(latency), inTime)
	if inTime && s.phase < len(s.result.Phases) {
		s.result.Phases[s.phase].Classes[req.class].UsefulWork += req.serviceTime / 1e9
	}
	s.policy.complete(r, dispatch.Answered)
	s.policy.observe(r, true, time.Duration(latency))
	s.freeRequests = append(s.freeRequests, r)
}

// endUnanswered counts a request as unanswered and releases its entry.
func (s *simulation) endUnanswered(r int) {
	s.classResult(r).Unanswered++
	s.freeRequests = append(s.freeRequests, r)
}
