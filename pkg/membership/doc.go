// Package membership is the failure detector and member list of a daemon.
//
// It follows SWIM: in each period a daemon probes one member of its data centre; if there is no
// acknowledgement, it has a few others probe that member indirectly, and then suspects it. A
// suspect that does not refute the suspicion in time is declared dead. State changes are
// piggybacked on probe messages and retransmitted a number of times that grows with the logarithm
// of the number of members. Members of other data centres are listed through digests that a few
// members of each data centre, its bridges, exchange; only data centres with very few members are
// probed from outside.
//
// The entries of a member are ordered by incarnation, revision and state; the larger one
// prevails. Only a member itself increases its incarnation and revision.
package membership
