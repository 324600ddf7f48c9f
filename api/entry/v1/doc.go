// Package entrypb holds the messages and gRPC services with which control hosts send routing tables and
// registrations of upstreams to entry daemons and to each other.
package entrypb
