package peers

import (
	"time"

	"github.com/poststand/poststand/mirror"
	"github.com/poststand/poststand/quarantine"
	"github.com/poststand/poststand/wire"
)

// Member is a gateway.
type Member struct {
	Name string
	Addr string // IP and port for other processes.
	Hall string
}

// Announcement says who is there and what it knows. It is answered by another one.
type Announcement struct {
	From  Member
	At    mirror.Position // The sender holds every published change up to it.
	Known []KnownMember   // Some of the gateways that the sender heard of lately; in some announcements only.
	// Watching says that the sender watches the platform itself and is answered.
	Watching bool
	// CurrentAge is how long ago At was last known to be the newest revision, by whatever
	// the sender has heard.
	CurrentAge time.Duration
	// CompleteAge is how long ago at the most the sender still lacked something; see
	// Follower.CompleteAsOf.
	CompleteAge time.Duration
	ChangeAges  []ChangeAge // Of late changes that times are counted from.
	// Suspects are requests under which replicas ended, as far as the receiver may not know
	// of them.
	Suspects       []quarantine.Report
	SuspectsDigest uint64 // See quarantine.Table.Digest.
}

// ChangeAge is how long ago, at the most, a change was made.
type ChangeAge struct {
	Key    string
	Rev    mirror.Position
	Age    time.Duration // Of the change itself,
	GapAge time.Duration // and of any before it that the sender has not seen: read by builds that took it for any that they had not seen.
}

// KnownMember is a gateway that somebody heard of.
type KnownMember struct {
	Member
	Age      time.Duration // Since the last sign of it, when the message was sent.
	Watching bool          // By that sign.
}

// Pull asks for what was published after a position.
type Pull struct{ Since mirror.Position }

// Records answers a Pull, or passes changes on unasked.
type Records struct {
	Delta mirror.Delta
	// Ages tells of each record of Delta how long ago its change may have been made
	// at the most. Clocks differ, so times travel as ages.
	Ages []time.Duration
	// Histories are of those records of Delta that remember the changes before them.
	Histories []History
	// Onward asks a receiver in another hall to pass the changes on within its own.
	Onward bool
}

// History tells of a record how long ago, at the most, changes before it may have been made.
type History struct {
	Record      int             // Its place in Delta.
	GapAges     []time.Duration // Of any change that the sender has not seen: before each of Earlier, and last before the record.
	EarlierAges []time.Duration // Of each of the record's Earlier.
}

// Subscribe asks for what concerns the replicas of a service: an Assignment now,
// and another at each change.
type Subscribe struct {
	Service string
	Addr    string // Of the replica that the agent looks after.
	// Quarantined are requests that gateways have told the agent of. If all gateways are
	// killed at once, those that start know of them by agents alone.
	Quarantined []quarantine.Report
}

// Replica is a replica of the same service.
type Replica struct {
	Addr    string // IP and port for requests; its agent is at the same IP.
	Hall    string
	Version uint64 // That it was last known to hold whole.
	Leaving bool
}

// Step is one naming of a version. Clocks differ, so it travels as an age.
type Step struct {
	Named   time.Time `msgpack:"-"` // By the sender's clock.
	Version uint64
	Age     time.Duration // By the sender's clock, when it sent the message.
}

// Assignment is all that an agent needs to know.
type Assignment struct {
	At           mirror.Position // Of the published records.
	Model        string
	Version      uint64  // To be brought to the replica.
	Steps        []Step  // How it came to be named, the oldest first.
	Origin       string  // IP and port of the origin of weights.
	OriginRate   float64 // Bytes a second of the origin's link.
	VersionBytes int     // Of a whole version.
	Replicas     []Replica
	Gateways     []Member            // That the agent may ask, and tell how its replica stands.
	Quarantined  []quarantine.Report // To be kept for gateways that start.
	// ReportTargets is how many of Gateways the agent tells: the first ones that answer. Zero
	// is all.
	ReportTargets int
}

// Status is how a replica stands, told by its agent.
type Status struct {
	Addr    string // Of the replica.
	Hall    string
	Model   string
	Version uint64 // That it holds whole; 0 for none.
	// Changing says that the replica is about to take another version and should
	// be given nothing that is new.
	Changing bool
	// ChangeIn is how long until then, or 0 where it is not known: what is given to
	// the replica should have ended by then.
	ChangeIn      time.Duration
	Reached       bool // The replica answered its agent.
	Queued        int
	Running       int
	UsedTokens    int     // Tokens of contexts in its memory,
	TotalTokens   int     // and how many fit.
	Pace          float64 // Above 1 it works slower than it should.
	SlowLink      bool    // The box's link has been slower than it should be of late.
	MissingChunks int     // Pieces of the assigned version that are not here yet.
	Forward       bool    // The agent tells only a few gateways: this one is to tell the others.
}

// OnlyLoadDiffers reports whether two statuses differ in nothing but how much the
// replica has to do.
func (s *Status) OnlyLoadDiffers(o *Status) bool {
	return s.Version == o.Version && s.Changing == o.Changing && s.Reached == o.Reached && s.SlowLink == o.SlowLink && (s.ChangeIn == 0) == (o.ChangeIn == 0)
}

// Report is how a replica stood when its agent told a gateway of it.
type Report struct {
	Addr            string
	Version         uint64
	Changing        bool
	ChangeIn        time.Duration // From when the message was sent, or 0 where it is not known.
	Queued          int
	Running         int
	Pace            float64
	FetchingWeights bool // Weights are on their way to its box.
	SlowLink        bool
	Age             time.Duration // Since the agent told, when the message was sent.
}

// Reports passes on how replicas stand, from a gateway that their agents tell to one
// that they do not.
type Reports struct {
	Replicas []Report
	// ForwardInHall says that the replicas are of another hall, and that the receiver is to
	// tell the gateways of its own hall of them.
	ForwardInHall bool
}

// Messages registers this package's messages.
var Messages = []wire.Entry{
	{Kind: 96, Message: &Announcement{}, Compress: true},
	{Kind: 97, Message: &Pull{}},
	{Kind: 98, Message: &Records{}, Compress: true},
	{Kind: 99, Message: &Subscribe{}},
	{Kind: 100, Message: &Assignment{}, Compress: true},
	{Kind: 101, Message: &Status{}},
	{Kind: 102, Message: &Reports{}, Compress: true},
	{Kind: 103, Message: &PermitRequest{}, ByName: true},
	{Kind: 104, Message: &Permit{}, ByName: true},
	{Kind: 105, Message: &ReplicaLimits{}, ByName: true},
	{Kind: 106, Message: &ReplicaEnds{}, ByName: true},
	{Kind: 107, Message: &Capabilities{}, ByName: true},
	{Kind: 108, Message: &HeldKeys{}, ByName: true},
	{Kind: 109, Message: &HeldRequest{}, ByName: true},
	{Kind: 110, Message: &HeldRecords{}, ByName: true, Compress: true},
}
