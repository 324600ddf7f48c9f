package model

import "math"

// shedFactor times its slots is the number of running requests at which an upstream sheds.
const shedFactor = 4

// upstream simulates an upstream: up to slots requests run at full speed, more requests share
// that capacity evenly, and from shedFactor times the slots on, requests are shed.
type upstream struct {
	slots        int
	dc           int
	jobs         []job
	progress     float64 // nanoseconds of service that a request running since the start would have received
	advancedTo   int64
	stalled      bool
	absent       bool // has not joined yet
	flows        int
	busySlotTime float64 // slot-nanoseconds in use since the start of the phase
}

type job struct {
	request int
	end     float64 // progress of the upstream at which the request is complete
}

func (u *upstream) speed() float64 {
	if u.stalled || len(u.jobs) == 0 {
		return 0
	}
	return math.Min(1, float64(u.slots)/float64(len(u.jobs)))
}

// advance brings the progress of the running requests up to now.
func (u *upstream) advance(now int64) {
	dt := float64(now - u.advancedTo)
	u.progress += dt * u.speed()
	u.busySlotTime += dt * math.Min(float64(len(u.jobs)), float64(u.slots))
	u.advancedTo = now
}

// start starts a request, or reports false if the upstream sheds it.
func (u *upstream) start(now int64, request int, work float64) bool {
	if len(u.jobs) >= shedFactor*u.slots {
		return false
	}
	u.advance(now)
	u.jobs = append(u.jobs, job{request: request, end: u.progress + work})
	return true
}

// nextCompletion returns the time until the first running request is complete.
func (u *upstream) nextCompletion() (int64, bool) {
	speed := u.speed()
	if speed == 0 {
		return 0, false
	}
	least := math.Inf(1)
	for _, j := range u.jobs {
		least = math.Min(least, j.end)
	}
	return int64(math.Ceil(math.Max(0, least-u.progress) / speed)), true
}

// received returns the nanoseconds of service that a running request has received.
func (u *upstream) received(j job, work float64) float64 { return work - math.Max(0, j.end-u.progress) }

// removeCompleted removes and returns the first completed request.
func (u *upstream) removeCompleted(now int64) (int, bool) {
	u.advance(now)
	for i, j := range u.jobs {
		if j.end <= u.progress+1 {
			u.remove(i)
			return j.request, true
		}
	}
	return 0, false
}

// abort removes a request whose deadline has passed.
func (u *upstream) abort(now int64, request int) bool {
	for i, j := range u.jobs {
		if j.request == request {
			u.advance(now)
			u.remove(i)
			return true
		}
	}
	return false
}

func (u *upstream) remove(i int) {
	last := len(u.jobs) - 1
	u.jobs[i] = u.jobs[last]
	u.jobs = u.jobs[:last]
}
