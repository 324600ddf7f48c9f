package controlhost

import (
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/status"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/control/directory"
	"rosemarygate/pkg/events"
)

// encodeRegistrations returns the protobuf form of registrations. It leaves out those that cannot be
// encoded: one of them would keep all others of its message from the receiver.
func (h *Host) encodeRegistrations(registrations []directory.Registration, now time.Duration) []*entrypb.Registration {
	var encoded []*entrypb.Registration
	for i := range registrations {
		r := &registrations[i]
		if err := r.CheckText(); err != nil {
			h.count("registrations_not_encoded")
			h.logCall(events.RegistrationNotEncoded, logrus.Fields{"key": r.Key.String(), "born": r.StartUnixMs, "error": err})
			continue
		}
		encoded = append(encoded, r.Proto(now))
	}
	return encoded
}

// errorCode returns the gRPC code of the error that ended a stream, as a label.
func errorCode(err error) string {
	if errors.Is(err, errQueueFull) {
		return "QueueFull"
	}
	if code := status.FromContextError(err).Code(); code.String() != "Unknown" {
		return code.String()
	}
	return status.Code(err).String()
}
