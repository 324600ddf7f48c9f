package client

import (
	"sync"
	"time"
)

const (
	wheelTick  = 25 * time.Millisecond
	wheelSlots = 256
)

// timerWheel schedules the keep-alives of all flows of a client. One timer for each of many flows
// would cost more than the keep-alives themselves.
type timerWheel struct {
	mu       sync.Mutex
	slots    [wheelSlots][]wheelEntry
	nextSlot int // index of the slot that is due next
}

type wheelEntry struct {
	flow *Flow
	due  time.Time
}

// add schedules a keep-alive of the flow after the given time, rounded down to ticks but at least
// one tick.
func (w *timerWheel) add(f *Flow, wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.insert(wheelEntry{flow: f, due: time.Now().Add(wait)}, wait)
}

// insert stores an entry. An entry that is due after more than one turn of the wheel is put into the
// farthest slot, and is inserted again when that slot is due.
func (w *timerWheel) insert(e wheelEntry, wait time.Duration) {
	ticks := min(max(int(wait/wheelTick), 1), wheelSlots-1)
	slot := (w.nextSlot + ticks) % wheelSlots
	w.slots[slot] = append(w.slots[slot], e)
}

// advance moves to the next slot and returns the flows that are due.
func (w *timerWheel) advance(now time.Time) []*Flow {
	w.mu.Lock()
	defer w.mu.Unlock()
	entries := w.slots[w.nextSlot]
	w.slots[w.nextSlot] = nil
	w.nextSlot = (w.nextSlot + 1) % wheelSlots
	var due []*Flow
	for _, e := range entries {
		if remaining := e.due.Sub(now); remaining > wheelTick {
			w.insert(e, remaining)
		} else {
			due = append(due, e.flow)
		}
	}
	return due
}

// run sends the keep-alives that are due until done is closed.
func (w *timerWheel) run(done <-chan struct{}) {
	ticker := time.NewTicker(wheelTick)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-ticker.C:
			for _, f := range w.advance(now) {
				f.sendKeepAliveIfDue()
			}
		}
	}
}
