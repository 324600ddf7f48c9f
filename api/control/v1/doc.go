// Package controlpb holds the messages and gRPC services of the control plane.
package controlpb
