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

// States of a member. A suspect is a serving member that has not answered probes; it keeps
// what it owns until it is confirmed dead.
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
	// Revision counts what the member said about itself within its incarnation: changes of
	// state and refutations of suspicions. A refutation leaves Incarnation alone because
	// flow tokens name the owner's incarnation.
	Revision uint32
	State    State
	PeerAddr netip.AddrPort // datagram socket
	GRPCAddr netip.AddrPort // gRPC server
}

// View is an immutable list of members, sorted by ID.
type View struct {
	Version uint64 // local to the daemon, increasing
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

// Config holds the parameters of the failure detector. Zero fields get defaults.
type Config struct {
	Seeds       []netip.AddrPort // peer addresses to join through
	ProbePeriod time.Duration    // default 200 ms
	AckTimeout  time.Duration    // until indirect probes are sent; default 80 ms
	Suspicion   time.Duration    // from suspicion to death; default 750 ms
	Indirect    int              // members asked to probe indirectly; default 3
	BridgeEvery time.Duration    // digests between data centres; default 1 s
	SyncEvery   time.Duration    // digests within the data centre; default 10 s
	JoinTimeout time.Duration    // until a daemon that reaches nobody is joined alone; default 3 s
	ForgetAfter time.Duration    // a dead member leaves the view; default 5 min
	// TombstoneAge is how long the incarnation of a forgotten member is remembered, so that
	// a stale message cannot bring it back; default 24 h.
	TombstoneAge time.Duration
	// AttachmentBudget is the largest attachment of one message in bytes; default 1000.
	AttachmentBudget int
	// Attachment, when set, returns the attachment of a message to the given member, at most
	// budget bytes. It is called within Step. It may return nil.
	Attachment func(now time.Time, to Member, budget int) []byte
}

// Event is an input of the core.
type Event interface{ event() }

// Tick lets time pass; the runner delivers one at least every 20 ms.
type Tick struct{}

// Received is a membership message whose MAC has been verified.
type Received struct {
	From    netip.AddrPort
	Message *peerpb.Membership
}

// Serve makes a joined daemon serving.
type Serve struct{}

// Leave makes the daemon leaving; it owns nothing from then on.
type Leave struct{}

// Stop announces that the daemon exits; its members list it dead without suspicion.
type Stop struct{}

// Carry sends an attachment to one member at once.
type Carry struct {
	To   ident.DaemonID
	Data []byte // at most MaxAttachmentSize bytes
}

// Spread sends pending updates and attachments to a few members at once.
type Spread struct{}

func (Tick) event()     {}
func (Received) event() {}
func (Serve) event()    {}
func (Leave) event()    {}
func (Stop) event()     {}
func (Carry) event()    {}
func (Spread) event()   {}

// Action is an output of the core.
type Action interface{ action() }

// Send asks the runner to send a message, at most MaxMessageSize bytes encoded.
type Send struct {
	To      netip.AddrPort
	Message *peerpb.Membership
}

// ViewChanged carries the new view.
type ViewChanged struct{ View *View }

// Joined reports that the daemon's list agrees with a peer's; Alone when no peer answered.
type Joined struct{ Alone bool }

// IncarnationRaised reports that peers knew a larger incarnation of this daemon, for instance
// because its clock went back; the daemon uses the given one from now on. It comes before Joined.
type IncarnationRaised struct{ Incarnation ident.Incarnation }

// Superseded reports that another process with this daemon's name and a larger incarnation
// exists although this one is serving; the daemon has to stop.
type Superseded struct{ Incarnation ident.Incarnation }

// Attached carries the attachment of a received message.
type Attached struct {
	From ident.DaemonID
	Data []byte
}

func (Send) action()              {}
func (ViewChanged) action()       {}
func (Joined) action()            {}
func (IncarnationRaised) action() {}
func (Superseded) action()        {}
func (Attached) action()          {}
