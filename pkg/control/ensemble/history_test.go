package ensemble

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
)

// history records what clients of a schedule asked for and were told, in the order of events.
type history struct {
	events int64
	ops    []operation
	writes map[uint64]int // by version
	reads  map[uint64]int // by context
}

// operation is a submitted document or a read. One that got no answer has a returned of 0.
type operation struct {
	read             bool
	version          uint64
	called, returned int64
}

func (h *history) event() int64 {
	h.events++
	return h.events
}

func (h *history) submit(version uint64) {
	if h.writes == nil {
		h.writes, h.reads = map[uint64]int{}, map[uint64]int{}
	}
	h.writes[version] = len(h.ops)
	h.ops = append(h.ops, operation{version: version, called: h.event()})
}

func (h *history) submitted(version uint64) { h.ops[h.writes[version]].returned = h.event() }

func (h *history) ask(context uint64) {
	if h.reads == nil {
		h.writes, h.reads = map[uint64]int{}, map[uint64]int{}
	}
	h.reads[context] = len(h.ops)
	h.ops = append(h.ops, operation{read: true, called: h.event()})
}

func (h *history) answered(context, version uint64) {
	op := &h.ops[h.reads[context]]
	op.version, op.returned = version, h.event()
}

// documentModel is a register that keeps the highest version.
var documentModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		held, op := state.(uint64), input.(operation)
		if op.read {
			return held == op.version, held
		}
		return true, max(held, op.version)
	},
	DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
}

// check reports whether the history is linearizable. A submission without an answer that no read has
// returned may be left out: it need not have taken effect.
func (h *history) check() porcupine.CheckResult {
	seen := map[uint64]bool{}
	for _, op := range h.ops {
		if op.read && op.returned > 0 {
			seen[op.version] = true
		}
	}
	var ops []porcupine.Operation
	for i, op := range h.ops {
		switch {
		case op.returned > 0:
		case op.read || !seen[op.version]:
			continue
		default:
			op.returned = h.events + 1
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: op, Output: op, Call: op.called, Return: op.returned})
	}
	return porcupine.CheckOperationsTimeout(documentModel, ops, 20*time.Second)
}

const (
	linearizedSchedules = 30
	linearizedRounds    = 400
)

// Guards against histories that no single document explains: acknowledged submissions and confirmed
// reads at all hosts, under random faults.
func TestSchedulesAreLinearizable(t *testing.T) {
	for i := range uint64(linearizedSchedules) {
		s := newSim(*firstSeed + i)
		s.rounds = linearizedRounds
		assert.Equal(t, s.run(), "", "seed %d", *firstSeed+i)
		assert.Equal(t, s.history.check(), porcupine.Ok, "seed %d", *firstSeed+i)
	}
}

// Shows that the check finds reads that no majority has confirmed.
func TestCheckFindsUnconfirmedReads(t *testing.T) {
	for seed := range uint64(linearizedSchedules) {
		s := newSim(seed)
		s.rounds, s.staleReads = linearizedRounds, true
		s.run()
		if s.history.check() == porcupine.Illegal {
			return
		}
	}
	t.Error("unconfirmed reads went unnoticed")
}
