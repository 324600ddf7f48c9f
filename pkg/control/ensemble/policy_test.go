package ensemble

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/ident"
)

func newMemberView(id int, voter, caughtUp bool, silent time.Duration) memberView {
	r := agreement.Replica{ID: ident.DaemonID(id), Incarnation: 1}
	return memberView{agreement.MemberStatus{Member: agreement.Member{Replica: r, Voter: voter}, Responsive: silent == 0, CaughtUp: caughtUp}, silent}
}

// Guards against a group that stays too small, shrinks below the size that the tolerated losses
// require, or keeps a voter that is permanently lost.
func TestNextChange(t *testing.T) {
	voter := func(id int, silent time.Duration) memberView { return newMemberView(id, true, silent == 0, silent) }
	learner := func(id int) memberView { return newMemberView(id, false, true, 0) }
	leaving := func(id int) memberView {
		m := voter(id, 0)
		m.Leaving = true
		return m
	}
	leavingLearner := func(id int) memberView {
		m := learner(id)
		m.Leaving = true
		return m
	}
	gone := replaceVoterAfter + time.Second
	for _, c := range []struct {
		name      string
		members   []memberView
		tolerated int
		kind      agreement.ChangeKind
		id        int
	}{
		{"complete", []memberView{voter(1, 0), voter(2, 0), voter(3, 0)}, 1, 0, 0},
		{"fourth host", []memberView{voter(1, 0), voter(2, 0), voter(3, 0), learner(4)}, 1, agreement.Promote, 4},
		{"fifth host", []memberView{voter(1, 0), voter(2, 0), voter(3, 0), learner(4), learner(5)}, 1, agreement.Promote, 4},
		{"learner lags", []memberView{voter(1, 0), voter(2, 0), voter(3, 0), newMemberView(4, false, false, 0), learner(5)}, 1, agreement.Promote, 5},
		{"two disks", []memberView{voter(1, 0), voter(2, 0), voter(3, 0), learner(4)}, 2, agreement.Promote, 4},
		{"wiped voter is back", []memberView{voter(1, 0), voter(2, 0), learner(3)}, 1, agreement.Promote, 3},
		{"lost voter, no successor", []memberView{voter(1, 0), voter(2, 0), voter(3, gone)}, 1, 0, 0},
		{"lost voter, successor", []memberView{voter(1, 0), voter(2, 0), voter(3, gone), learner(4)}, 1, agreement.Promote, 4},
		{"successor votes", []memberView{voter(1, 0), voter(2, 0), voter(3, gone), voter(4, 0)}, 1, agreement.Remove, 3},
		{"short silence", []memberView{voter(1, 0), voter(2, 0), voter(3, time.Second), voter(4, 0)}, 1, 0, 0},
		{"two of five lost", []memberView{voter(1, 0), voter(2, 0), voter(3, 0), voter(4, gone), voter(5, gone)}, 2, 0, 0},
		{"leaving voter, learner", []memberView{leaving(1), voter(2, 0), voter(3, 0), learner(4)}, 1, agreement.Promote, 4},
		{"leaving voter is replaced", []memberView{leaving(1), voter(2, 0), voter(3, 0), voter(4, 0)}, 1, agreement.Remove, 1},
		{"leaving voter, no learner", []memberView{leaving(1), voter(2, 0), voter(3, 0)}, 1, 0, 0},
		{"leaving voter, enough others", []memberView{leaving(1), voter(2, 0), voter(3, 0), voter(4, 0), voter(5, 0)}, 1, agreement.Remove, 1},
		{"leaving voter, two disks", []memberView{leaving(1), voter(2, 0), voter(3, 0), voter(4, 0), voter(5, 0)}, 2, 0, 0},
		{"two leaving voters, one learner", []memberView{leaving(1), leaving(2), voter(3, 0), voter(4, 0)}, 1, agreement.Remove, 1},
		{"second leaving voter stays", []memberView{leaving(2), voter(3, 0), voter(4, 0)}, 1, 0, 0},
		{"leaving learner", []memberView{voter(1, 0), voter(2, 0), voter(3, gone), leavingLearner(4)}, 1, 0, 0},
		{"silent voter before leaving one", []memberView{leaving(1), voter(2, gone), voter(3, 0), voter(4, 0)}, 1, agreement.Remove, 2},
		{"old learner", []memberView{voter(1, 0), voter(2, 0), voter(3, 0), newMemberView(4, false, false, removeLearnerAfter+1)}, 1, agreement.Remove, 4},
	} {
		change, ok := nextChange(c.members, c.tolerated)
		assert.Equal(t, ok, c.kind != 0, c.name)
		assert.Equal(t, change.Kind, c.kind, c.name)
		assert.Equal(t, change.Replica.ID, ident.DaemonID(c.id), c.name)
	}
}
