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
	// fewestVoters is the size of the smallest group that tolerates the loss of one voter.
	fewestVoters = 3
	// mostVoters bounds the copies that each change is synced to.
	mostVoters = 7
)

// memberView is what the leader knows of a member when it decides on changes.
type memberView struct {
	agreement.MemberStatus
	silent time.Duration // since the member last answered
}

// votersFor returns the fewest voters of which a majority survives the loss of so many disks.
func votersFor(tolerated int) int { return max(fewestVoters, 2*tolerated+1) }

// wantedVoters returns how many voters a group with so many live members has: as many as possible,
// since a majority of all hosts then holds a majority of the voters, and an odd number, since an even
// one tolerates no more losses.
func wantedVoters(live, tolerated int) int {
	odd := live - 1 + live%2
	return min(mostVoters, max(odd, votersFor(tolerated)))
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
