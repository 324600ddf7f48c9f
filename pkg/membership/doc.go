// Package membership is the failure detector and member list of a daemon.
//
// It follows SWIM: each period a daemon probes one member of its data centre, then asks a few
// others to probe it indirectly, then suspects it; a suspect that does not refute the suspicion
// in time is dead. State changes ride on probe messages and are retransmitted a number of times
// that grows with the logarithm of the members. Members of other data centres are known through
// digests that a few members of each data centre, its bridges, exchange; only data centres with
// very few members are probed from outside.
//
// What is known about a member is ordered by incarnation, revision and state; the larger one
// wins. Only a member itself increases its incarnation and revision.
package membership
