package state

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"rosemarygate/api/control/v1"
	"rosemarygate/pkg/control/folder"
)

const keepAliveInterval = 15 * time.Second

func testRules() Rules {
	return Rules{
		Validate: func(files []*folder.File) error {
			for _, f := range files {
				if bytes.Contains(f.Data, []byte("invalid")) {
					return fmt.Errorf("file %s is invalid", f.Name)
				}
			}
			return nil
		},
		LongestKeepAlive: func([]*folder.File) time.Duration { return keepAliveInterval },
	}
}

func pushEntry(id string, base uint64, changes ...*controlpb.FileChange) *controlpb.Entry {
	return &controlpb.Entry{
		ChangeId: id, Operator: "asha", TimeUnixMs: 1, Summary: id,
		Body: &controlpb.Entry_Push{Push: &controlpb.Push{BaseVersion: base, Files: changes}},
	}
}

func put(name, data string) *controlpb.FileChange {
	return &controlpb.FileChange{Name: name, Data: []byte(data)}
}

func remove(name string) *controlpb.FileChange {
	return &controlpb.FileChange{Name: name, Remove: true}
}

func apply(t testing.TB, m *Machine, e *controlpb.Entry) *controlpb.Reply {
	t.Helper()
	data, err := proto.Marshal(e)
	assert.NilError(t, err)
	reply, err := m.Apply(m.applied+1, data)
	assert.NilError(t, err)
	return reply
}

func refusalKind(r *controlpb.Reply) controlpb.Refusal_Kind { return r.GetRefusal().GetKind() }

func snapshot(t assert.TestingT, m *Machine) []byte {
	b, err := m.Snapshot()
	assert.NilError(t, err)
	return b
}

// Guards against a change that silently overwrites that of another operator.
func TestRacingOperators(t *testing.T) {
	tests := []struct {
		name     string
		change   *controlpb.FileChange
		expected []byte
		want     controlpb.Refusal_Kind
		next     string
	}{
		{name: "equal number, other name", change: put("0010-b.yaml", "b"), want: controlpb.Refusal_KIND_NUMBER_TAKEN, next: "0012"},
		{name: "equal name, other content", change: put("0010-a.yaml", "b"), want: controlpb.Refusal_KIND_NUMBER_TAKEN, next: "0012"},
		{name: "equal name expected absent", change: put("0010-a.yaml", "b"), expected: []byte{}, want: controlpb.Refusal_KIND_NUMBER_TAKEN, next: "0012"},
		{name: "equal content", change: put("0010-a.yaml", "a")},
		{name: "changed since the base", change: put("0001-old.yaml", "mine"), want: controlpb.Refusal_KIND_CONTENT_CHANGED},
		{name: "removal of a changed file", change: remove("0001-old.yaml"), want: controlpb.Refusal_KIND_CONTENT_CHANGED},
		{name: "removed since the base", change: put("0002-gone.yaml", "mine"), want: controlpb.Refusal_KIND_CONTENT_CHANGED},
		{name: "removal of a removed file", change: remove("0002-gone.yaml")},
		{name: "expectation not met", change: put("0003-same.yaml", "mine"), expected: []byte("other"), want: controlpb.Refusal_KIND_CONTENT_CHANGED},
		{name: "untouched file", change: put("0003-same.yaml", "mine")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := New(testRules())
			first := apply(t, m, pushEntry("1", 0, put("0001-old.yaml", "v1"), put("0002-gone.yaml", "v1"), put("0003-same.yaml", "v1")))
			base := first.GetVersion()
			apply(t, m, pushEntry("2", base, put("0001-old.yaml", "v2"), remove("0002-gone.yaml"), put("0010-a.yaml", "a"), put("0011-c.yaml", "c")))
			tt.change.ExpectedSha256 = tt.expected
			reply := apply(t, m, pushEntry("3", base, tt.change))
			assert.Equal(t, refusalKind(reply), tt.want, "%v", reply)
			assert.Equal(t, reply.GetRefusal().GetNextFreeNumber(), tt.next)
		})
	}
}

// Guards against a resent change that is applied twice, even after its reply was dropped.
func TestResentChange(t *testing.T) {
	m := newMachine(testRules(), 5, 10)
	change := pushEntry("first", 0, put("0001-a.yaml", "a"))
	first := apply(t, m, change)
	apply(t, m, pushEntry("second", 1, put("0001-a.yaml", "b")))

	again := apply(t, m, change)
	assert.Equal(t, again.GetVersion(), first.GetVersion())
	assert.Assert(t, again.GetResent())
	other := pushEntry("first", 2, put("0001-a.yaml", "c"))
	assert.Equal(t, refusalKind(apply(t, m, other)), controlpb.Refusal_KIND_CHANGE_ID_REUSED)
	assert.Equal(t, string(m.View().Folder.Get("0001-a.yaml").Data), "b")

	for i := range 10 {
		apply(t, m, pushEntry(fmt.Sprint("more", i), m.View().Version, put("0002-b.yaml", fmt.Sprint(i))))
	}
	assert.Equal(t, refusalKind(apply(t, m, change)), controlpb.Refusal_KIND_BASE_TOO_OLD)
	reply := m.History(0, 100)
	assert.Equal(t, len(reply.GetRecords()), 5)
	assert.Assert(t, reply.GetTruncated())
}

// Guards against accepting an entry that became invalid after it was proposed.
func TestCheckIsRepeatedOnApply(t *testing.T) {
	m := New(testRules())
	a := pushEntry("a", 0, put("0001-a.yaml", "a"))
	b := pushEntry("b", 0, put("0001-b.yaml", "b"))
	assert.Assert(t, m.Check(a) == nil)
	assert.Assert(t, m.Check(b) == nil)
	assert.NilError(t, ReplyError(apply(t, m, a)))
	err := ReplyError(apply(t, m, b))
	var refused *RefusedError
	assert.Assert(t, errors.As(err, &refused))
	assert.ErrorContains(t, err, "use the next free number 0002")
}

// Guards against malformed, oversized or conflicting changes that are accepted.
func TestRefusedChanges(t *testing.T) {
	long := strings.Repeat("x", 1<<10)
	tests := map[string]struct {
		entry *controlpb.Entry
		want  controlpb.Refusal_Kind
	}{
		"no id":        {pushEntry("", 0, put("1.yaml", "")), controlpb.Refusal_KIND_MALFORMED},
		"long id":      {pushEntry(long, 0, put("1.yaml", "")), controlpb.Refusal_KIND_MALFORMED},
		"no files":     {pushEntry("x", 0), controlpb.Refusal_KIND_MALFORMED},
		"path":         {pushEntry("x", 0, put("../1.yaml", "")), controlpb.Refusal_KIND_MALFORMED},
		"hidden":       {pushEntry("x", 0, put(".1.yaml", "")), controlpb.Refusal_KIND_MALFORMED},
		"twice":        {pushEntry("x", 0, put("1.yaml", ""), put("1.yaml", "")), controlpb.Refusal_KIND_MALFORMED},
		"equal number": {pushEntry("x", 0, put("1-a.yaml", ""), put("1-b.yaml", "")), controlpb.Refusal_KIND_NUMBER_TAKEN},
		"large":        {pushEntry("x", 0, put("1.yaml", strings.Repeat("x", MaxPushBytes))), controlpb.Refusal_KIND_MALFORMED},
		"invalid":      {pushEntry("x", 0, put("1.yaml", "invalid")), controlpb.Refusal_KIND_INVALID_CONFIGURATION},
		"future base":  {pushEntry("x", 9, put("1.yaml", "")), controlpb.Refusal_KIND_BASE_UNKNOWN},
	}
	for name, tt := range tests {
		m := New(testRules())
		assert.Equal(t, refusalKind(m.Check(tt.entry)), tt.want, name)
		assert.Equal(t, refusalKind(apply(t, m, tt.entry)), tt.want, name)
		assert.Equal(t, m.View().Version, uint64(0), name)
	}
}

func rotationEntry(id string, at time.Duration) *controlpb.Entry {
	return &controlpb.Entry{
		ChangeId: id, TimeUnixMs: 1_000_000 + at.Milliseconds(),
		Body: &controlpb.Entry_Rotation{Rotation: &controlpb.KeyRotation{Secret: []byte("0123456789abcdef")}},
	}
}

// Guards against dropping the key of a flow's token before the flow's next keep-alive, and against
// signing with a key that other daemons do not have yet.
func TestKeyRotation(t *testing.T) {
	m := New(testRules())
	assert.NilError(t, ReplyError(apply(t, m, rotationEntry("1", 0))))
	wait := KeyActivationDelay + MaxClockSkew + keepAliveInterval
	assert.Equal(t, refusalKind(apply(t, m, rotationEntry("2", wait-time.Millisecond))), controlpb.Refusal_KIND_ROTATION_TOO_SOON)
	assert.NilError(t, ReplyError(apply(t, m, rotationEntry("3", wait))))
	assert.NilError(t, ReplyError(apply(t, m, rotationEntry("4", 2*wait))))
	start := time.UnixMilli(1_000_000).Add(2 * wait)
	keys := TokenKeys(m.View().Keys, start)
	assert.Equal(t, len(keys), 2)
	assert.Equal(t, keys[1].ID, uint32(2), "the newest key must not sign before its activation")
	assert.Equal(t, TokenKeys(m.View().Keys, start.Add(KeyActivationDelay))[1].ID, uint32(3))
}

// Guards against two replacements at the same time, and against a set of replicas that does not
// match the entries of the log.
func TestReplaceReplica(t *testing.T) {
	m := New(testRules())
	replicas := []*controlpb.ReplicaHost{{Name: "c", Address: "3"}, {Name: "a", Address: "1"}, {Name: "b", Address: "2"}}
	boot := &controlpb.Entry{ChangeId: "boot", TimeUnixMs: 1, Body: &controlpb.Entry_Bootstrap{Bootstrap: &controlpb.Bootstrap{Replicas: replicas}}}
	replace := func(id, leaving, joining string) *controlpb.Entry {
		r := &controlpb.Replacement{Leaving: leaving, Joining: &controlpb.ReplicaHost{Name: joining, Address: "9"}}
		return &controlpb.Entry{ChangeId: id, TimeUnixMs: 1, Body: &controlpb.Entry_Replacement{Replacement: r}}
	}
	outcome := func(id, joining string, completed bool) *controlpb.Entry {
		o := &controlpb.ReplacementOutcome{Joining: joining, Completed: completed}
		return &controlpb.Entry{ChangeId: id, TimeUnixMs: 1, Body: &controlpb.Entry_Outcome{Outcome: o}}
	}
	conflict := controlpb.Refusal_KIND_REPLACEMENT_CONFLICT
	assert.NilError(t, ReplyError(apply(t, m, boot)))
	boot.ChangeId = "boot again"
	assert.Equal(t, refusalKind(apply(t, m, boot)), conflict)
	assert.Equal(t, refusalKind(apply(t, m, replace("1", "x", "d"))), conflict)
	assert.Equal(t, refusalKind(apply(t, m, replace("2", "a", "b"))), conflict)
	assert.NilError(t, ReplyError(apply(t, m, replace("3", "a", "d"))))
	assert.Equal(t, refusalKind(apply(t, m, replace("4", "b", "e"))), conflict)
	assert.Equal(t, refusalKind(apply(t, m, outcome("5", "e", true))), conflict)
	assert.NilError(t, ReplyError(apply(t, m, outcome("6", "d", true))))
	assert.Equal(t, len(m.Replicas()), 3)
	assert.Equal(t, m.Replicas()[2].GetName(), "d")
	assert.Assert(t, m.Replacement() == nil)
}

// Guards against skipping entries of an unknown kind, after which the replicas' states would differ,
// and against applying an entry twice.
func TestUnappliableEntries(t *testing.T) {
	m := New(testRules())
	_, err := m.Apply(1, []byte{0xff})
	assert.ErrorContains(t, err, "cannot be decoded")
	data, err := proto.Marshal(&controlpb.Entry{ChangeId: "x", TimeUnixMs: 1})
	assert.NilError(t, err)
	_, err = m.Apply(1, data)
	assert.ErrorContains(t, err, "upgrade this replica")
	reply, err := m.Apply(1, nil)
	assert.Assert(t, reply == nil && err == nil)
	_, err = m.Apply(1, nil)
	assert.ErrorContains(t, err, "once and in order")
}

// Guards against a snapshot that omits a part of the state: a restored replica would give other
// replies than the rest of the group.
func TestSnapshotHoldsTheWholeState(t *testing.T) {
	m := newMachine(testRules(), 3, 100)
	replica := &controlpb.ReplicaHost{Name: "a", Address: "1"}
	joining := &controlpb.ReplicaHost{Name: "b", Address: "2"}
	wait := KeyActivationDelay + MaxClockSkew + keepAliveInterval
	for _, e := range []*controlpb.Entry{
		{ChangeId: "boot", TimeUnixMs: 1, Body: &controlpb.Entry_Bootstrap{Bootstrap: &controlpb.Bootstrap{Replicas: []*controlpb.ReplicaHost{replica}}}},
		pushEntry("1", 0, put("1.yaml", "a")),
		pushEntry("2", 2, put("1.yaml", "b"), put("2.yaml", "c")),
		pushEntry("3", 3, remove("2.yaml")),
		rotationEntry("4", 0),
		rotationEntry("5", wait),
		{ChangeId: "6", TimeUnixMs: 1, Body: &controlpb.Entry_Replacement{Replacement: &controlpb.Replacement{Leaving: "a", Joining: joining}}},
	} {
		assert.NilError(t, ReplyError(apply(t, m, e)))
	}
	r, err := Restore(testRules(), snapshot(t, m))
	assert.NilError(t, err)
	assert.Equal(t, r.Applied(), m.Applied())
	assert.Equal(t, r.View().Version, m.View().Version)
	assert.Equal(t, r.View().KeysVersion, m.View().KeysVersion)
	assert.Equal(t, r.View().Digest(), m.View().Digest())
	assert.DeepEqual(t, r.View().Folder.Removals(), m.View().Folder.Removals())
	assert.DeepEqual(t, *r.View().Folder.Get("1.yaml"), *m.View().Folder.Get("1.yaml"))
	assert.Assert(t, proto.Equal(r.History(0, 9), m.History(0, 9)))
	assert.Assert(t, r.History(0, 9).GetTruncated())
	assert.Assert(t, proto.Equal(r.Replacement(), m.Replacement()))
	assert.Assert(t, proto.Equal(r.Replicas()[0], replica))
	assert.Equal(t, r.lastRotated, m.lastRotated)
	assert.Equal(t, r.lastKeyID, m.lastKeyID)
	assert.Equal(t, r.keepAlive, m.keepAlive)
	assert.Equal(t, r.replies.lastDroppedIndex, m.replies.lastDroppedIndex)

	for _, bad := range [][]byte{{0xff}, nil} {
		_, err = Restore(testRules(), bad)
		assert.ErrorContains(t, err, "the snapshot")
	}
}

// Guards against a key that is dropped too early because a new configuration has a shorter
// keep-alive interval than the one that open flows still use.
func TestRotationWaitsForEarlierInterval(t *testing.T) {
	interval := time.Minute
	rules := testRules()
	rules.LongestKeepAlive = func([]*folder.File) time.Duration { return interval }
	m := New(rules)
	apply(t, m, pushEntry("1", 0, put("1.yaml", "a")))
	apply(t, m, rotationEntry("2", 0))
	interval = 2 * time.Minute
	apply(t, m, pushEntry("longer", 2, put("1.yaml", "c")))
	interval = time.Second
	apply(t, m, pushEntry("3", 3, put("1.yaml", "b")))
	margin := KeyActivationDelay + MaxClockSkew
	assert.Equal(t, refusalKind(apply(t, m, rotationEntry("4", margin+119*time.Second))), controlpb.Refusal_KIND_ROTATION_TOO_SOON)
	assert.NilError(t, ReplyError(apply(t, m, rotationEntry("5", margin+2*time.Minute))))
	second := 2*margin + 2*time.Minute + 119*time.Second
	assert.Equal(t, refusalKind(apply(t, m, rotationEntry("6", second))), controlpb.Refusal_KIND_ROTATION_TOO_SOON)
	assert.NilError(t, ReplyError(apply(t, m, rotationEntry("7", second+time.Second))))
	assert.NilError(t, ReplyError(apply(t, m, rotationEntry("8", second+margin+2*time.Second))))
}
