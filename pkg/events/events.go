// Package events defines the numbered events of the log. docs/EVENTS.md lists them.
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
	// Action is what the operator should do, or empty if nothing needs to be done.
	Action string
}

var allEvents []Event

func add(e Event) Event {
	allEvents = append(allEvents, e)
	return e
}

// All returns all events, sorted by number.
func All() []Event {
	return slices.SortedFunc(slices.Values(allEvents), func(a, b Event) int { return a.Number - b.Number })
}

// Log writes a log line with the number and the message of the event and the given fields.
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

// Numbers 1000-1999 are events of the daemon's lifecycle, 2000-2999 of the data path, 3000-3999 of
// membership and registration, 4000-4999 of configuration and agreement, 5000-5999 of storage.
var (
	DaemonStarted            = add(Event{1001, logrus.InfoLevel, "daemon started", ""})
	DaemonStopping           = add(Event{1002, logrus.InfoLevel, "daemon is stopping", ""})
	DaemonStopped            = add(Event{1003, logrus.InfoLevel, "daemon stopped", ""})
	ComponentFailed          = add(Event{1004, logrus.ErrorLevel, "component failed", "read the error field; the daemon stops and has to be started again"})
	DaemonReady              = add(Event{1005, logrus.InfoLevel, "daemon is ready for flows", ""})
	SettingsReloaded         = add(Event{1006, logrus.InfoLevel, "settings reloaded", ""})
	SettingsRefused          = add(Event{1007, logrus.ErrorLevel, "changed settings are invalid; the previous settings stay in effect", "read the error field and correct the settings file"})
	MetricsFailed            = add(Event{1008, logrus.WarnLevel, "metrics cannot be served; the process runs without them", "free the port or change --metrics-port"})
	UpstreamSuspected        = add(Event{2009, logrus.WarnLevel, "upstream has not answered packets; it gets fewer new flows for 2 s", "check the upstream, and the connections to it, if it repeats"})
	FlowPlaced               = add(Event{2007, logrus.InfoLevel, "flow placed on an upstream", ""})
	FlowRefused              = add(Event{2008, logrus.WarnLevel, "packet of a flow refused or dropped", "the reason field says why; see docs/OPERATIONS.md"})
	ServiceOverloaded        = add(Event{2010, logrus.WarnLevel, "upstreams of a service reject requests; new flows are refused, the least urgent first", "add upstreams if it repeats"})
	ServiceRelieved          = add(Event{2011, logrus.InfoLevel, "new flows of a service are no longer refused", ""})
	LinkOverloaded           = add(Event{2020, logrus.WarnLevel, "link of this host cannot carry all flows; new flows are refused, the least urgent first", "add entry hosts or bandwidth if it repeats"})
	LinkRelieved             = add(Event{2021, logrus.InfoLevel, "new flows are no longer refused for lack of room on the link", ""})
	ColdUpstreamsUsed        = add(Event{2030, logrus.InfoLevel, "other upstreams of a service have no room; the daemon places flows on the cold ones that it sponsors", ""})
	ColdUpstreamsRefused     = add(Event{2031, logrus.WarnLevel, "service has only cold upstreams; new flows are refused until they are warm", "bring the upstreams of a service back in parts"})
	ServiceWarm              = add(Event{2032, logrus.InfoLevel, "cold upstreams of a service no longer affect new flows", ""})
	OutageDetected           = add(Event{2033, logrus.WarnLevel, "upstreams of a service in a data centre answer no handshakes; new flows go elsewhere, one a second probes them", "check the upstreams, and the connections to them"})
	OutageEnded              = add(Event{2034, logrus.InfoLevel, "upstreams of a service in a data centre answer handshakes again", ""})
	UpstreamConnected        = add(Event{2001, logrus.InfoLevel, "upstream connected", ""})
	UpstreamDisconnected     = add(Event{2002, logrus.WarnLevel, "upstream disconnected", "check the upstream if it does not come back"})
	HandoverStarted          = add(Event{2003, logrus.InfoLevel, "handover started", ""})
	HandoverFinished         = add(Event{2004, logrus.InfoLevel, "handover finished", ""})
	HandoverFailed           = add(Event{2005, logrus.WarnLevel, "handover failed; it is retried", "check the connection between the two daemons"})
	SocketFailed             = add(Event{2006, logrus.ErrorLevel, "service socket cannot be opened", "free the port or change the service's port"})
	MemberChanged            = add(Event{3001, logrus.InfoLevel, "member changed state", ""})
	UpstreamRegistered       = add(Event{3002, logrus.InfoLevel, "upstream registered", ""})
	UpstreamLeft             = add(Event{3003, logrus.InfoLevel, "upstream left", ""})
	UpstreamExited           = add(Event{3013, logrus.InfoLevel, "upstream exited after its deregistration", ""})
	UpstreamSilent           = add(Event{3004, logrus.WarnLevel, "upstream has not announced itself in time", "check the upstream, and its connections to the control hosts"})
	AnnouncementProcessed    = add(Event{3005, logrus.InfoLevel, "announcement of an upstream changed its registration or was refused", ""})
	RegistrationChanged      = add(Event{3009, logrus.InfoLevel, "registration of an upstream changed at an entry daemon", ""})
	DirectorySettled         = add(Event{3006, logrus.InfoLevel, "every live upstream has had time to announce itself", ""})
	SharingStarted           = add(Event{3007, logrus.InfoLevel, "sharing of announcements with a control host started", ""})
	SharingEnded             = add(Event{3008, logrus.WarnLevel, "sharing of announcements with a control host ended; it is retried", "check the control host if it does not start again"})
	RegistrationsNotSaved    = add(Event{3010, logrus.WarnLevel, "registrations cannot be written to the disk; the write is retried", "check the disk of the data folder"})
	RegistrationsRestored    = add(Event{3011, logrus.InfoLevel, "registrations of the previous process were read from the disk", ""})
	RegistrationsNotRestored = add(Event{3012, logrus.WarnLevel, "registrations of the previous process cannot be read; upstreams announce themselves again", "check the disk of the data folder"})
	AnnouncementRefused      = add(Event{3015, logrus.WarnLevel, "announcement of an upstream refused because of its content", "read the error field and correct the process that sends it"})
	DaemonsNotified          = add(Event{3016, logrus.InfoLevel, "control host told the entry daemons that it has started", ""})
	NotificationFailed       = add(Event{3017, logrus.WarnLevel, "entry daemons cannot be told that a control host has started; they find it by themselves", "free a UDP port of the host"})
	NotifyAddressRefused     = add(Event{3018, logrus.WarnLevel, "address of an entry daemon for notifications is invalid and ignored", "check the release of the entry daemon"})
	HostStartReceived        = add(Event{3019, logrus.InfoLevel, "entry daemon was told that a control host has started", ""})
	SnapshotNotPacked        = add(Event{3020, logrus.WarnLevel, "snapshot for an entry daemon cannot be compressed and is sent as it is", "report the error field"})
	RegistrationNotEncoded   = add(Event{3021, logrus.WarnLevel, "registration cannot be encoded; it is left out of messages and files", "correct the writer that announces this upstream; the error names the field"})
	ArrivalTimesUnknown      = add(Event{2022, logrus.WarnLevel, "the system does not tell when packets arrived; SYNs that waited while the daemon was stopped count as new", "use a kernel with SO_TIMESTAMPNS"})
	RegistrationUnverified   = add(Event{3022, logrus.InfoLevel, "registration waits for a configuration that declares its service", ""})
	RegistrationsReceived    = add(Event{3014, logrus.InfoLevel, "entry daemon received many changed registrations at once", ""})
	ConfigInForce            = add(Event{4001, logrus.InfoLevel, "configuration in force", ""})
	ConfigRefused            = add(Event{4002, logrus.WarnLevel, "configuration refused", "read the error field and correct the folder"})
	ReplicaWithoutState      = add(Event{4003, logrus.InfoLevel, "replica has no state and asks the other replicas which group they belong to", "start all replicas of control.replicas if this is the first start"})
	GroupFounded             = add(Event{4004, logrus.InfoLevel, "replica group founded", ""})
	ReplicaJoining           = add(Event{4005, logrus.WarnLevel, "replica joins the group as a learner without state", "check the disk if the replica had a data folder before"})
	ReplicaListsDiffer       = add(Event{4006, logrus.WarnLevel, "replica lists of two hosts differ", "make control.replicas equal on all replicas"})
	ReplicaFailed            = add(Event{4007, logrus.ErrorLevel, "replica failed; it reopens its data folder", "read the error field, which names the remedy"})
	ReplicaSuperseded        = add(Event{4008, logrus.ErrorLevel, "the group has a later incarnation of this replica", "remove the folder agreement in the data folder and start the daemon again"})
	LeaderChanged            = add(Event{4009, logrus.InfoLevel, "replica gained or lost the leadership", ""})
	MessageRefused           = add(Event{4010, logrus.WarnLevel, "message of a replica refused", "read the error field, which names the remedy"})
	SystemChangeFailed       = add(Event{4011, logrus.WarnLevel, "change made by the replicas themselves failed; it is retried", "check the connections between the replicas if it repeats"})
	TotalsNotSaved           = add(Event{4012, logrus.WarnLevel, "totals cannot be written to the disk", "check the disk of the data folder"})
	WatchStarted             = add(Event{4013, logrus.InfoLevel, "watch of a replica started", ""})
	WatchEnded               = add(Event{4014, logrus.WarnLevel, "watch of a replica ended; another replica is tried", "check the replica if no watch starts again"})
	UpdateRefused            = add(Event{4015, logrus.WarnLevel, "configuration update refused", "read the error field, which names the remedy"})
	CopyNotSaved             = add(Event{4016, logrus.WarnLevel, "accepted configuration cannot be written to the disk", "check the disk of the data folder"})
	CopyUnusable             = add(Event{4017, logrus.WarnLevel, "stored copy of the configuration cannot be used", "read the error field; the daemon fetches the configuration from a replica"})
	ReplicaRemoved           = add(Event{4020, logrus.WarnLevel, "the group has removed this replica; its files stay and daemons get no changes from it", "set control.replica to false, or stop the daemon and remove the folder agreement before it joins again; see docs/operators/configuration.md"})
	ConfigReplacedByRecovery = add(Event{4021, logrus.WarnLevel, "configuration of a recovered replica group replaces the previous one", "if changes are missing, compare the accepted folder with the copy that the log line names"})
	GroupsDiffer             = add(Event{4022, logrus.ErrorLevel, "replica has no leader, and another replica belongs to another group", "if the replicas were recovered from one copy, stop this daemon, remove the folder agreement in its data folder and start it again; its files belong to the previous group"})
	LeadershipNotTransferred = add(Event{4019, logrus.WarnLevel, "leadership was not transferred before the stop", ""})
	TotalsUnreadable         = add(Event{4023, logrus.ErrorLevel, "totals on the disk cannot be read", "read the error field, which names the remedy"})
	LogOpened                = add(Event{4024, logrus.InfoLevel, "control host opened its log", ""})
	ContactLearned           = add(Event{4037, logrus.InfoLevel, "control host heard from another one that it can ask to join the group", ""})
	JoinRequested            = add(Event{4025, logrus.InfoLevel, "control host asked to join the group", ""})
	MembershipChangeProposed = add(Event{4026, logrus.InfoLevel, "membership change proposed", ""})
	DocumentAccepted         = add(Event{4027, logrus.InfoLevel, "configuration accepted by a majority", ""})
	GroupLeaderChanged       = add(Event{4028, logrus.InfoLevel, "leader of the group changed", "check the connections between the control hosts if it repeats"})
	ConfigSubmissionAnswered = add(Event{4029, logrus.InfoLevel, "request of an operator to change the configuration answered", ""})
	ConfigReadAnswered       = add(Event{4030, logrus.InfoLevel, "request to read the configuration answered", ""})
	GroupLeft                = add(Event{4031, logrus.InfoLevel, "control host that stops has left the voters of the group", ""})
	GroupNotLeft             = add(Event{4032, logrus.InfoLevel, "control host stops without leaving the voters of the group", "add another control host if this one does not come back"})
	EvacuationOrderAnswered  = add(Event{4033, logrus.InfoLevel, "order of an operator for an evacuation answered", ""})
	EvacuationBegan          = add(Event{4034, logrus.InfoLevel, "evacuation of a data centre is in force: its upstreams get no new flows", ""})
	EvacuationEnded          = add(Event{4035, logrus.InfoLevel, "evacuation of a data centre has ended", ""})
	ServiceEvacuated         = add(Event{4036, logrus.WarnLevel, "all upstreams of a service are in evacuated data centres; its new flows are refused", "end an evacuation, or start upstreams of the service in another data centre"})
	CountersDropped          = add(Event{4018, logrus.WarnLevel, "daily counters were dropped before they were reported", "repair the connection to the control replicas"})
)
