// Package wirepb holds the datagrams between callers and entry daemons.
package wirepb
