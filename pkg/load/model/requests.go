package model

import (
	"time"

	"rosemarygate/pkg/dispatch"
)

// expire handles a timer: the classes' arrivals come first, then the upstreams' ends.
func (s *simulation) expire(timer int) {
	if n := len(s.Deployment.Classes); timer >= n {
		s.finish(timer - n)
		return
	}
	s.arrive(timer)
}

func (s *simulation) nextArrival(class int) {
	s.stop(class)
	if s.rates[class] > 0 {
		s.set(class, s.exponential(1e9/s.rates[class]))
	}
}

func (s *simulation) arrive(class int) {
	s.nextArrival(class)
	if len(s.live) == 0 {
		return
	}
	f := s.live[s.rng.IntN(len(s.live))]
	c := &s.Deployment.Classes[class]
	r := s.newRequest()
	s.requests[r] = request{
		class:    class,
		upstream: s.flows[f].upstream,
		entry:    s.entry(s.flows[f].dc),
		flow:     f,
		arrived:  s.now,
		deadline: s.now + int64(c.Deadline),
		work:     s.rng.ExpFloat64() * float64(c.Service),
		phase:    s.phase,
		tried:    s.requests[r].tried[:0],
	}
	s.class(r).Offered++
	s.submit(r)
}

func (s *simulation) newRequest() int {
	if n := len(s.freeReq); n > 0 {
		r := s.freeReq[n-1]
		s.freeReq = s.freeReq[:n-1]
		return r
	}
	s.requests = append(s.requests, request{})
	return len(s.requests) - 1
}

func (s *simulation) class(r int) *ClassResult {
	q := &s.requests[r]
	return &s.result.Phases[q.phase].Classes[q.class]
}

func (s *simulation) submit(r int) {
	q := &s.requests[r]
	q.attempts++
	q.running = false
	if s.upstreams[q.upstream].dc != s.daemons[q.entry] {
		q.extra += 2 * int64(s.Deployment.Hop)
	}
	s.policy.submit(r)
	s.drain()
}

// drain starts the requests that schedulers released. Starting one can shed it, which
// releases further ones.
func (s *simulation) drain() {
	for len(s.todo) > 0 {
		r := s.todo[0]
		s.todo = s.todo[1:]
		s.startRequest(r)
	}
	s.todo = s.todo[:0]
}

func (s *simulation) startRequest(r int) {
	q := &s.requests[r]
	u := s.upstreams[q.upstream]
	if !u.begin(s.now, r, q.work) {
		s.class(r).Refused["shed"]++
		s.policy.done(r, dispatch.Shed)
		s.policy.retry(r, true)
		return
	}
	q.running = true
	if len(u.jobs) > u.slots {
		s.result.Overruns++
	}
	s.schedule(q.upstream)
}

// schedule plans the next end of a running request of an upstream.
func (s *simulation) schedule(i int) {
	timer := len(s.Deployment.Classes) + i
	s.stop(timer)
	if d, ok := s.upstreams[i].nextEnd(); ok {
		s.set(timer, d)
	}
}

func (s *simulation) finish(i int) {
	if r, ok := s.upstreams[i].finished(s.now); ok {
		s.answered(r)
	}
	s.schedule(i)
	s.drain()
}

func (s *simulation) answered(r int) {
	q := &s.requests[r]
	latency := s.now - q.arrived + q.extra
	inTime := s.now <= q.deadline
	s.class(r).answered(time.Duration(latency), inTime)
	if inTime && s.phase < len(s.result.Phases) {
		s.result.Phases[s.phase].Classes[q.class].Work += q.work / 1e9
	}
	s.policy.done(r, dispatch.Answered)
	s.policy.observe(r, true, time.Duration(latency))
	s.freeReq = append(s.freeReq, r)
}

// lost ends a request without an answer.
func (s *simulation) lost(r int) {
	s.class(r).Lost++
	s.freeReq = append(s.freeReq, r)
}
