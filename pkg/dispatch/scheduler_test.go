package dispatch

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func threeClasses() []Class {
	return []Class{
		{Name: "feed", Share: 0.25, Priority: 0, QueueLimit: 8},
		{Name: "post", Share: 0.35, Priority: 1, QueueLimit: 8},
		{Name: "pull", Share: 0.35, Priority: 2, QueueLimit: 8},
	}
}

// ledger follows every request of a random run and fails when one ends twice, runs after
// its refusal or is forgotten.
type ledger struct {
	t        *rapid.T
	s        *Scheduler
	now      time.Time
	next     uint64
	queued   map[uint64]bool
	running  map[uint64]bool
	declared int
}

func (l *ledger) apply(run []Request, refused []Refusal) {
	for _, r := range run {
		if !l.queued[r.ID] {
			l.t.Fatalf("request %d runs but is not queued", r.ID)
		}
		delete(l.queued, r.ID)
		l.running[r.ID] = true
	}
	for _, r := range refused {
		if !l.queued[r.ID] {
			l.t.Fatalf("request %d is refused (%v) but is not queued", r.ID, r.Reason)
		}
		delete(l.queued, r.ID)
	}
	if len(run) > 0 && len(l.running) > l.declared {
		l.t.Fatalf("%d requests run on %d slots", len(l.running), l.declared)
	}
}

func (l *ledger) check() {
	load := l.s.Load()
	if load.Queued != len(l.queued) || load.Running != len(l.running) {
		l.t.Fatalf("load %+v, expected %d queued and %d running", load, len(l.queued), len(l.running))
	}
	if load.Slots < 1 || load.Slots > l.declared {
		l.t.Fatalf("%d effective of %d declared slots", load.Slots, l.declared)
	}
	urgent := &l.s.classes[l.s.order[0]]
	if urgent.queue.n > 0 && load.Running < load.Slots {
		l.t.Fatalf("an urgent request waits while %d of %d slots run", load.Running, load.Slots)
	}
}

func (l *ledger) pick(m map[uint64]bool) uint64 {
	ids := make([]uint64, 0, len(m))
	for id := range l.next {
		if m[id] {
			ids = append(ids, id)
		}
	}
	return rapid.SampledFrom(ids).Draw(l.t, "id")
}

func (l *ledger) submit(t *rapid.T) {
	r := Request{ID: l.next, Class: rapid.IntRange(0, 2).Draw(t, "class")}
	l.next++
	if left := rapid.IntRange(-1, 100).Draw(t, "deadline"); left >= 0 {
		r.Deadline = l.now.Add(time.Duration(left) * time.Millisecond)
	}
	l.queued[r.ID] = true
	l.apply(l.s.Submit(l.now, r))
}

func (l *ledger) done(t *rapid.T) {
	if len(l.running) == 0 {
		t.Skip("nothing runs")
	}
	id := l.pick(l.running)
	delete(l.running, id)
	l.apply(l.s.Done(l.now, id, rapid.SampledFrom([]Outcome{Answered, Answered, Failed, Shed}).Draw(t, "outcome")))
}

func (l *ledger) cancel(t *rapid.T) {
	if l.next == 0 {
		t.Skip("no request yet")
	}
	id := rapid.Uint64Range(0, l.next-1).Draw(t, "id")
	queued, run, refused := l.s.Cancel(l.now, id)
	if queued != l.queued[id] {
		t.Fatalf("cancel of %d reports queued %v, expected %v", id, queued, l.queued[id])
	}
	delete(l.queued, id)
	l.apply(run, refused)
}

func (l *ledger) setLimits(t *rapid.T) {
	l.declared = rapid.IntRange(1, 4).Draw(t, "slots")
	classes := threeClasses()
	if rapid.Bool().Draw(t, "swap") {
		classes[0], classes[2] = classes[2], classes[0]
	}
	l.apply(l.s.SetLimits(l.now, Limits{Slots: l.declared, Classes: classes}))
}

// TestRandomSequences guards slot accounting and the single end of every request.
func TestRandomSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &ledger{
			t: t, s: NewScheduler(Limits{Slots: 2, Classes: threeClasses()}), now: start, declared: 2,
			queued: make(map[uint64]bool), running: make(map[uint64]bool),
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit":  l.submit,
			"submit2": l.submit,
			"done":    l.done,
			"cancel":  l.cancel,
			"limits":  l.setLimits,
			"tick":    func(*rapid.T) { l.apply(l.s.Tick(l.now)) },
			"drain":   func(t *rapid.T) { l.s.SetDraining(rapid.Bool().Draw(t, "draining")) },
			"time": func(t *rapid.T) {
				l.now = l.now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond)
			},
			"take": func(t *rapid.T) {
				for _, r := range l.s.TakeQueued() {
					if !l.queued[r.ID] {
						t.Fatalf("request %d was taken but is not queued", r.ID)
					}
					delete(l.queued, r.ID)
				}
			},
			"": func(*rapid.T) { l.check() },
		})
	})
}

// TestGuaranteedShares guards the shares over time where they do not divide the slots:
// every class is saturated, service times differ up to 100-fold.
func TestGuaranteedShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		weights := [3]float64{}
		sum := 0.0
		for i := range weights {
			weights[i] = float64(rapid.IntRange(2, 10).Draw(t, "weight"))
			sum += weights[i]
		}
		classes := threeClasses()
		service := [3]float64{2, float64(rapid.IntRange(2, 20).Draw(t, "post ms")), float64(rapid.IntRange(2, 200).Draw(t, "pull ms"))}
		for i := range classes {
			classes[i].Share = weights[i] / sum
		}
		got, total := saturate(slots, classes, service, rapid.Uint64().Draw(t, "seed"))
		for i, c := range classes {
			share := got[i] / total
			// A class that never leaves the queue empty may take at most one long request
			// more or less than its share of the run.
			if share < 0.95*c.Share {
				t.Fatalf("class %s got %.3f of the slots, guaranteed %.3f", c.Name, share, c.Share)
			}
		}
	})
}

// saturate keeps all queues full for 200 s and returns the busy time of each class.
func saturate(slots int, classes []Class, service [3]float64, seed uint64) (got [3]float64, total float64) {
	const length = 200e3 // milliseconds
	rng := rand.New(rand.NewPCG(seed, 0))
	s := NewScheduler(Limits{Slots: slots, Classes: classes})
	type job struct {
		id, class  int
		began, end float64
	}
	var jobs []job
	next, now := 0, 0.0
	at := func() time.Time { return start.Add(time.Duration(now * float64(time.Millisecond))) }
	take := func(run []Request) {
		for _, r := range run {
			jobs = append(jobs, job{int(r.ID), r.Class, now, now + rng.ExpFloat64()*service[r.Class]})
		}
	}
	for now < length {
		for i := range classes {
			for s.classes[i].queue.n < 2 {
				run, _ := s.Submit(at(), Request{ID: uint64(next), Class: i})
				next++
				take(run)
			}
		}
		first, until := -1, now+10
		for i, j := range jobs {
			if j.end < until {
				first, until = i, j.end
			}
		}
		now = until
		if first < 0 {
			run, _ := s.Tick(at())
			take(run)
			continue
		}
		j := jobs[first]
		jobs = append(jobs[:first], jobs[first+1:]...)
		got[j.class] += j.end - j.began
		run, _ := s.Done(at(), uint64(j.id), Answered)
		take(run)
	}
	return got, now * float64(slots)
}

// TestDeadlines guards refusal of hopeless work and recovery of an outdated estimate.
func TestDeadlines(t *testing.T) {
	s := NewScheduler(Limits{Slots: 1, Classes: threeClasses()})
	now := start
	s.Submit(now, Request{ID: 1})
	now = now.Add(time.Second)
	s.Done(now, 1, Answered)
	_, refused := s.Submit(now, Request{ID: 2, Deadline: now.Add(100 * time.Millisecond)})
	assert.DeepEqual(t, refused, []Refusal{{ID: 2, Reason: ReasonDeadline}})
	now = now.Add(10 * time.Second)
	run, _ := s.Submit(now, Request{ID: 3, Deadline: now.Add(100 * time.Millisecond)})
	assert.Equal(t, len(run), 1)
	s.Submit(now, Request{ID: 4, Class: 1, Deadline: now.Add(5 * time.Second)})
	_, refused = s.Tick(now.Add(6 * time.Second))
	assert.DeepEqual(t, refused, []Refusal{{ID: 4, Reason: ReasonExpired}})
}

// TestRefusals guards the typed reasons of bad, duplicate and surplus requests.
func TestRefusals(t *testing.T) {
	s := NewScheduler(Limits{Slots: 1, Classes: []Class{{Name: "only", Share: 1, QueueLimit: 1}}})
	for _, c := range []struct {
		r    Request
		want []Refusal
	}{
		{Request{ID: 1}, nil},
		{Request{ID: 1}, []Refusal{{1, ReasonDuplicate}}},
		{Request{ID: 2, Class: 1}, []Refusal{{2, ReasonUnknownClass}}},
		{Request{ID: 3}, nil},
		{Request{ID: 4}, []Refusal{{4, ReasonQueueFull}}},
	} {
		_, refused := s.Submit(start, c.r)
		assert.DeepEqual(t, append([]Refusal(nil), refused...), c.want)
	}
	s.SetDraining(true)
	_, refused := s.Submit(start, Request{ID: 5})
	assert.DeepEqual(t, refused, []Refusal{{5, ReasonDraining}})
	run, _ := s.Done(start, 1, Answered)
	assert.Equal(t, run[0].ID, uint64(3), "queued work ends while draining")
	for _, r := range Reasons() {
		assert.Assert(t, r.String() != "" && r.Remedy() != "", "reason %d", r)
	}
}

// TestLimitFollowsUpstream guards the adaptive limit: an upstream that declares 4 slots
// sheds above 2, or runs everything on a single one.
func TestLimitFollowsUpstream(t *testing.T) {
	for name, c := range map[string]struct {
		sheds   int // concurrency above which the upstream sheds
		shared  bool
		highest int
	}{
		"right":  {sheds: 9, highest: 4},
		"sheds":  {sheds: 2, highest: 3},
		"shared": {sheds: 9, shared: true, highest: 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewScheduler(Limits{Slots: 4, Classes: []Class{{Name: "only", Share: 1, QueueLimit: 100}}})
			assert.Assert(t, drive(s, c.sheds, c.shared, 30000) <= c.highest)
			if name == "right" {
				assert.Equal(t, s.Load().Slots, 4)
			}
		})
	}
}

// drive offers Poisson arrivals at 70% of one slot, or of the shedding limit, to an
// upstream with exponential requests of 10 ms, and returns the final limit.
func drive(s *Scheduler, sheds int, shared bool, requests int) int {
	rng := rand.New(rand.NewPCG(1, 1))
	now := start
	left := map[uint64]float64{}
	var running []uint64
	begin := func(run []Request) {
		for len(run) > 0 {
			id := run[0].ID
			if len(running) >= sheds {
				run, _ = s.Done(now, id, Shed)
				continue
			}
			running = append(running, id)
			left[id] = rng.ExpFloat64() * 10
			run = run[1:]
		}
	}
	rate := 0.07
	if !shared {
		rate *= float64(min(sheds, 4))
	}
	for id := uint64(0); id < uint64(requests); {
		now = now.Add(time.Millisecond)
		if rng.Float64() < rate {
			id++
			run, _ := s.Submit(now, Request{ID: id})
			begin(run)
		}
		speed := 1.0
		if shared {
			speed = 1 / float64(max(1, len(running)))
		}
		for _, id := range append([]uint64(nil), running...) {
			if left[id] -= speed; left[id] > 0 {
				continue
			}
			at := slices.Index(running, id)
			running = slices.Delete(running, at, at+1)
			run, _ := s.Done(now, id, Answered)
			begin(run)
		}
	}
	return s.Load().Slots
}
