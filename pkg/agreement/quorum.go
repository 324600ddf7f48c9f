package agreement

import (
	"cmp"
	"maps"
	"slices"

	"rosemarygate/pkg/ident"
)

// Quorums with lost copies
//
// A copy is lost for certain once a later incarnation of its replica exists. An even group of n voters
// needs n/2+1 of them, so it stops when half of them are gone, as after the loss of one disk while another
// voter has left for good. If d of those are known to be lost, a majority of the other n-d is enough,
// provided that it meets every majority of all n: (n/2+1) + ((n-d)/2+1) > n.
//
// Two replicas may know different losses, S and S2. Therefore a vote or an acknowledgement counts without
// the copies in S only if its sender stated that it knew S when it wrote it. Let Q be such a quorum for S
// and E one for S2. If Q has a member of S2 and E one of S, each of the two wrote after the other was lost,
// which is impossible. So one of them, say E, has no member of S; then Q and E are both without S, and
// their sizes make them meet. TestQuorumsIntersect checks this for all groups of up to seven voters.
//
// Groups of adjacent memberships have to meet as well. Until a change is committed, a decision needs a
// quorum of the membership before it and one of the membership after it. Of two voters before it one is
// enough, which every majority of three has: up to three voters decide by plain majorities, as a majority of
// those that are not lost is no smaller. Otherwise a group that lost its leader right after the promotion of
// the third voter would have to wait for it.

// statement is what a voter has said about a decision.
type statement struct {
	agrees bool
	lost   []Replica // latest copies that the voter knew to be lost when it agreed
}

// agreesWithout reports whether enough voters agree, given the copies that this replica knows to be lost.
func (m Membership) agreesWithout(lost []Replica, of func(Replica) statement) bool {
	var voters, lostVoters []Replica
	for _, member := range m {
		if !member.Voter {
			continue
		}
		voters = append(voters, member.Replica)
		if isLost(lost, member.Replica) {
			lostVoters = append(lostVoters, member.Replica)
		}
	}
	agreed, agreedWithout := 0, 0
	for _, v := range voters {
		s := of(v)
		if !s.agrees {
			continue
		}
		agreed++
		if !slices.Contains(lostVoters, v) && areLost(s.lost, lostVoters) {
			agreedWithout++
		}
	}
	if agreed > len(voters)/2 {
		return true
	}
	return isReducible(len(voters), len(lostVoters)) && agreedWithout > (len(voters)-len(lostVoters))/2
}

// isReducible reports whether a majority of the voters that are not lost meets every majority of all.
func isReducible(voters, lost int) bool {
	return lost > 0 && (voters/2+1)+((voters-lost)/2+1) > voters
}

// decidingMemberships returns the memberships of which a decision needs a quorum each.
func (n *Node) decidingMemberships() []Membership {
	all := n.log.memberships
	latest := all[len(all)-1]
	if latest.index > n.log.committed && len(all) > 1 && all[len(all)-2].membership.Voters() > 0 {
		return []Membership{all[len(all)-2].membership, latest.membership}
	}
	return []Membership{latest.membership}
}

// participants returns the members of the deciding memberships, as the latest one has them.
func (n *Node) participants() []Member {
	memberships := n.decidingMemberships()
	all := slices.Clone(memberships[len(memberships)-1])
	for _, m := range memberships[:len(memberships)-1] {
		for _, member := range m {
			if !slices.ContainsFunc(all, func(x Member) bool { return x.Replica == member.Replica }) {
				all = append(all, member)
			}
		}
	}
	return all
}

// isDecided reports whether a quorum of each deciding membership agrees.
func (n *Node) isDecided(of func(Replica) statement) bool {
	lost := n.knownLost()
	latest := n.membership()
	memberships := n.decidingMemberships()
	for i, m := range memberships {
		isPrevious := i < len(memberships)-1
		if isPrevious && m.Voters() == 2 && m.agreeing(of) > 0 {
			continue
		}
		if !m.agreesWithout(lost, of) {
			return false
		}
	}
	// The last copy of several does not decide alone: the operator may have recovered the group from another
	// one, whose new incarnation makes it look lost here.
	return latest.agreeing(of) >= min(2, latest.Voters())
}

// agreeing returns the number of voters that agree.
func (m Membership) agreeing(of func(Replica) statement) int {
	count := 0
	for _, member := range m {
		if member.Voter && of(member.Replica).agrees {
			count++
		}
	}
	return count
}

// recordIncarnation records that a replica exists. Earlier incarnations of a member are lost then.
func (n *Node) recordIncarnation(r Replica) {
	for _, m := range n.decidingMemberships() {
		if member, ok := m.Find(r.ID); ok && member.Replica.Incarnation < r.Incarnation {
			n.recordLost(Replica{ID: r.ID, Incarnation: r.Incarnation - 1})
		}
	}
}

// recordLost records that the copies of a replica up to its incarnation are lost.
func (n *Node) recordLost(lost ...Replica) {
	for _, r := range lost {
		if n.lost == nil {
			n.lost = map[ident.DaemonID]ident.Incarnation{}
		}
		n.lost[r.ID] = max(n.lost[r.ID], r.Incarnation)
	}
}

// knownLost returns the latest copy of each replica that is known to be lost, sorted.
func (n *Node) knownLost() []Replica {
	var lost []Replica
	for id, incarnation := range n.lost {
		lost = append(lost, Replica{id, incarnation})
	}
	slices.SortFunc(lost, func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
	return lost
}

// forgetReplaced forgets the losses of copies that are in no deciding membership. It runs between messages,
// so that a reply still states a loss that the request stated: the sender may lag behind in memberships.
func (n *Node) forgetReplaced() {
	maps.DeleteFunc(n.lost, func(id ident.DaemonID, incarnation ident.Incarnation) bool {
		return !slices.ContainsFunc(n.participants(), func(m Member) bool { return m.Replica.ID == id && m.Replica.Incarnation <= incarnation })
	})
}

// isLost reports whether a copy is among the lost ones.
func isLost(lost []Replica, r Replica) bool {
	return slices.ContainsFunc(lost, func(l Replica) bool { return l.ID == r.ID && l.Incarnation >= r.Incarnation })
}

func areLost(lost, copies []Replica) bool {
	return !slices.ContainsFunc(copies, func(r Replica) bool { return !isLost(lost, r) })
}

// statedProgress is the progress that a replica has confirmed together with the copies that it knew to be
// lost.
type statedProgress struct {
	lost  []Replica
	value uint64
}

func (p *statedProgress) record(lost []Replica, value uint64) {
	if !slices.Equal(p.lost, lost) {
		*p = statedProgress{lost: lost}
	}
	p.value = max(p.value, value)
}

// lostAt returns the copies that the replica knew to be lost when it confirmed a value.
func (p *statedProgress) lostAt(value uint64) []Replica {
	if p.value < value {
		return nil
	}
	return p.lost
}
