package state

import (
	"bytes"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosemarygate/api/control/v1"
)

// operatorModel models an operator with a local copy of the folder who may resend any change.
type operatorModel struct {
	base  uint64
	files map[string]string
	sent  []*controlpb.Entry
}

func (o *operatorModel) fetch(m *Machine) {
	o.base = m.View().Version
	o.files = map[string]string{}
	for _, f := range m.View().Folder.Files() {
		o.files[f.Name] = string(f.Data)
	}
}

func (o *operatorModel) newEntry(t *rapid.T, id string) *controlpb.Entry {
	name := fmt.Sprintf("%02d-%s.yaml", rapid.IntRange(0, 5).Draw(t, "number"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"))
	c := put(name, rapid.SampledFrom([]string{"1", "2", "3", "invalid"}).Draw(t, "data"))
	if rapid.IntRange(0, 4).Draw(t, "remove") == 0 {
		c = remove(name)
	}
	e := pushEntry(id, o.base, c)
	o.sent = append(o.sent, e)
	return e
}

// Guards against a change that is accepted twice, a change that overwrites content its operator had
// not seen, two files with one number, replicas with different states, and a restored replica with
// other replies. The operators change files concurrently, resend changes and lose replies.
func TestRandomOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const replyLimit = 6
		m := newMachine(testRules(), 5, replyLimit)
		other := newMachine(testRules(), 5, replyLimit)
		operators := []*operatorModel{{}, {}, {}}
		firstReply := map[string]*controlpb.Reply{}
		acceptedAt := map[string]uint64{}
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			o := rapid.SampledFrom(operators).Draw(t, "operator")
			if rapid.Bool().Draw(t, "fetch") {
				o.fetch(m)
			}
			e := o.nextEntry(t, fmt.Sprint("change", i))
			before := m.View()
			checked := m.Check(e)
			data, err := proto.Marshal(e)
			assert.NilError(t, err)
			reply, err := m.Apply(uint64(i+1), data)
			assert.NilError(t, err)
			_, err = other.Apply(uint64(i+1), data)
			assert.NilError(t, err)

			if checked == nil {
				assert.NilError(t, ReplyError(reply))
			} else {
				assert.Assert(t, proto.Equal(checked, reply), "checked %v, applied %v", checked, reply)
			}
			checkResentReply(t, e, reply, firstReply)
			if m.View() != before {
				assert.Equal(t, acceptedAt[e.GetChangeId()], uint64(0), "change %s accepted twice", e.GetChangeId())
				acceptedAt[e.GetChangeId()] = reply.GetVersion()
				checkNoUnseenChange(t, before, e)
			}
			checkNumbersUnique(t, m)
			assert.Assert(t, bytes.Equal(snapshot(t, m), snapshot(t, other)))
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				restored := newMachine(testRules(), 5, replyLimit)
				assert.NilError(t, restored.restore(snapshot(t, m)))
				assert.Assert(t, bytes.Equal(snapshot(t, m), snapshot(t, restored)))
				m = restored
			}
		}
	})
}

func (o *operatorModel) nextEntry(t *rapid.T, id string) *controlpb.Entry {
	if len(o.sent) > 0 && rapid.Bool().Draw(t, "resend") {
		return rapid.SampledFrom(o.sent).Draw(t, "resent")
	}
	return o.newEntry(t, id)
}

func checkResentReply(t *rapid.T, e *controlpb.Entry, reply *controlpb.Reply, firstReply map[string]*controlpb.Reply) {
	first := firstReply[e.GetChangeId()]
	if first == nil {
		firstReply[e.GetChangeId()] = reply
		return
	}
	if reply.GetResent() {
		first = proto.CloneOf(first)
		first.Resent = true
		assert.Assert(t, proto.Equal(first, reply), "first %v, then %v", first, reply)
	}
}

// checkNoUnseenChange checks that an accepted push changed only files that had not been changed
// since its base version.
func checkNoUnseenChange(t *rapid.T, before *View, e *controlpb.Entry) {
	base := e.GetPush().GetBaseVersion()
	for _, c := range e.GetPush().GetFiles() {
		if f := before.Folder.Get(c.GetName()); f != nil {
			assert.Assert(t, f.ChangedVersion <= base, "%s changed at %d, base %d", f.Name, f.ChangedVersion, base)
		}
	}
}

func checkNumbersUnique(t *rapid.T, m *Machine) {
	holder := map[uint64]string{}
	for _, f := range m.View().Folder.Files() {
		n, _ := fileNumber(f.Name)
		assert.Equal(t, holder[n], "", "%s and %s", holder[n], f.Name)
		holder[n] = f.Name
	}
}
