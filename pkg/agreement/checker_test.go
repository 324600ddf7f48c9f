package agreement_test

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"rosemarygate/pkg/agreement"
)

// violation is a broken invariant that a schedule found.
type violation struct {
	kind   violationKind
	detail string
}

type violationKind string

const (
	lostChange   violationKind = "accepted change lost"
	diverged     violationKind = "replicas applied different entries"
	twoLeaders   violationKind = "two leaders in a term"
	nonLinear    violationKind = "history is not linearizable"
	unreadable   violationKind = "data folder unreadable"
	noProgress   violationKind = "no progress after all faults ended"
	brokenReplay violationKind = "node refused its state"
	panicked     violationKind = "panic"
)

// register is the replicated state: the list of appended operation ids without duplicates.
type register struct {
	list     []uint64
	position map[uint64]int
	applied  uint64
}

func newRegister() *register { return &register{position: map[uint64]int{}} }

func (r *register) append(id uint64) {
	if _, dup := r.position[id]; dup {
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

// digest stands for the list in a client history.
type digest struct {
	count int
	hash  uint64
}

func (d digest) add(id uint64) digest {
	return digest{d.count + 1, (d.hash ^ id) * 0x9e3779b97f4a7c15}
}

// operation is one client operation: an append of id, or a read if id is 0.
type operation struct {
	id     uint64
	client int
	call   int64
	ret    int64 // 0 while unknown
	pos    int   // of an append
	seen   digest
}

// checker observes all replicas and keeps what must never change.
type checker struct {
	chosen    map[uint64]agreement.Entry
	states    map[uint64]digest // by applied index
	leaders   map[uint64]agreement.Replica
	committed confIndex
	proposed  []confIndex // memberships written by any replica
	history   []*operation
	promoted  int // membership entries that added a voter
	found     *violation
}

// confIndex is a membership and the index of its entry.
type confIndex struct {
	index      uint64
	membership agreement.Membership
}

func newChecker() *checker {
	return &checker{
		chosen: map[uint64]agreement.Entry{}, states: map[uint64]digest{}, leaders: map[uint64]agreement.Replica{},
	}
}

func (c *checker) fail(kind violationKind, format string, args ...any) {
	if c.found == nil {
		c.found = &violation{kind, fmt.Sprintf(format, args...)}
	}
}

func (c *checker) observeLeader(term uint64, r agreement.Replica) {
	if old, ok := c.leaders[term]; ok && old != r {
		c.fail(twoLeaders, "term %d: %s and %s", term, old, r)
	}
	c.leaders[term] = r
}

func (c *checker) observeCommitted(r agreement.Replica, e agreement.Entry) {
	old, ok := c.chosen[e.Index]
	if ok && (old.Term != e.Term || old.Kind != e.Kind || string(old.Data) != string(e.Data)) {
		c.fail(diverged, "index %d at %s: term %d, before term %d", e.Index, r, e.Term, old.Term)
	}
	c.chosen[e.Index] = e
	if e.Kind == agreement.EntryMembership && e.Index > c.committed.index {
		if e.Membership.Voters() > c.committed.membership.Voters() {
			c.promoted++
		}
		c.committed = confIndex{e.Index, e.Membership}
	}
}

func (c *checker) observeState(r agreement.Replica, reg *register) {
	d := reg.digest()
	if old, ok := c.states[reg.applied]; ok && old != d {
		c.fail(diverged, "state of %s at index %d", r, reg.applied)
	}
	c.states[reg.applied] = d
}

// memberships returns every membership that may be in effect somewhere.
func (c *checker) memberships() []confIndex {
	out := []confIndex{c.committed}
	for _, p := range c.proposed {
		if p.index > c.committed.index {
			out = append(out, p)
		}
	}
	return out
}

// checkFinal checks that a converged state contains every answered append at its position.
func (c *checker) checkFinal(r agreement.Replica, reg *register) {
	for _, op := range c.history {
		if op.id != 0 && op.ret != 0 && reg.position[op.id] != op.pos {
			c.fail(lostChange, "operation %d at position %d, answered %d, on %s", op.id, reg.position[op.id], op.pos, r)
		}
	}
}

func (c *checker) checkHistory() {
	var ops []porcupine.Operation
	for _, op := range c.history {
		if op.ret == 0 && op.id == 0 {
			continue // a read without an answer says nothing
		}
		ret := op.ret
		if ret == 0 {
			ret = math.MaxInt64
		}
		ops = append(ops, porcupine.Operation{ClientId: op.client, Input: op, Output: op, Call: op.call, Return: ret})
	}
	if porcupine.CheckOperationsTimeout(appendModel, ops, 20*time.Second) != porcupine.Ok {
		c.fail(nonLinear, "%d operations", len(ops))
	}
}

// appendModel is a list to which ids are appended; an append returns its position, a read the digest.
var appendModel = porcupine.Model{
	Init: func() any { return digest{} },
	Step: func(state, input, _ any) (bool, any) {
		d, op := state.(digest), input.(*operation)
		if op.id == 0 {
			return op.seen == d, d
		}
		next := d.add(op.id)
		return op.ret == 0 || op.pos == next.count, next
	},
}
