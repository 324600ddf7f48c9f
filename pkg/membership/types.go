package membership

import (
	"net/netip"
	"sort"
	"time"

	"rosemarygate/api/peer/v1"
	"rosemarygate/pkg/ident"
)

// State is a member's state in a view.
type State uint8

// States of a member. A suspect is a serving member that has not answered probes; it keeps its
// ownership until it is declared dead.
const (
	Joining State = iota + 1
	Serving
	Leaving
	Suspect
	Dead
)

var stateNames = [...]string{"unknown", "joining", "serving", "leaving", "suspect", "dead"}

// String returns the state as logs show it.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return stateNames[0]
	}
	return stateNames[s]
}

// Member is one daemon.
type Member struct {
	ID          ident.DaemonID
	Name        string
	DataCentre  string
	Incarnation ident.Incarnation
	// Revision counts the updates that the member published about itself within its incarnation:
	// changes of state and refutations of suspicions. A refutation does not change Incarnation
	// because flow tokens name the owner's incarnation.
	Revision uint32
	State    State
	PeerAddr netip.AddrPort // datagram socket
	GRPCAddr netip.AddrPort // gRPC server
}

// View is an immutable list of members, sorted by ID.
type View struct {
	Version uint64 // increases with each view of this daemon; not comparable between daemons
	Members []Member
}

// Find returns the member with the given identifier.
func (v *View) Find(id ident.DaemonID) (Member, bool) {
	i := sort.Search(len(v.Members), func(i int) bool { return v.Members[i].ID >= id })
	if i < len(v.Members) && v.Members[i].ID == id {
		return v.Members[i], true
	}
	return Member{}, false
}

// Config holds the parameters of the failure detector. Zero fields are replaced by their
// defaults.
type Config struct {
	Seeds            []netip.AddrPort // peer addresses through which the daemon joins
	ProbePeriod      time.Duration    // interval of probes; default 200 ms
	AckTimeout       time.Duration    // from a probe to its indirect probes; default 80 ms
	SuspicionTimeout time.Duration    // from suspicion to declared death; default 750 ms
	IndirectProbes   int              // members that probe indirectly; default 3
	BridgeEvery      time.Duration    // interval of digests between data centres; default 1 s
	SyncEvery        time.Duration    // mean interval of digests within the data centre; default 10 s
	JoinTimeout      time.Duration    // until a daemon that reaches no peer joins alone; default 1 s
	RetainFor        time.Duration    // until a dead member leaves the view; default 5 min
	// TombstoneAge is how long the incarnation of a dead member is stored, so that a stale
	// message cannot revive it; default 24 h.
	TombstoneAge time.Duration
	// AttachmentBudget is the largest attachment of one message in bytes; default 1000.
	AttachmentBudget int
	// Attachment, if set, returns the attachment of a message to the given member, at most budget
	// bytes. It is called within Step. It may return nil.
	Attachment func(now time.Time, to Member, budget int) []byte
}

// Event is an input of the core.
type Event interface{ event() }

// Tick advances the time; the runner delivers one at least every 20 ms.
type Tick struct{}

// Received is a membership message whose MAC has been verified.
type Received struct {
	From    netip.AddrPort
	Message *peerpb.Membership
}

// Serve changes the state of a joined daemon to Serving.
type Serve struct{}

// Leave changes the state of the daemon to Leaving; it owns nothing from then on.
type Leave struct{}

// Stop announces that the daemon exits; other members list it as dead without a suspicion.
type Stop struct{}

// SendAttachment sends an attachment to one member immediately.
type SendAttachment struct {
	To   ident.DaemonID
	Data []byte // at most MaxAttachmentSize bytes
}

// SpreadNow sends pending updates and attachments to a few members immediately.
type SpreadNow struct{}

func (Tick) event()           {}
func (Received) event()       {}
func (Serve) event()          {}
func (Leave) event()          {}
func (Stop) event()           {}
func (SendAttachment) event() {}
func (SpreadNow) event()      {}

// Action is an output of the core.
type Action interface{ action() }

// Send instructs the runner to send a message of at most MaxMessageSize encoded bytes.
type Send struct {
	To      netip.AddrPort
	Message *peerpb.Membership
}

// ViewChanged carries the new view.
type ViewChanged struct{ View *View }

// Joined reports that joining has ended, because the daemon's list agrees with that of a peer or
// after JoinTimeout. Alone is set if no peer answered.
type Joined struct{ Alone bool }

// IncarnationRaised reports that peers list a larger incarnation of this daemon, for instance
// because its clock went back. The daemon has to use the given one from now on. It comes before
// Joined.
type IncarnationRaised struct{ Incarnation ident.Incarnation }

// Superseded reports that there is another process with this daemon's name and a larger
// incarnation although this one is no longer joining; the daemon has to stop.
type Superseded struct{ Incarnation ident.Incarnation }

// AttachmentReceived carries the attachment of a received message.
type AttachmentReceived struct {
	From ident.DaemonID
	Data []byte
}

func (Send) action()               {}
func (ViewChanged) action()        {}
func (Joined) action()             {}
func (IncarnationRaised) action()  {}
func (Superseded) action()         {}
func (AttachmentReceived) action() {}
