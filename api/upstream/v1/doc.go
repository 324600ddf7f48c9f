// Package upstreampb holds the gRPC services between owner daemons and upstreams.
package upstreampb
