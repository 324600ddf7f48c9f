package ensemble

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
)

// history records the calls and replies of the clients of a schedule, in the order of events.
type history struct {
	events int64
	ops    []operation
	writes map[uint64]int // index in ops by version
	reads  map[uint64]int // index in ops by read context
}

// operation is a submitted document or a read. returned is 0 while there is no answer.
type operation struct {
	read             bool
	version          uint64
	called, returned int64
}

func (h *history) nextEvent() int64 {
	h.events++
	return h.events
}

func (h *history) recordSubmission(version uint64) {
	if h.writes == nil {
		h.writes, h.reads = map[uint64]int{}, map[uint64]int{}
	}
	h.writes[version] = len(h.ops)
	h.ops = append(h.ops, operation{version: version, called: h.nextEvent()})
}

func (h *history) recordAck(version uint64) { h.ops[h.writes[version]].returned = h.nextEvent() }

func (h *history) recordRead(context uint64) {
	if h.reads == nil {
		h.writes, h.reads = map[uint64]int{}, map[uint64]int{}
	}
	h.reads[context] = len(h.ops)
	h.ops = append(h.ops, operation{read: true, called: h.nextEvent()})
}

func (h *history) recordReadResult(context, version uint64) {
	op := &h.ops[h.reads[context]]
	op.version, op.returned = version, h.nextEvent()
}

// documentModel is a register that keeps the highest version written.
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

// check reports whether the history is linearizable. A submission without an answer whose version no
// read has returned is left out: it need not have taken effect.
func (h *history) check() porcupine.CheckResult {
	readVersions := map[uint64]bool{}
	for _, op := range h.ops {
		if op.read && op.returned > 0 {
			readVersions[op.version] = true
		}
	}
	var ops []porcupine.Operation
	for i, op := range h.ops {
		switch {
		case op.returned > 0:
		case op.read || !readVersions[op.version]:
			continue
		default:
			op.returned = h.events + 1
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: op, Output: op, Call: op.called, Return: op.returned})
	}
	return porcupine.CheckOperationsTimeout(documentModel, ops, 20*time.Second)
}

const (
	linearizabilitySchedules = 30
	linearizabilityRounds    = 400
)

// Guards against histories under random faults that no single document explains; they consist of the
// acknowledged submissions and confirmed reads at all hosts.
func TestSchedulesAreLinearizable(t *testing.T) {
	for i := range uint64(linearizabilitySchedules) {
		s := newSim(*firstSeed + i)
		s.rounds = linearizabilityRounds
		assert.Equal(t, s.run(), "", "seed %d", *firstSeed+i)
		assert.Equal(t, s.history.check(), porcupine.Ok, "seed %d", *firstSeed+i)
	}
}

// Checks that the linearizability check detects reads that no majority has confirmed.
func TestCheckFindsUnconfirmedReads(t *testing.T) {
	for seed := range uint64(linearizabilitySchedules) {
		s := newSim(seed)
		s.rounds, s.skipReadConfirmation = linearizabilityRounds, true
		s.run()
		if s.history.check() == porcupine.Illegal {
			return
		}
	}
	t.Error("the check accepted unconfirmed reads in every schedule")
}
