package state

import (
	"crypto/sha256"
	"encoding/binary"

	"google.golang.org/protobuf/proto"

	"rosemarygate/api/control/v1"
)

// maxReplies is the number of first replies that are kept: 1.5 days at the design target of
// 44,000 changes a day.
//
// A change that is resent after its reply was dropped must not be accepted twice. A push names
// its base version and is refused with KIND_BASE_TOO_OLD if that precedes the oldest reply
// kept. A resent rotation or replacement is refused by its own rules or has no further effect.
const maxReplies = 65_536

const hashSize = 16 // bytes; at maxReplies the probability of a collision is about 2^-96

type hash [hashSize]byte

// cachedReply is the first reply to a change.
type cachedReply struct {
	contentHash hash // of the change, see contentHash
	index       uint64
	reply       *controlpb.Reply
}

// replyCache holds the first replies to the latest changes, up to a limit.
type replyCache struct {
	limit            int
	byChange         map[hash]*cachedReply
	order            []hash // oldest first
	lastDroppedIndex uint64 // index of the last change whose reply was dropped
}

func newReplyCache(limit int) replyCache {
	return replyCache{limit: limit, byChange: make(map[hash]*cachedReply)}
}

// find returns the reply to a resent change, or nil if the change id is new.
func (r *replyCache) find(e *controlpb.Entry) *controlpb.Reply {
	found := r.byChange[changeHash(e)]
	if found == nil {
		return nil
	}
	if found.contentHash != contentHash(e) {
		return refusedReply(&controlpb.Refusal{Kind: controlpb.Refusal_KIND_CHANGE_ID_REUSED, CurrentVersion: found.reply.GetVersion()})
	}
	reply := proto.CloneOf(found.reply)
	reply.Resent = true
	return reply
}

func (r *replyCache) store(e *controlpb.Entry, index uint64, reply *controlpb.Reply) {
	r.add(changeHash(e), &cachedReply{contentHash(e), index, reply})
}

func (r *replyCache) add(change hash, reply *cachedReply) {
	r.byChange[change] = reply
	r.order = append(r.order, change)
	if len(r.order) <= r.limit {
		return
	}
	oldest := r.order[0]
	r.order = r.order[1:]
	r.lastDroppedIndex = r.byChange[oldest].index
	delete(r.byChange, oldest)
}

func changeHash(e *controlpb.Entry) hash {
	sum := sha256.Sum256([]byte(e.GetChangeId()))
	return hash(sum[:hashSize])
}

// contentHash returns the hash of what a change requests. It excludes the time, the base version
// and a key's secret, which may differ when the change is resent.
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
