// Package entrypb holds what control hosts send to entry daemons and to each other: routing tables
// and registrations of upstreams.
package entrypb
