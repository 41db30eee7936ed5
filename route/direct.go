package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/fleet"
)

// Workload is how much a request asks of a replica, in tokens. It is zero for
// requests that no engine runs.
type Workload struct {
	PromptTokens    int
	AnswerTokens    int // Expected,
	MaxAnswerTokens int // and how many there may be; 0 where that is not known.
}

// AgentReport is how a replica stood, as its agent told it.
type AgentReport struct {
	Version          uint64
	Changing         bool      // It is about to take another version.
	ChangeAt         time.Time // When it will be, or zero where that is not known.
	Queued           int
	Running          int
	Slowdown         float64
	ReceivingWeights bool      // Weights are on their way to its box.
	SlowLink         bool      // What is sent to it may be long on its way.
	ReceivedAt       time.Time // When it came.
}

// EqualExceptLoad reports whether two reports of a replica differ in nothing but how
// much it has to do.
func (w *AgentReport) EqualExceptLoad(o *AgentReport) bool {
	return w.Version == o.Version && w.Changing == o.Changing && w.SlowLink == o.SlowLink && w.ChangeAt.IsZero() == o.ChangeAt.IsZero()
}

// Replica is what one gateway knows of an upstream that it sends requests to
// without an agent in between.
type Replica struct {
	fleet.Upstream
	Report AgentReport // Zero while its agent has said nothing.
	said
	// changing is since when it is about to take another version; zero if it is not.
	changing time.Time
	// backAt is when it was first told that it takes requests, after it did not.
	backAt time.Time
	// slowUntil is until when its link counts as slow, after a report that says so.
	slowUntil time.Time
	// goneAt is when the list first lacked it; zero if it does not.
	goneAt time.Time
	// alive is when it last answered a request.
	alive time.Time

	reading  int // Own requests without a first event,
	prompts  int // the tokens of their prompts,
	writing  int // and own requests with one.
	ownThen  int // reading and writing when Report came.
	failures int // In a row.
	ejected  time.Time
	ejection int
	full     time.Time // It refused for want of room; left alone until then.
	misled   time.Time // It last refused since it holds something else than was believed.
	served   uint64    // The version of its last answer, if newer than its list entry.
	slow     float64   // Smoothed first-event time over the predicted one.
	sign     time.Time // While requests wait for a first event: when one last came, or the first began to wait.
	quick    time.Duration
	untried  bool      // It has asked for rest, and answered nothing that was sent after it.
	triedAt  time.Time // When a request was last sent there while untried.
	sent     sends     // What this gateway sent there of late.
	permits  permits
}

// Table is a gateway's table of replicas. The zero value is empty. Methods are
// safe for use by many goroutines.
type Table struct {
	Hall string // Of the gateway.
	// DelistGrace is for how long a replica that vanishes from the list without leaving
	// is still used while it shows life: entries may run out while the platform is
	// away, and come back with it. It is well within the time in which a leaving
	// replica still serves. Zero is not at all.
	DelistGrace time.Duration

	mu       sync.Mutex
	replicas map[string]*Replica // By ID.
	byAddr   map[string]*Replica
	engines  map[string]config.Engine
	services map[string][]*Replica
	past     map[fleet.Incarnation]past
}

// Tuning of a Table.
const (
	agentReportExpires  = 3 * time.Second // An agent's report counts no longer than this.
	agentReportHalfLife = 600 * time.Millisecond
	freshReport         = 1300 * time.Millisecond // Agents tell once a second at least.
	strangerCost        = 15 * time.Millisecond   // For a replica of another hall.
	fullFor             = 100 * time.Millisecond
	directEject         = 500 * time.Millisecond // First time a failing replica is left out; doubles.
	directMost          = 8 * time.Second
	directAfter         = 2                       // Failures in a row.
	misledFor           = 1500 * time.Millisecond // What a replica holds is not known, after a refusal and without a newer report of it.
	slowSample          = 0.2
	slowSampleUp        = 0.35
	slowBound           = 8.0
	plainGuess          = 60 * time.Millisecond // A request's time where nothing is known.
	// A request is sent to a version whose time ends only if it will have begun by
	// then, even if that takes so many times what is predicted and a margin.
	boundFactorOfWait = 1.5
	boundMargin       = 200 * time.Millisecond
	movingMargin      = 400 * time.Millisecond  // More, where weights are on their way to the box: if its link narrows they lie before requests.
	slowLinkMargin    = 2500 * time.Millisecond // More, where a request may be long on its way.
	slowLinkFor       = 6 * time.Second         // After the last report that says so: it may be about to say so again.
	slowLinkCost      = 100 * time.Millisecond
	readingBeside     = 1.5                    // A step takes so much longer for the prompts that are read beside it.
	sampledHere       = 2                      // Candidates of the own hall that one choice looks at,
	sampledThere      = 2                      // and of other halls.
	backShare         = 0.15                   // Of the choices that look at a replica when it has just come back,
	backOver          = 700 * time.Millisecond // rising to all of them over this.
	slowReplica       = 1.5                    // The pace of one that works slower than it should.
	permitCost        = 5 * time.Millisecond   // To ask for a permit of a replica that has a limit.
	holdUpCost        = 0.2                    // Of the time by which a request would hold up a change.
)

// Criteria is what Pick chooses for.
type Criteria struct {
	Service  string
	Workload Workload
	Version  uint64 // Exactly this one, or 0.
	// LatestStart is when requests may no longer begin on a version, zero for never.
	// Nil is never.
	LatestStart func(version uint64) time.Time
	// LatestDeadline is the latest deadline with which a request that waits at a replica does not begin
	// on a version after its time; zero for any. It is later than Bound. Nil is any.
	LatestDeadline func(version uint64) time.Time
	Exclude        map[string]bool // IDs.
	ReportedOnly   bool            // Only replicas of which their agents have told lately.
	Rank           int             // Of the request; 0 is the most urgent.
}

// Choice is a chosen replica.
type Choice struct {
	fleet.Upstream
	Version      uint64        // That it holds, as far as is known.
	Predicted    time.Duration // Until the first event or the answer.
	QueueWait    time.Duration // Part of it before the request itself is worked on.
	ReportAge    time.Duration // How old the agent's report of the replica is; negative without one.
	Reservation  *Reservation
	Deadline     time.Time    // The deadline that it is to be given; zero for the caller's.
	Limit        Limit        // That it is believed to have.
	Availability Availability // Set also where none was chosen.
}

// Pick chooses the replica that is predicted to answer first, and counts the
// request there. Done must follow.
func (t *Table) Pick(now time.Time, a Criteria) (Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cs, seen := t.candidates(now, a)
	if len(cs) == 0 {
		return Choice{Availability: seen}, fault.New(seen.cause(), a.Service)
	}
	e := t.engines[a.Service]
	var best *Replica
	var at, cost time.Duration // What best is predicted to take, and that with what speaks against it.
	for _, r := range t.sample(now, cs) {
		p := r.expect(now, e, a.Workload)
		c := p
		if r.Hall != t.Hall {
			c += strangerCost
		}
		if now.Before(r.slowUntil) {
			c += slowLinkCost
		}
		if r.limit.Named {
			c += permitCost
		}
		c += time.Duration(holdUpCost * float64(r.holdsUp(now, e, a.Workload)))
		if best == nil || c < cost {
			best, at, cost = r, p, c
		}
	}
	wait := best.expect(now, e, Workload{})
	if best.reading == 0 {
		best.sign = now
	}
	if best.untried {
		best.triedAt = now
	}
	endBy, _ := best.endsBy(now, e, a)
	best.reading++
	best.prompts += a.Workload.PromptTokens
	return Choice{
		Reservation: &Reservation{replica: best, work: a.Workload, at: now},
		Upstream:    best.Upstream, Version: best.version(now), Predicted: at,
		QueueWait: wait, ReportAge: best.reportAge(now), Deadline: endBy, Limit: best.limit, Availability: seen,
	}, nil
}

// sample draws the candidates that one choice looks at: gateways that all took the
// one that looks best by the same old reports would overrun it. Some are of this
// hall, if there are any, and some of others. One that has just come back looks best
// to all gateways until agents tell of what it was sent; it is drawn less often at
// first.
func (t *Table) sample(now time.Time, cs []*Replica) []*Replica {
	here, there := sampledHere, sampledThere
	var out, passed []*Replica
	for _, i := range rand.Perm(len(cs)) {
		r := cs[i]
		left := &there
		if r.Hall == t.Hall {
			left = &here
		}
		switch {
		case *left == 0:
		case rand.Float64() >= r.share(now):
			passed = append(passed, r)
		default:
			*left--
			out = append(out, r)
		}
	}
	if len(out) == 0 {
		return passed[:min(sampledHere+sampledThere, len(passed))]
	}
	return out
}

// share is the part of the choices for which the replica is looked at: it rises from
// when it came back.
func (r *Replica) share(now time.Time) float64 {
	back := now.Sub(r.backAt)
	if r.backAt.IsZero() || back >= backOver {
		return 1
	}
	return backShare + (1-backShare)*float64(max(0, back))/float64(backOver)
}

// candidates returns whom a request may go to, and how all stood. Ejected and full
// replicas are used only where there is nobody else.
func (t *Table) candidates(now time.Time, a Criteria) ([]*Replica, Availability) {
	var good, poor []*Replica
	var seen Availability
	for _, r := range t.services[a.Service] {
		s := t.standing(now, r, a)
		seen.Count[s]++
		switch s {
		case resting:
			seen.back(r.restUntil)
		case onTrial:
			seen.back(r.triedAt.Add(trialFor))
		case limited:
			seen.back(r.permits.backAt(a.Rank))
		case usable:
			good = append(good, r)
		case ejected, full:
			poor = append(poor, r)
		}
	}
	if told := reportedLately(now, good); len(told) >= sampledHere {
		return told, seen
	}
	if len(good) > 0 {
		return good, seen
	}
	return poor, seen
}

// reportedLately returns those of which their agents have told of late: what looks idle
// since nobody tells of it may be as busy as the others, or away. Replicas without
// agents are returned as they are.
func reportedLately(now time.Time, rs []*Replica) []*Replica {
	var out []*Replica
	for _, r := range rs {
		if !r.Engine || r.heard(now) && r.reportAge(now) < freshReport {
			out = append(out, r)
		}
	}
	return out
}

func (r *Replica) fits(now time.Time, e config.Engine, a Criteria) bool {
	if !r.Engine {
		return true
	}
	v := r.version(now)
	if v == 0 || a.Version != 0 && v != a.Version || a.ReportedOnly && !r.heard(now) {
		return false
	}
	if !r.misled.IsZero() && now.Sub(r.misled) < misledFor && !r.Report.ReceivedAt.After(r.misled) {
		return false
	}
	if a.LatestStart == nil {
		return true
	}
	bound := a.LatestStart(v)
	if bound.IsZero() {
		return true
	}
	margin := boundMargin
	if r.Report.ReceivingWeights {
		margin += movingMargin
	}
	if r.mayBeFar(now) {
		margin += slowLinkMargin
	}
	if _, outlasts := r.endsBy(now, e, a); outlasts && r.mayKeepWaiting(now) {
		return false
	}
	return now.Add(margin + time.Duration(boundFactorOfWait*float64(r.expect(now, e, a.Workload)))).Before(bound)
}

// mayKeepWaiting reports whether a request may well wait at the replica for longer than is
// predicted: by its agent's word it works slower than it should.
func (r *Replica) mayKeepWaiting(now time.Time) bool {
	return r.heard(now) && r.Report.Slowdown >= slowReplica
}

// endsBy returns a request's deadline at the replica, so that it does not wait there past the
// time of the version: replicas drop by themselves what has, where a close of the connection
// does not arrive or is not heeded. They cut what has begun as well, so there is none, and the
// second result is true, where the whole answer is not predicted by then.
func (r *Replica) endsBy(now time.Time, e config.Engine, a Criteria) (by time.Time, outlasts bool) {
	if !r.Engine || a.LatestDeadline == nil {
		return time.Time{}, false
	}
	until := a.LatestDeadline(r.version(now))
	if until.IsZero() {
		return until, false
	}
	first := time.Duration(boundFactorOfWait * float64(r.expect(now, e, a.Workload)))
	if now.Add(boundMargin + first + r.answerTime(now, e, a.Workload)).After(until) {
		return time.Time{}, true
	}
	return until, false
}

// mayBeFar reports whether what is sent to the replica may be long on its way: its
// agent says so, or has said nothing of late, as when its reports do not get through.
func (r *Replica) mayBeFar(now time.Time) bool {
	return !r.heard(now) || r.reportAge(now) >= freshReport || now.Before(r.slowUntil)
}
