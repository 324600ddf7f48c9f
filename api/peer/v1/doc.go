// Package peerpb holds the datagrams and the gRPC service between daemons.
package peerpb
