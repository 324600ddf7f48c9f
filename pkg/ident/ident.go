// Package ident defines the identifiers in tokens and messages, with a type for each.
package ident

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// ServiceID identifies a service; it is derived from "user/service".
type ServiceID uint64

// UpstreamID identifies an upstream of one service.
type UpstreamID uint64

// DaemonID identifies a daemon; it is derived from the daemon's name.
type DaemonID uint64

// DataCentreID identifies a data centre; it is derived from its name.
type DataCentreID uint32

// FlowID is the random number that a caller assigns to its flow.
type FlowID uint64

// RequestID identifies a request of one flow; ids increase.
type RequestID uint64

// Incarnation distinguishes successive processes of one daemon or upstream; a later process has a
// larger number.
type Incarnation uint64

// Service returns the identifier of a user's service.
func Service(user, service string) ServiceID {
	return ServiceID(xxhash.Sum64String(user + "/" + service))
}

// ServiceByName returns the identifier of a service given as "user/service".
func ServiceByName(name string) ServiceID {
	return ServiceID(xxhash.Sum64String(name))
}

// Upstream returns the identifier of an upstream from its service ("user/service"), data centre and
// name.
func Upstream(service, dataCentre, name string) UpstreamID {
	return UpstreamID(xxhash.Sum64String(service + "/" + dataCentre + "/" + name))
}

// Daemon returns the identifier of a daemon from its name.
func Daemon(name string) DaemonID {
	return DaemonID(xxhash.Sum64String(name))
}

// DataCentre returns the identifier of a data centre from its name.
func DataCentre(name string) DataCentreID {
	return DataCentreID(xxhash.Sum64String(name))
}

// String returns the identifier in hexadecimal, as logs show it.
func (u UpstreamID) String() string { return strconv.FormatUint(uint64(u), 16) }

// String returns the identifier in hexadecimal, as logs show it.
func (d DaemonID) String() string { return strconv.FormatUint(uint64(d), 16) }

// String returns the identifier in hexadecimal, as logs show it.
func (s ServiceID) String() string { return strconv.FormatUint(uint64(s), 16) }

// String returns the identifier in hexadecimal, as logs show it.
func (f FlowID) String() string { return strconv.FormatUint(uint64(f), 16) }
