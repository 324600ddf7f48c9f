// Package registration keeps the leases of upstreams and spreads registrations.
//
// The owner of an upstream holds its lease. Other daemons keep a copy for as long as the owner
// is in their view, which the failure detector vouches for: a vouching message of every owner
// each second would cost each of 640 daemons over 12 KB/s. When the owner changes, the new owner
// continues from its copy and starts a lease on its own clock. A daemon that is cut off
// from the others therefore becomes the owner of all copies and drops them after one lease.
package registration
