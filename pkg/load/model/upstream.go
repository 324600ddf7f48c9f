package model

import "math"

// shedAt is the multiple of its slots at which an upstream sheds requests.
const shedAt = 4

// upstream is the real behaviour of an upstream: up to slots requests run at full speed,
// more share that capacity evenly, and from shedAt times the slots requests are shed.
type upstream struct {
	slots    int
	dc       int
	jobs     []job
	progress float64 // nanoseconds of service each running request has got since start
	at       int64
	stalled  bool
	absent   bool // has not joined yet
	flows    int
	busy     float64 // slot-nanoseconds in use
}

type job struct {
	request int
	end     float64 // progress at which the request is complete
}

func (u *upstream) speed() float64 {
	if u.stalled || len(u.jobs) == 0 {
		return 0
	}
	return math.Min(1, float64(u.slots)/float64(len(u.jobs)))
}

// advance brings the progress of the running requests up to now.
func (u *upstream) advance(now int64) {
	dt := float64(now - u.at)
	u.progress += dt * u.speed()
	u.busy += dt * math.Min(float64(len(u.jobs)), float64(u.slots))
	u.at = now
}

// begin starts a request; it reports false when the upstream sheds it.
func (u *upstream) begin(now int64, request int, work float64) bool {
	if len(u.jobs) >= shedAt*u.slots {
		return false
	}
	u.advance(now)
	u.jobs = append(u.jobs, job{request: request, end: u.progress + work})
	return true
}

// nextEnd returns the time until the first running request is complete.
func (u *upstream) nextEnd() (int64, bool) {
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

// done returns the service that a running request has got, in nanoseconds.
func (u *upstream) done(j job, work float64) float64 { return work - math.Max(0, j.end-u.progress) }

// finished removes and returns the first complete request.
func (u *upstream) finished(now int64) (int, bool) {
	u.advance(now)
	for i, j := range u.jobs {
		if j.end <= u.progress+1 {
			u.remove(i)
			return j.request, true
		}
	}
	return 0, false
}

// abort removes a request that its caller gave up.
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
