package state

import (
	"bytes"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"rosemarygate/api/control/v1"
)

// Guards against a recovered state that lacks content, keys or replies, accepts a push based on a
// version that the recovery lost, or continues a replacement of the previous group.
func TestRecover(t *testing.T) {
	m := New(testRules())
	hosts := []*controlpb.ReplicaHost{{Name: "a", Address: "1"}, {Name: "b", Address: "2"}}
	apply(t, m, &controlpb.Entry{ChangeId: "bootstrap", TimeUnixMs: 1, Body: &controlpb.Entry_Bootstrap{Bootstrap: &controlpb.Bootstrap{Replicas: hosts}}})
	apply(t, m, rotationEntry("key", 0))
	first := pushEntry("first", 0, put("1.yaml", "a"))
	version := apply(t, m, first).GetVersion()
	apply(t, m, replacementEntry("replace", "b", "c"))
	before := m.View()
	m.Recover(&controlpb.Recovery{LastIndex: m.Applied(), FirstIndex: 1000}, "ravi", "a", time.UnixMilli(7))
	restored, err := Restore(testRules(), snapshot(t, m))
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(snapshot(t, restored), snapshot(t, m)))
	m = restored

	assert.Equal(t, m.Applied(), uint64(1000))
	assert.Equal(t, m.View().Version, version)
	assert.Equal(t, m.View().Digest(), before.Digest())
	assert.Equal(t, len(m.Replicas()), 2)
	assert.Assert(t, m.Replacement() == nil)
	record := m.History(0, 1).GetRecords()[0]
	assert.Assert(t, record.GetVersion() == 1000 && record.GetOperator() == "ravi" && record.GetTimeUnixMs() == 7, "%v", record)
	resent := apply(t, m, first)
	assert.Assert(t, resent.GetResent() && resent.GetVersion() == version, "%v", resent)
	next := apply(t, m, pushEntry("next", version, put("2.yaml", "b")))
	assert.Assert(t, next.GetVersion() > 1000, "%v", next)
	lost := apply(t, m, pushEntry("lost", 500, put("3.yaml", "c")))
	assert.Equal(t, refusalKind(lost), controlpb.Refusal_KIND_BASE_UNKNOWN)
	assert.ErrorContains(t, ReplyError(lost), "recovered from an older copy")
}

func replacementEntry(id, leaving, joining string) *controlpb.Entry {
	r := &controlpb.Replacement{Leaving: leaving, Joining: &controlpb.ReplicaHost{Name: joining, Address: "9"}}
	return &controlpb.Entry{ChangeId: id, TimeUnixMs: 1, Body: &controlpb.Entry_Replacement{Replacement: r}}
}

// Guards against a cancellation that is accepted without a replacement in progress, or twice, and
// against another replacement that starts before the joining replica of a cancelled one is removed.
func TestCancelReplacement(t *testing.T) {
	m := New(testRules())
	hosts := []*controlpb.ReplicaHost{{Name: "a", Address: "1"}, {Name: "b", Address: "2"}}
	apply(t, m, &controlpb.Entry{ChangeId: "bootstrap", TimeUnixMs: 1, Body: &controlpb.Entry_Bootstrap{Bootstrap: &controlpb.Bootstrap{Replicas: hosts}}})
	cancel := func(id, leaving string) error {
		body := &controlpb.Entry_Cancellation{Cancellation: &controlpb.Cancellation{Leaving: leaving}}
		return ReplyError(apply(t, m, &controlpb.Entry{ChangeId: id, TimeUnixMs: 1, Body: body}))
	}
	assert.ErrorContains(t, cancel("1", "b"), "no replacement of b is in progress")
	assert.NilError(t, ReplyError(apply(t, m, replacementEntry("2", "b", "c"))))
	assert.ErrorContains(t, cancel("3", "a"), "no replacement of a is in progress")
	assert.NilError(t, cancel("4", "b"))
	assert.Assert(t, m.Replacement().GetCancelled())
	assert.ErrorContains(t, cancel("5", "b"), "is being cancelled already")
	restored, err := Restore(testRules(), snapshot(t, m))
	assert.NilError(t, err)
	assert.Assert(t, proto.Equal(restored.Replacement(), m.Replacement()))
	assert.ErrorContains(t, ReplyError(apply(t, m, replacementEntry("6", "a", "d"))), "or cancel it")
	outcome := &controlpb.Entry_Outcome{Outcome: &controlpb.ReplacementOutcome{Joining: "c"}}
	assert.NilError(t, ReplyError(apply(t, m, &controlpb.Entry{ChangeId: "7", TimeUnixMs: 1, Body: outcome})))
	assert.Equal(t, m.Replicas()[1].GetName(), "b")
	assert.NilError(t, ReplyError(apply(t, m, replacementEntry("8", "a", "d"))))
}
