package peers

import (
	"time"

	"github.com/poststand/poststand/mirror"
	"github.com/poststand/poststand/quarantine"
	"github.com/poststand/poststand/wire"
)

// Member identifies a gateway.
type Member struct {
	Name string
	Addr string // IP and port for other processes.
	Hall string
}

// Announcement identifies a gateway and the state of its mirror. It is answered by the
// receiver's own.
type Announcement struct {
	From  Member
	At    mirror.Position // The sender has every published change up to this position.
	Known []KnownMember   // Some of the gateways seen recently by the sender; only in some announcements.
	// Watching reports that the sender watches the platform itself, and its watch is answered.
	Watching bool
	// CurrentAge is how long ago At was last known to be the newest position, directly or from
	// peers.
	CurrentAge time.Duration
	// CompleteAge is the age of Follower.CompleteAsOf: the sender lacks no change that is
	// older.
	CompleteAge time.Duration
	ChangeAges  []ChangeAge // Ages of recent changes, for time limits that start with a change.
	// Suspects are requests during which replicas terminated and of which the receiver may
	// have no record.
	Suspects       []quarantine.Report
	SuspectsDigest uint64 // See quarantine.Table.Digest.
}

// ChangeAge is the greatest possible age of a change.
type ChangeAge struct {
	Key    string
	Rev    mirror.Position
	Age    time.Duration // Age of the change itself.
	GapAge time.Duration // Age of any earlier change that the sender has not seen. Only older builds read it, and apply it to any change that they have not seen.
}

// KnownMember is a gateway that the sender has seen, directly or through others.
type KnownMember struct {
	Member
	Age      time.Duration // Time since it was last seen, when the message was sent.
	Watching bool          // It watched the platform at that time.
}

// Pull requests the changes after a position.
type Pull struct{ Since mirror.Position }

// Records answers a Pull, or pushes changes unsolicited.
type Records struct {
	Delta mirror.Delta
	// Ages are the greatest possible ages of the changes in Delta, one for each record. Clocks
	// differ, so times travel as ages.
	Ages []time.Duration
	// Histories belong to those records of Delta that have earlier changes.
	Histories []History
	// ForwardInHall requests that a receiver in another hall forwards the changes within its own.
	ForwardInHall bool `msgpack:"Onward"`
}

// History holds the greatest possible ages of the changes before a record.
type History struct {
	Record      int             // Index in Delta.Records.
	GapAges     []time.Duration // Ages of any changes that the sender has not seen: one before each of Earlier, and the last before the record.
	EarlierAges []time.Duration // One age for each of the record's Earlier.
}

// Subscribe requests the Assignment for a replica of a service: one now, and another at each
// change.
type Subscribe struct {
	Service string
	Addr    string // Address of the agent's replica.
	// Quarantined are the requests whose quarantine gateways have sent to the agent. If all
	// gateways are killed at once, those that start learn the quarantine from agents alone.
	Quarantined []quarantine.Report
}

// Replica describes a replica of the same service.
type Replica struct {
	Addr    string // IP and port for requests; its agent is at the same IP.
	Hall    string
	Version uint64 // The version that it was last known to have complete.
	Leaving bool
}

// Step is one change of the target version. Clocks differ, so its time travels as an age.
type Step struct {
	Named   time.Time `msgpack:"-"` // Time of the change by the sender's clock.
	Version uint64
	Age     time.Duration // Age by the sender's clock, when it sent the message.
}

// Assignment is the configuration and state that the agent of a replica works from.
type Assignment struct {
	At           mirror.Position // Position of the published records.
	Model        string
	Version      uint64  // The version to load.
	Steps        []Step  // Changes of the target version that led to Version, the oldest first.
	Origin       string  // IP and port of the origin of weights.
	OriginRate   float64 // Rate of the origin's link in bytes a second.
	VersionBytes int     // Size of a complete version.
	Replicas     []Replica
	Gateways     []Member            // Gateways that the agent may subscribe to and report to.
	Quarantined  []quarantine.Report // Kept for gateways that start later.
	// ReportTargets is how many of Gateways the agent reports to: the first ones that answer.
	// Zero is all of them.
	ReportTargets int
}

// Status is the state of a replica, reported by its agent.
type Status struct {
	Addr    string // Address of the replica.
	Hall    string
	Model   string
	Version uint64 // The version that it has complete; 0 for none.
	// Changing reports that the replica is about to load another version and should get no new
	// requests.
	Changing bool
	// ChangeIn is the time until the replica loads the other version, or 0 if it is not known:
	// requests sent to the replica should end by then.
	ChangeIn      time.Duration
	Reached       bool // The replica answered its agent.
	Queued        int
	Running       int
	UsedTokens    int     // Context tokens in the replica's memory.
	TotalTokens   int     // Context tokens that fit into the replica's memory.
	Pace          float64 // Above 1, the replica is slower than expected.
	SlowLink      bool    // The box's link has recently been slower than expected.
	MissingChunks int     // Chunks of the assigned version that are not loaded yet.
	Forward       bool    // The agent reports to a few gateways only: the receiver forwards the status to the others.
}

// Valid reports whether the replica's load and pace are within bounds.
func (s *Status) Valid() bool { return validLoad(s.Queued, s.Running, s.Pace) }

// OnlyLoadDiffers reports whether two statuses differ in nothing but the replica's load.
func (s *Status) OnlyLoadDiffers(o *Status) bool {
	return s.Version == o.Version && s.Changing == o.Changing && s.Reached == o.Reached && s.SlowLink == o.SlowLink && (s.ChangeIn == 0) == (o.ChangeIn == 0)
}

// Report is the status of a replica as last reported to the sending gateway by its agent.
type Report struct {
	Addr            string
	Version         uint64
	Changing        bool
	ChangeIn        time.Duration // Counted from when the message was sent; 0 if not known.
	Queued          int
	Running         int
	Pace            float64
	FetchingWeights bool // Weights are being transferred to its box.
	SlowLink        bool
	Age             time.Duration // Time since the agent's report, when the message was sent.
}

// Valid reports whether the load, pace and age are within bounds.
func (r *Report) Valid() bool { return validLoad(r.Queued, r.Running, r.Pace) && r.Age >= 0 }

// Reports forwards the state of replicas from a gateway that their agents report to, to one
// that they do not.
type Reports struct {
	Replicas []Report
	// ForwardInHall reports that the replicas are of another hall, and that the receiver
	// forwards the reports to the gateways of its own hall.
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
	{Kind: 111, Message: &ColdPermitRequest{}, ByName: true},
	{Kind: 112, Message: &LimiterQuery{}, ByName: true},
	{Kind: 113, Message: &LimiterAnswer{}, ByName: true},
	{Kind: 114, Message: &LoadQuery{}, ByName: true},
	{Kind: 115, Message: &LoadAnswer{}, ByName: true},
	{Kind: 116, Message: &ExpectedReturns{}, ByName: true},
	{Kind: 117, Message: &AdmissionState{}, ByName: true},
	{Kind: 118, Message: &RetryReport{}, ByName: true},
	{Kind: 119, Message: &RetryReportReceived{}, ByName: true},
	{Kind: 120, Message: &RetryQuery{}, ByName: true},
	{Kind: 121, Message: &RetryAnswer{}, ByName: true},
}
