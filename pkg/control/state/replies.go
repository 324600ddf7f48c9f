package state

import (
	"crypto/sha256"
	"encoding/binary"

	"google.golang.org/protobuf/proto"

	"rosemarygate/api/control/v1"
)

// maxReplies is the number of first replies that are remembered: 1.5 days of the 44,000
// changes a day that the design aims at.
//
// Beyond it the reply is gone, and the resent change must not be accepted a second time:
// a push names the version it was based on, and a push based on a version before the
// oldest remembered reply is refused with KIND_BASE_TOO_OLD. A resent rotation or
// replacement is refused by its own rules or repeats no effect.
const maxReplies = 65_536

const hashSize = 16 // bytes; two changes meet with a probability of about 2^-96 at the bound

type hash [hashSize]byte

type remembered struct {
	content hash
	index   uint64
	reply   *controlpb.Reply
}

// replies remembers the first reply to each change, up to a limit.
type replies struct {
	limit     int
	byChange  map[hash]*remembered
	order     []hash // oldest first
	forgotten uint64 // index of the last change whose reply was dropped
}

func newReplies(limit int) replies {
	return replies{limit: limit, byChange: make(map[hash]*remembered)}
}

// find returns the reply to a change that was sent before, or nil.
func (r *replies) find(e *controlpb.Entry) *controlpb.Reply {
	found := r.byChange[changeHash(e)]
	if found == nil {
		return nil
	}
	if found.content != contentHash(e) {
		return refuse(&controlpb.Refusal{Kind: controlpb.Refusal_KIND_CHANGE_ID_REUSED, CurrentVersion: found.reply.GetVersion()})
	}
	reply := proto.CloneOf(found.reply)
	reply.Resent = true
	return reply
}

func (r *replies) remember(e *controlpb.Entry, index uint64, reply *controlpb.Reply) {
	r.add(changeHash(e), &remembered{contentHash(e), index, reply})
}

func (r *replies) add(change hash, first *remembered) {
	r.byChange[change] = first
	r.order = append(r.order, change)
	if len(r.order) <= r.limit {
		return
	}
	oldest := r.order[0]
	r.order = r.order[1:]
	r.forgotten = r.byChange[oldest].index
	delete(r.byChange, oldest)
}

func changeHash(e *controlpb.Entry) hash {
	sum := sha256.Sum256([]byte(e.GetChangeId()))
	return hash(sum[:hashSize])
}

// contentHash covers what the operator asked for. It leaves out the time, the base version
// and a key's secret, which differ when the change is sent again.
func contentHash(e *controlpb.Entry) hash {
	var b []byte
	switch body := e.GetBody().(type) {
	case *controlpb.Entry_Push:
		b = appendPush(append(b, 'p'), body.Push)
	case *controlpb.Entry_Rotation:
		b = append(b, 'k')
	case *controlpb.Entry_Replacement:
		b = appendField(append(b, 'r'), []byte(body.Replacement.GetLeaving()))
		b = appendReplica(b, body.Replacement.GetJoining())
	case *controlpb.Entry_Cancellation:
		b = appendField(append(b, 'c'), []byte(body.Cancellation.GetLeaving()))
	case *controlpb.Entry_Outcome:
		b = appendField(append(b, 'o'), []byte(body.Outcome.GetJoining()))
		b = appendBool(b, body.Outcome.GetCompleted())
	case *controlpb.Entry_Bootstrap:
		b = append(b, 'b')
		for _, replica := range body.Bootstrap.GetReplicas() {
			b = appendReplica(b, replica)
		}
	}
	sum := sha256.Sum256(b)
	return hash(sum[:hashSize])
}

func appendPush(b []byte, p *controlpb.Push) []byte {
	for _, f := range p.GetFiles() {
		b = appendField(b, []byte(f.GetName()))
		b = appendField(b, f.GetData())
		b = appendBool(b, f.GetRemove())
	}
	return b
}

func appendReplica(b []byte, r *controlpb.ReplicaHost) []byte {
	return appendField(appendField(b, []byte(r.GetName())), []byte(r.GetAddress()))
}

func appendField(b, field []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(field)))
	return append(b, field...)
}

func appendBool(b []byte, v bool) []byte {
	if v {
		return append(b, 1)
	}
	return append(b, 0)
}
