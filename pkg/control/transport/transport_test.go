package transport

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// Guards against a message that arrives with the sender, receiver or group of another message.
func TestRandomHeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replica := func(label string) *controlpb.Replica {
			return &controlpb.Replica{Id: rapid.Uint64Range(0, 1).Draw(t, label), Incarnation: rapid.Uint64Range(0, 1).Draw(t, label)}
		}
		var sender, receiver messageHeader
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			m := &controlpb.AgreementMessage{From: replica("from"), To: replica("to"), Group: rapid.Uint64Range(0, 1).Draw(t, "group"), Term: 7}
			sent := proto.CloneOf(m)
			sender.omitRepeated(sent)
			data, err := proto.Marshal(sent)
			assert.NilError(t, err)
			received := new(controlpb.AgreementMessage)
			assert.NilError(t, proto.Unmarshal(data, received))
			receiver.restore(received)
			received.SameHeader = false
			assert.Assert(t, proto.Equal(received, m))
		}
	})
}
