// Package totals counts, for each user, service and reason, the flows carried, the flows
// broken and the requests refused on each day.
//
// A daemon counts in an Accumulator and reports the cumulative values of its incarnation. A
// replica merges them in a Book by keeping the maximum, so a report that is sent twice, late or
// to two replicas counts once.
//
// The counters are not in the replicated log, since taking a maximum needs no order. In the log,
// 18,000 daemons with 30 counters and one report a minute would cost each replica 203 KB/s, even
// if a replica batched the reports of a minute into one entry. Instead, the replica that received
// a report copies its counters to a few others (Holders), and a query collects the counters of
// all replicas and merges them. Each replica stores the counters of every incarnation separately:
// sums of different replicas could not be merged, since a daemon may report to several replicas.
//
// Two kinds of counts are lost: counts after the last report of a daemon that crashes, and
// counters of a daemon with more than MaxIncarnations a day.
package totals
