// Package registration keeps the leases of upstreams and disseminates registrations.
//
// The owner of an upstream holds its lease. Other daemons keep a copy for as long as the failure
// detector lists the owner in their view; a confirmation by every owner each second would cost
// each of 640 daemons over 12 KB/s. When the owner changes, the new owner continues from its copy
// and starts a lease on its own clock. A partitioned daemon therefore becomes the owner of all
// copies and drops them after one lease.
package registration
