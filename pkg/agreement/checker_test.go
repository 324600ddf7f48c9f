package agreement_test

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"rosemarygate/pkg/agreement"
)

// violation describes an invariant that a schedule broke.
type violation struct {
	kind   violationKind
	detail string
}

type violationKind string

const (
	lostChange       violationKind = "accepted change lost"
	diverged         violationKind = "replicas applied different entries"
	twoLeaders       violationKind = "two leaders in a term"
	notLinearizable  violationKind = "history is not linearizable"
	unreadableFolder violationKind = "data folder unreadable"
	noProgress       violationKind = "no progress after all faults ended"
	stateRefused     violationKind = "node refused its durable state"
	panicked         violationKind = "panic"
)

// register is the replicated state machine: the list of appended operation ids without duplicates.
type register struct {
	list     []uint64
	position map[uint64]int
	applied  uint64
}

func newRegister() *register { return &register{position: map[uint64]int{}} }

func (r *register) append(id uint64) {
	if _, duplicate := r.position[id]; duplicate {
		return
	}
	r.list = append(r.list, id)
	r.position[id] = len(r.list)
}

// encode returns the list as the data of a snapshot.
func (r *register) encode() []byte {
	var data []byte
	for _, id := range r.list {
		data = binary.BigEndian.AppendUint64(data, id)
	}
	return data
}

func (r *register) digest() digest {
	var d digest
	for _, id := range r.list {
		d = d.add(id)
	}
	return d
}

// digest represents the list in a client history.
type digest struct {
	count int
	hash  uint64
}

func (d digest) add(id uint64) digest {
	return digest{d.count + 1, (d.hash ^ id) * 0x9e3779b97f4a7c15}
}

// operation is one client operation: an append of id, or a read if id is 0.
type operation struct {
	id         uint64
	client     int
	callTime   int64
	returnTime int64 // 0 until the operation is answered
	position   int   // result of an append
	readDigest digest
}

// checker observes all replicas and records what must never change.
type checker struct {
	committedEntries    map[uint64]agreement.Entry
	stateDigests        map[uint64]digest // by applied index
	leaders             map[uint64]agreement.Replica
	committedMembership indexedMembership
	proposedMemberships []indexedMembership // memberships that any replica has persisted or proposed
	history             []*operation
	promotions          int // committed membership entries that added a voter
	violation           *violation
}

// indexedMembership is a membership and the index of its entry.
type indexedMembership struct {
	index      uint64
	membership agreement.Membership
}

func newChecker() *checker {
	return &checker{
		committedEntries: map[uint64]agreement.Entry{}, stateDigests: map[uint64]digest{}, leaders: map[uint64]agreement.Replica{},
	}
}

func (c *checker) fail(kind violationKind, format string, args ...any) {
	if c.violation == nil {
		c.violation = &violation{kind, fmt.Sprintf(format, args...)}
	}
}

func (c *checker) observeLeader(term uint64, r agreement.Replica) {
	if old, ok := c.leaders[term]; ok && old != r {
		c.fail(twoLeaders, "term %d: %s and %s", term, old, r)
	}
	c.leaders[term] = r
}

func (c *checker) observeCommitted(r agreement.Replica, e agreement.Entry) {
	old, ok := c.committedEntries[e.Index]
	if ok && (old.Term != e.Term || old.Kind != e.Kind || string(old.Data) != string(e.Data)) {
		c.fail(diverged, "index %d at %s: term %d, before term %d", e.Index, r, e.Term, old.Term)
	}
	c.committedEntries[e.Index] = e
	if e.Kind == agreement.EntryMembership && e.Index > c.committedMembership.index {
		if e.Membership.Voters() > c.committedMembership.membership.Voters() {
			c.promotions++
		}
		c.committedMembership = indexedMembership{e.Index, e.Membership}
	}
}

func (c *checker) observeState(r agreement.Replica, reg *register) {
	d := reg.digest()
	if old, ok := c.stateDigests[reg.applied]; ok && old != d {
		c.fail(diverged, "state of %s at index %d", r, reg.applied)
	}
	c.stateDigests[reg.applied] = d
}

// possibleMemberships returns every membership that may be in effect somewhere.
func (c *checker) possibleMemberships() []indexedMembership {
	out := []indexedMembership{c.committedMembership}
	for _, p := range c.proposedMemberships {
		if p.index > c.committedMembership.index {
			out = append(out, p)
		}
	}
	return out
}

// checkFinal checks that a converged state has every answered append at the answered position.
func (c *checker) checkFinal(r agreement.Replica, reg *register) {
	for _, op := range c.history {
		if op.id != 0 && op.returnTime != 0 && reg.position[op.id] != op.position {
			c.fail(lostChange, "operation %d at position %d, answered %d, on %s", op.id, reg.position[op.id], op.position, r)
		}
	}
}

func (c *checker) checkHistory() {
	var ops []porcupine.Operation
	for _, op := range c.history {
		if op.returnTime == 0 && op.id == 0 {
			continue // an unanswered read constrains nothing
		}
		returnTime := op.returnTime
		if returnTime == 0 {
			returnTime = math.MaxInt64
		}
		ops = append(ops, porcupine.Operation{ClientId: op.client, Input: op, Output: op, Call: op.callTime, Return: returnTime})
	}
	if porcupine.CheckOperationsTimeout(appendModel, ops, 20*time.Second) != porcupine.Ok {
		c.fail(notLinearizable, "%d operations", len(ops))
	}
}

// appendModel is a list to which ids are appended; an append returns its position, a read the digest.
var appendModel = porcupine.Model{
	Init: func() any { return digest{} },
	Step: func(state, input, _ any) (bool, any) {
		d, op := state.(digest), input.(*operation)
		if op.id == 0 {
			return op.readDigest == d, d
		}
		next := d.add(op.id)
		return op.returnTime == 0 || op.position == next.count, next
	},
}
