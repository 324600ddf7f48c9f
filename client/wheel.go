package client

import (
	"sync"
	"time"
)

const (
	wheelStep  = 25 * time.Millisecond
	wheelSlots = 256
)

// wheel calls flows when their keep-alive is due. One wheel serves all flows of a client,
// because a timer for each of many flows costs more than the keep-alives.
type wheel struct {
	mu    sync.Mutex
	slots [wheelSlots][]wheelEntry
	at    int // slot that is due next
}

type wheelEntry struct {
	flow *Flow
	due  time.Time
}

// add calls the flow after the given time, to the nearest step.
func (w *wheel) add(f *Flow, wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.put(wheelEntry{flow: f, due: time.Now().Add(wait)}, wait)
}

// put stores an entry; one that is further away than the wheel's turn is looked at earlier.
func (w *wheel) put(e wheelEntry, wait time.Duration) {
	steps := min(max(int(wait/wheelStep), 1), wheelSlots-1)
	slot := (w.at + steps) % wheelSlots
	w.slots[slot] = append(w.slots[slot], e)
}

// advance moves on by one slot and returns the flows that are due.
func (w *wheel) advance(now time.Time) []*Flow {
	w.mu.Lock()
	defer w.mu.Unlock()
	entries := w.slots[w.at]
	w.slots[w.at] = nil
	w.at = (w.at + 1) % wheelSlots
	var due []*Flow
	for _, e := range entries {
		if left := e.due.Sub(now); left > wheelStep {
			w.put(e, left)
		} else {
			due = append(due, e.flow)
		}
	}
	return due
}

// run keeps flows alive until done is closed.
func (w *wheel) run(done <-chan struct{}) {
	ticker := time.NewTicker(wheelStep)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-ticker.C:
			for _, f := range w.advance(now) {
				f.keepAlive()
			}
		}
	}
}
