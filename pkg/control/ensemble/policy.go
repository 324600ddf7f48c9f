package ensemble

import (
	"time"

	"rosemarygate/pkg/agreement"
)

const (
	// replaceAfter is the silence after which a voter is replaced by a learner that has caught up.
	// It has to be shorter than the time in which the successor of a lost host takes over its part
	// (4 s on the smallest deployments), and longer than an election.
	replaceAfter = 3 * time.Second
	// dropLearnerAfter is the silence after which a learner is no member any more; it may join again.
	dropLearnerAfter = 30 * time.Second
	// fewestVoters is the size of the smallest group that tolerates the loss of one voter. A group of
	// fewer hosts keeps every voter that it has.
	fewestVoters = 3
	// mostVoters bounds the copies that each change is synced to.
	mostVoters = 7
)

// memberView is what the leader knows of a member when it decides on changes.
type memberView struct {
	agreement.MemberStatus
	silent time.Duration // since the member last answered
}

// answered holds when each member last answered this leader.
type answered map[agreement.Replica]time.Time

// views returns what the policy needs to know of the members. A member counts as answering from the
// moment when it is first seen.
func (a answered) views(now time.Time, members []agreement.MemberStatus) []memberView {
	views := make([]memberView, 0, len(members))
	for _, m := range members {
		if _, known := a[m.Replica]; m.Answers || !known {
			a[m.Replica] = now
		}
		views = append(views, memberView{m, now.Sub(a[m.Replica])})
	}
	return views
}

// passedOn is the Hint of a request to join that a host passed on to its leader, which happens once.
const passedOn = 1

// decideJoin says what a host does with a request to join: the leader adds the newcomer, and another
// host passes the request on, since the newcomer knows only the seeds.
func decideJoin(st *agreement.Status, m agreement.Message) (passOn *agreement.Message, add bool) {
	if st.Role == agreement.Leader {
		return nil, !st.Membership.Contains(m.From)
	}
	if st.Leader == agreement.None || m.Hint == passedOn {
		return nil, false
	}
	m.To, m.Hint = st.Leader, passedOn
	return &m, false
}

// votersFor returns the fewest voters of which a majority survives the loss of so many disks.
func votersFor(tolerated int) int { return 2*tolerated + 1 }

// wantedVoters returns how many voters a group with so many live members has: as many as possible,
// since a majority of all hosts then holds a majority of the voters, and an odd number, since an even
// one tolerates no more losses.
func wantedVoters(live, tolerated int) int {
	odd := live - 1 + live%2
	return min(mostVoters, max(odd, fewestVoters, votersFor(tolerated)))
}

// nextChange returns the next membership change of a group without operators, if there is one:
// learners that have caught up become voters while voters are missing or silent, and a silent voter
// leaves once enough live ones remain.
func nextChange(members []memberView, tolerated int) (agreement.Change, bool) {
	live, liveVoters := 0, 0
	var silentVoter, oldLearner, learner *memberView
	for i := range members {
		m := &members[i]
		isLive := m.silent < replaceAfter
		switch {
		case isLive && m.Voter:
			live++
			liveVoters++
		case isLive:
			live++
			if m.CaughtUp && learner == nil {
				learner = m
			}
		case m.Voter:
			if silentVoter == nil || m.silent > silentVoter.silent {
				silentVoter = m
			}
		case m.silent > dropLearnerAfter:
			oldLearner = m
		}
	}
	wanted := wantedVoters(live, tolerated)
	switch {
	case learner != nil && liveVoters < wanted:
		return agreement.Change{Kind: agreement.Promote, Replica: learner.Replica}, true
	case silentVoter != nil && liveVoters >= wanted:
		return agreement.Change{Kind: agreement.Remove, Replica: silentVoter.Replica}, true
	case oldLearner != nil:
		return agreement.Change{Kind: agreement.Remove, Replica: oldLearner.Replica}, true
	}
	return agreement.Change{}, false
}
