// Package events defines the numbered log events. docs/EVENTS.md lists them all.
package events

import (
	"slices"

	"github.com/sirupsen/logrus"
)

// Event is one kind of log event. Numbers are never reused.
type Event struct {
	Number  int
	Level   logrus.Level
	Message string
	// Action tells the operator what to do; empty when nothing needs to be done.
	Action string
}

var all []Event

func add(e Event) Event {
	all = append(all, e)
	return e
}

// All returns every event in the order of the numbers.
func All() []Event {
	return slices.SortedFunc(slices.Values(all), func(a, b Event) int { return a.Number - b.Number })
}

// Log writes the event with its fields.
func (e Event) Log(log logrus.FieldLogger, fields logrus.Fields) {
	entry := log.WithFields(fields).WithField("event", e.Number)
	switch e.Level {
	case logrus.ErrorLevel:
		entry.Error(e.Message)
	case logrus.WarnLevel:
		entry.Warn(e.Message)
	case logrus.DebugLevel:
		entry.Debug(e.Message)
	default:
		entry.Info(e.Message)
	}
}

// Numbers 1000-1999 are the daemon's life, 2000-2999 the data path, 3000-3999 membership
// and registration, 4000-4999 configuration and agreement, 5000-5999 storage.
var (
	DaemonStarted        = add(Event{1001, logrus.InfoLevel, "daemon started", ""})
	DaemonStopping       = add(Event{1002, logrus.InfoLevel, "daemon is stopping", ""})
	DaemonStopped        = add(Event{1003, logrus.InfoLevel, "daemon stopped", ""})
	ComponentFailed      = add(Event{1004, logrus.ErrorLevel, "component failed", "read the error field; the daemon stops and has to be started again"})
	UpstreamConnected    = add(Event{2001, logrus.InfoLevel, "upstream connected", ""})
	UpstreamDisconnected = add(Event{2002, logrus.WarnLevel, "upstream disconnected", "check the upstream if it does not come back"})
	HandoverStarted      = add(Event{2003, logrus.InfoLevel, "handover started", ""})
	HandoverFinished     = add(Event{2004, logrus.InfoLevel, "handover finished", ""})
	HandoverFailed       = add(Event{2005, logrus.WarnLevel, "handover failed; it is tried again", "check the connection between the two daemons"})
	SocketFailed         = add(Event{2006, logrus.ErrorLevel, "service socket cannot be opened", "free the port or change the service's port"})
	MemberChanged        = add(Event{3001, logrus.InfoLevel, "member changed state", ""})
	UpstreamRegistered   = add(Event{3002, logrus.InfoLevel, "upstream registered", ""})
	UpstreamLeft         = add(Event{3003, logrus.InfoLevel, "upstream left", ""})
	LeaseExpired         = add(Event{3004, logrus.WarnLevel, "upstream lease expired", "check that the upstream still runs and reaches a daemon"})
	ConfigInForce        = add(Event{4001, logrus.InfoLevel, "configuration in force", ""})
	ConfigRefused        = add(Event{4002, logrus.WarnLevel, "configuration refused", "read the error field and correct the folder"})
)
