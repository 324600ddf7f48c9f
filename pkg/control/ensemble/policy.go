package ensemble

import (
	"time"

	"rosemarygate/pkg/agreement"
)

const (
	// replaceVoterAfter is the silence, after the heartbeats that make a member unresponsive, after which
	// a voter is replaced by a learner that has caught up. Until then the loss of one more disk may stop
	// the group for good. A voter that was only slow joins again at once.
	replaceVoterAfter = 1500 * time.Millisecond
	// removeLearnerAfter is the silence after which a learner is removed from the group; it may join
	// again.
	removeLearnerAfter = 30 * time.Second
	// minVoters is the size of the smallest group that tolerates the loss of one voter. A smaller
	// group keeps all of its voters.
	minVoters = 3
	// maxVoters limits the number of copies to which each change is synced.
	maxVoters = 7
)

// memberView is the status of a member from which the leader decides on membership changes.
type memberView struct {
	agreement.MemberStatus
	silentFor time.Duration // since the member last answered
}

// answerTimes holds the time at which each member last answered this leader.
type answerTimes map[agreement.Replica]time.Time

// views returns the input of the membership policy. A member counts as answering from the time at
// which it is first seen.
func (a answerTimes) views(now time.Time, members []agreement.MemberStatus) []memberView {
	views := make([]memberView, 0, len(members))
	for _, m := range members {
		if _, known := a[m.Replica]; m.Responsive || !known {
			a[m.Replica] = now
		}
		views = append(views, memberView{m, now.Sub(a[m.Replica])})
	}
	return views
}

// forwardedHint is the Hint of a join request that a host has forwarded to its leader; it is
// forwarded only once.
const forwardedHint = 1

// decideJoin decides how a host handles a join request: the leader adds the sender, and any other
// host forwards the request to the leader, since the sender has only the addresses of the seeds.
func decideJoin(st *agreement.Status, m agreement.Message) (forwarded *agreement.Message, add bool) {
	if st.Role == agreement.Leader {
		return nil, !st.Membership.Contains(m.From)
	}
	if st.Leader == agreement.None || m.Hint == forwardedHint {
		return nil, false
	}
	m.To, m.Hint = st.Leader, forwardedHint
	return &m, false
}

// asksToJoin reports whether a host sends join requests: it is not a member, or it is a learner without a leader.
// The group may have removed a learner that was cut off. A voter would find out from its vote requests.
func asksToJoin(st *agreement.Status) bool {
	return !st.Membership.Contains(st.Self) || st.Leader == agreement.None && !st.Membership.IsVoter(st.Self)
}

// minVotersFor returns the smallest number of voters of which a majority survives the loss of the
// tolerated number of disks.
func minVotersFor(tolerated int) int { return 2*tolerated + 1 }

// targetVoters returns the number of voters for a group with the given number of live members: as
// many as possible, since a majority of all hosts then includes a majority of the voters. An even number
// tolerates that a host leaves for good and a disk is lost before the group has replaced the host; it
// accepts no changes while it is cut into halves.
func targetVoters(live, tolerated int) int {
	return min(maxVoters, max(live, minVoters, minVotersFor(tolerated)))
}

// canLeave reports whether a voter can be removed from the group: enough other members remain to be
// voters.
func canLeave(members agreement.Membership, self agreement.Replica, tolerated int) bool {
	return members.IsVoter(self) && len(members)-1 >= max(minVoters, minVotersFor(tolerated))
}

// nextChange returns the next membership change, if one is needed: learners that have caught up
// become voters while voters are missing, silent or leaving, and a voter that is silent or leaving is
// removed once there are more voters than needed. Of several the longest silent one goes first.
func nextChange(members []memberView, tolerated int) (agreement.Change, bool) {
	live, voters, liveVoters := 0, 0, 0
	var lostVoter, silentLearner, caughtUpLearner *memberView
	for i := range members {
		m := &members[i]
		isLive := m.silentFor < replaceVoterAfter && !m.Leaving
		if m.Voter {
			voters++
		}
		switch {
		case isLive && m.Voter:
			live++
			liveVoters++
		case isLive:
			live++
			if m.CaughtUp && caughtUpLearner == nil {
				caughtUpLearner = m
			}
		case m.Voter:
			if lostVoter == nil || m.silentFor > lostVoter.silentFor {
				lostVoter = m
			}
		case m.silentFor > removeLearnerAfter:
			silentLearner = m
		}
	}
	target := targetVoters(live, tolerated)
	switch {
	case caughtUpLearner != nil && liveVoters < target:
		return agreement.Change{Kind: agreement.Promote, Replica: caughtUpLearner.Replica}, true
	case lostVoter != nil && voters > target:
		return agreement.Change{Kind: agreement.Remove, Replica: lostVoter.Replica}, true
	case silentLearner != nil:
		return agreement.Change{Kind: agreement.Remove, Replica: silentLearner.Replica}, true
	}
	return agreement.Change{}, false
}
