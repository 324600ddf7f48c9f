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

// requestModel tracks every request of a random run and fails the test if one ends twice, runs after
// its refusal or is lost.
type requestModel struct {
	t        *rapid.T
	s        *Scheduler
	now      time.Time
	nextID   uint64
	queued   map[uint64]bool
	running  map[uint64]bool
	declared int
}

func (m *requestModel) applyResults(run []Request, refused []Refusal) {
	for _, r := range run {
		if !m.queued[r.ID] {
			m.t.Fatalf("request %d runs but is not queued", r.ID)
		}
		delete(m.queued, r.ID)
		m.running[r.ID] = true
	}
	for _, r := range refused {
		if !m.queued[r.ID] {
			m.t.Fatalf("request %d is refused (%v) but is not queued", r.ID, r.Reason)
		}
		delete(m.queued, r.ID)
	}
	if len(run) > 0 && len(m.running) > m.declared {
		m.t.Fatalf("%d requests run on %d slots", len(m.running), m.declared)
	}
}

func (m *requestModel) check() {
	load := m.s.Load()
	if load.Queued != len(m.queued) || load.Running != len(m.running) {
		m.t.Fatalf("load %+v, expected %d queued and %d running", load, len(m.queued), len(m.running))
	}
	if load.Slots < 1 || load.Slots > m.declared {
		m.t.Fatalf("%d effective of %d declared slots", load.Slots, m.declared)
	}
	urgent := &m.s.classes[m.s.order[0]]
	if urgent.queue.length > 0 && load.Running < load.Slots {
		m.t.Fatalf("an urgent request waits while %d of %d slots are used", load.Running, load.Slots)
	}
}

func (m *requestModel) drawID(set map[uint64]bool) uint64 {
	ids := make([]uint64, 0, len(set))
	for id := range m.nextID {
		if set[id] {
			ids = append(ids, id)
		}
	}
	return rapid.SampledFrom(ids).Draw(m.t, "id")
}

func (m *requestModel) submit(t *rapid.T) {
	r := Request{ID: m.nextID, Class: rapid.IntRange(0, 2).Draw(t, "class")}
	m.nextID++
	if remainingMs := rapid.IntRange(-1, 100).Draw(t, "deadline"); remainingMs >= 0 {
		r.Deadline = m.now.Add(time.Duration(remainingMs) * time.Millisecond)
	}
	m.queued[r.ID] = true
	m.applyResults(m.s.Submit(m.now, r))
}

func (m *requestModel) done(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("no request is running")
	}
	id := m.drawID(m.running)
	delete(m.running, id)
	m.applyResults(m.s.Done(m.now, id, rapid.SampledFrom([]Outcome{Answered, Answered, Failed, Shed}).Draw(t, "outcome")))
}

func (m *requestModel) cancel(t *rapid.T) {
	if m.nextID == 0 {
		t.Skip("no request yet")
	}
	id := rapid.Uint64Range(0, m.nextID-1).Draw(t, "id")
	queued, run, refused := m.s.Cancel(m.now, id)
	if queued != m.queued[id] {
		t.Fatalf("cancel of %d reports queued %v, expected %v", id, queued, m.queued[id])
	}
	delete(m.queued, id)
	m.applyResults(run, refused)
}

func (m *requestModel) setLimits(t *rapid.T) {
	m.declared = rapid.IntRange(1, 4).Draw(t, "slots")
	classes := threeClasses()
	if rapid.Bool().Draw(t, "swap") {
		classes[0], classes[2] = classes[2], classes[0]
	}
	m.applyResults(m.s.SetLimits(m.now, Limits{Slots: m.declared, Classes: classes}))
}

// TestRandomSequences guards against wrong slot counts and against requests that end twice or never.
func TestRandomSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &requestModel{
			t: t, s: NewScheduler(Limits{Slots: 2, Classes: threeClasses()}), now: start, declared: 2,
			queued: make(map[uint64]bool), running: make(map[uint64]bool),
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit":  m.submit,
			"submit2": m.submit,
			"done":    m.done,
			"cancel":  m.cancel,
			"limits":  m.setLimits,
			"tick":    func(*rapid.T) { m.applyResults(m.s.Tick(m.now)) },
			"drain":   func(t *rapid.T) { m.s.SetDraining(rapid.Bool().Draw(t, "draining")) },
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond)
			},
			"take": func(t *rapid.T) {
				for _, r := range m.s.TakeQueued() {
					if !m.queued[r.ID] {
						t.Fatalf("request %d was taken but is not queued", r.ID)
					}
					delete(m.queued, r.ID)
				}
			},
			"": func(*rapid.T) { m.check() },
		})
	})
}

// TestGuaranteedShares guards the long-term shares when they are not whole slots: every class
// is saturated and service times differ by up to a factor of 100.
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
		busyTime, total := saturate(slots, classes, service, rapid.Uint64().Draw(t, "seed"))
		for i, c := range classes {
			share := busyTime[i] / total
			// A class whose queue is never empty may deviate from its share of the run by at
			// most one long request.
			if share < 0.95*c.Share {
				t.Fatalf("class %s got %.3f of the slots, guaranteed %.3f", c.Name, share, c.Share)
			}
		}
	})
}

// saturate keeps all queues full for 200 s and returns the busy time of each class.
func saturate(slots int, classes []Class, service [3]float64, seed uint64) (busyTime [3]float64, total float64) {
	const durationMs = 200e3
	rng := rand.New(rand.NewPCG(seed, 0))
	s := NewScheduler(Limits{Slots: slots, Classes: classes})
	type job struct {
		id, class  int
		began, end float64
	}
	var jobs []job
	nextID, now := 0, 0.0
	currentTime := func() time.Time { return start.Add(time.Duration(now * float64(time.Millisecond))) }
	addJobs := func(run []Request) {
		for _, r := range run {
			jobs = append(jobs, job{int(r.ID), r.Class, now, now + rng.ExpFloat64()*service[r.Class]})
		}
	}
	for now < durationMs {
		for i := range classes {
			for s.classes[i].queue.length < 2 {
				run, _ := s.Submit(currentTime(), Request{ID: uint64(nextID), Class: i})
				nextID++
				addJobs(run)
			}
		}
		first, nextEnd := -1, now+10
		for i, j := range jobs {
			if j.end < nextEnd {
				first, nextEnd = i, j.end
			}
		}
		now = nextEnd
		if first < 0 {
			run, _ := s.Tick(currentTime())
			addJobs(run)
			continue
		}
		j := jobs[first]
		jobs = append(jobs[:first], jobs[first+1:]...)
		busyTime[j.class] += j.end - j.began
		run, _ := s.Done(currentTime(), uint64(j.id), Answered)
		addJobs(run)
	}
	return busyTime, now * float64(slots)
}

// TestUnmeetableAndExpiredDeadlines guards the refusal of requests that cannot meet their
// deadline or whose deadline has passed, and the correction of an outdated estimate.
func TestUnmeetableAndExpiredDeadlines(t *testing.T) {
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

// TestRefusals guards the reasons of refusals of invalid, duplicate and excess requests.
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
	assert.Equal(t, run[0].ID, uint64(3), "queued requests run while draining")
	for _, r := range Reasons() {
		assert.Assert(t, r.String() != "" && r.Remedy() != "", "reason %d", r)
	}
}

// TestLimitAdaptsToUpstream guards the adaptive limit for an upstream that declares 4 slots but
// sheds above 2 requests, or runs all of them on a single slot.
func TestLimitAdaptsToUpstream(t *testing.T) {
	for name, c := range map[string]struct {
		shedAbove int  // concurrency above which the upstream sheds
		shared    bool // all requests run on a single slot
		maxSlots  int
	}{
		"right":  {shedAbove: 9, maxSlots: 4},
		"sheds":  {shedAbove: 2, maxSlots: 3},
		"shared": {shedAbove: 9, shared: true, maxSlots: 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewScheduler(Limits{Slots: 4, Classes: []Class{{Name: "only", Share: 1, QueueLimit: 100}}})
			assert.Assert(t, simulateUpstream(s, c.shedAbove, c.shared, 30000) <= c.maxSlots)
			if name == "right" {
				assert.Equal(t, s.Load().Slots, 4)
			}
		})
	}
}

// simulateUpstream offers Poisson arrivals at 70% of one slot, or of the shedding limit, to an
// upstream with exponential service times of 10 ms on average, and returns the final limit.
func simulateUpstream(s *Scheduler, shedAbove int, shared bool, requests int) int {
	rng := rand.New(rand.NewPCG(1, 1))
	now := start
	remainingMs := map[uint64]float64{}
	var running []uint64
	startRequests := func(run []Request) {
		for len(run) > 0 {
			id := run[0].ID
			if len(running) >= shedAbove {
				run, _ = s.Done(now, id, Shed)
				continue
			}
			running = append(running, id)
			remainingMs[id] = rng.ExpFloat64() * 10
			run = run[1:]
		}
	}
	rate := 0.07
	if !shared {
		rate *= float64(min(shedAbove, 4))
	}
	for id := uint64(0); id < uint64(requests); {
		now = now.Add(time.Millisecond)
		if rng.Float64() < rate {
			id++
			run, _ := s.Submit(now, Request{ID: id})
			startRequests(run)
		}
		speed := 1.0
		if shared {
			speed = 1 / float64(max(1, len(running)))
		}
		for _, id := range append([]uint64(nil), running...) {
			if remainingMs[id] -= speed; remainingMs[id] > 0 {
				continue
			}
			index := slices.Index(running, id)
			running = slices.Delete(running, index, index+1)
			run, _ := s.Done(now, id, Answered)
			startRequests(run)
		}
	}
	return s.Load().Slots
}
