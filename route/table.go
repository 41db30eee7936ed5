package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/fleet"
)

// Workload is the size of a request in tokens. It is zero for requests to services without an
// engine.
type Workload struct {
	PromptTokens    int
	AnswerTokens    int // Expected number.
	MaxAnswerTokens int // Upper bound; 0 if unknown.
}

// AgentReport is the state of a replica as reported by its agent.
type AgentReport struct {
	Version          uint64
	Changing         bool      // The replica is about to switch to another version.
	ChangeAt         time.Time // When the switch is due; zero if unknown.
	Queued           int
	Running          int
	Slowdown         float64   // Above 1 if the replica works slower than it should.
	ReceivingWeights bool      // Weights are being transferred to the replica's box.
	SlowLink         bool      // Requests to the replica may be delayed by its link.
	ReceivedAt       time.Time // When the gateway received the report.
}

// EqualExceptLoad reports whether two reports of a replica differ in load alone.
func (rep *AgentReport) EqualExceptLoad(o *AgentReport) bool {
	return rep.Version == o.Version && rep.Changing == o.Changing && rep.SlowLink == o.SlowLink && rep.ChangeAt.IsZero() == o.ChangeAt.IsZero()
}

// Replica is the state that a gateway keeps for an upstream to which it sends requests
// directly, without an agent in between.
type Replica struct {
	fleet.Upstream
	Report AgentReport // Zero until its agent has reported.
	declaredState
	// changingSince is when the replica was first reported to be about to switch versions; zero
	// if it is not.
	changingSince time.Time
	// availableSince is when the replica last became available: it was reported to accept
	// requests again, its backoff ends (possibly in the future), or its limit was removed.
	availableSince time.Time
	// slowLinkUntil is the time until which the replica's link counts as slow; each report of a
	// slow link extends it.
	slowLinkUntil time.Time
	// delistedAt is when the platform's list first no longer contained the replica; zero if
	// listed.
	delistedAt time.Time
	// answeredAt is when the replica last answered a request.
	answeredAt time.Time

	prefilling     int // This gateway's requests there that have no first event yet.
	prefillTokens  int // Prompt tokens of those requests.
	decoding       int // This gateway's requests there that have a first event.
	ownAtReport    int // prefilling + decoding when Report was received.
	failures       int // Consecutive.
	ejectedUntil   time.Time
	ejections      int
	fullUntil      time.Time // Set when the replica refuses a request for lack of capacity.
	notHeldAt      time.Time // When it last refused a request because it does not hold what it was expected to.
	servedVersion  uint64    // Version of its last answer that stated one; 0 if there is none.
	latencyRatio   float64   // Smoothed ratio of the measured to the predicted time to the first event.
	freshRatio     float64   // The same for predictions by a load that was read right before.
	waitingSince   time.Time // While requests wait for a first event: the last first event, or when the first of them was sent.
	typicalLatency time.Duration
	needsProbe     bool        // It requested a backoff and has answered nothing sent since the backoff ended.
	probedAt       time.Time   // When a request was last sent while needsProbe is set.
	sent           recentSends // Requests that this gateway sent there recently.
	permits        permitState

	loadReadAt      time.Time // When its agent last answered a load query.
	noQueryUntil    time.Time // Its agent did not answer and is not queried until then.
	reportOnlyUntil time.Time // Its agent does not know load queries and is not queried until then.
}

// Table is a gateway's table of replicas. The zero value is an empty table. Its methods are
// safe for concurrent use.
type Table struct {
	Hall    string // The gateway's hall.
	Gateway string // Name of the gateway, which determines the replicas that it reads the load of.
	// DelistGrace is how long a replica that disappears from the list without leaving is still
	// used while it is active: list entries may expire while the platform is unavailable, and
	// reappear when it is available again. It is well within the time for which a leaving
	// replica still serves requests. Zero disables the grace period.
	DelistGrace time.Duration

	mu       sync.Mutex
	replicas map[string]*Replica // By ID.
	byAddr   map[string]*Replica
	engines  map[string]config.Engine
	services map[string][]*Replica
	past     map[fleet.Incarnation]pastIncarnation
	// drainedHalls are the halls that the operator has drained: their replicas get no requests.
	drainedHalls map[string]bool
	// coldStarts holds the cold rate and time of each service whose replicas have them.
	coldStarts  map[string]coldStart
	hallLoads   map[[2]string]hallLoad  // By service and hall.
	rankings    map[string][]*Replica   // By service, as far as needed since the last change of the list; see Table.ranking.
	toldRetries map[string]*toldRetries // By service.
}

// Parameters of a Table.
const (
	agentReportTTL      = 3 * time.Second         // Older agent reports are ignored.
	agentReportHalfLife = 600 * time.Millisecond  // The load of other gateways in a report counts half after this time.
	freshReportAge      = 1300 * time.Millisecond // Agents report at least once a second.
	otherHallCost       = 15 * time.Millisecond   // Added for a replica of another hall.
	fullBackoff         = 100 * time.Millisecond  // How long a replica counts as full after a refusal for lack of capacity.
	replicaEjectBase    = 500 * time.Millisecond  // Duration of a first ejection; doubles with each further one.
	replicaEjectMax     = 8 * time.Second
	replicaEjectAfter   = 2                       // Consecutive failures.
	notHeldTTL          = 1500 * time.Millisecond // After a refusal, the held version counts as unknown for this long, or until a newer report.
	ratioWeight         = 0.2                     // Weight of a latency-ratio sample that is not above the smoothed ratio.
	ratioWeightUp       = 0.35                    // Weight of a sample above it.
	maxLatencyRatio     = 8.0                     // Samples are limited to this ratio and its inverse.
	defaultLatency      = 60 * time.Millisecond   // Assumed request time if none is known.
	// A request is sent to a version with a start deadline only if it is expected to start by
	// then even if starting takes startFactor times the predicted time plus startMargin.
	startFactor = 1.5
	startMargin = 200 * time.Millisecond
	// receivingMargin is added while weights are sent to the box: if its link narrows, they queue
	// ahead of requests. An answer to a load query within its short timeout shows that they do not.
	receivingMargin     = 400 * time.Millisecond
	slowLinkMargin      = 2500 * time.Millisecond // Added if the link to the replica may be slow.
	slowLinkFor         = 6 * time.Second         // A link counts as slow for this long after a report, since the next one may report it again.
	slowLinkCost        = 100 * time.Millisecond  // Added to the cost of a replica whose link counts as slow.
	prefillOverhead     = 1.5                     // Factor by which prompts processed in the same batch lengthen a decoding step.
	sampledInHall       = 2                       // Candidates of the gateway's own hall considered for each choice.
	sampledElsewhere    = 2                       // Candidates of other halls considered for each choice.
	rampUpStart         = 0.15                    // Share of the choices that consider a replica that just became available;
	rampUpTime          = 700 * time.Millisecond  // it grows to all of them over this time.
	slowReplicaSlowdown = 1.5                     // Slowdown from which a replica counts as slow.
	permitCost          = 5 * time.Millisecond    // Time to request a permit for a replica that has a rate limit.
	switchDelayCost     = 0.2                     // Cost per time by which a request would delay a version switch.
)

// Criteria describes the request that Pick chooses a replica for.
type Criteria struct {
	Service  string
	Workload Workload
	Version  uint64 // Required version; 0 for any.
	// LatestStart returns the time from which requests may no longer start on a version; zero
	// for no limit. Nil means no limit.
	LatestStart func(version uint64) time.Time
	// LatestDeadline returns the latest request deadline which ensures that a request queued at
	// a replica does not start on a version that has expired; zero for no limit. It is later
	// than LatestStart. Nil means no limit.
	LatestDeadline func(version uint64) time.Time
	// WholeByDeadline excludes replicas whose whole answer is not expected by LatestDeadline. For a
	// request that must not be cut while it runs, if it can't be told whether it runs.
	WholeByDeadline bool
	Exclude         map[string]bool // Replica IDs.
	ReportedOnly    bool            // Consider only replicas with a recent agent report.
	Rank            int             // Urgency of the request; 0 is the most urgent.
	AvoidPermits    bool            // Choose a replica that needs no permit, if there is one.
	// AllowsHall reports whether the request may be served in a hall. Nil allows all halls.
	AllowsHall func(hall string) bool
	// Draw restricts the choice among replicas of the gateway's own hall to those that were drawn
	// and whose load is known. Nil, or a draw without any answer, does not restrict it.
	Draw *Draw
	// readsLoad is set while a draw is made: the load will have been read before the choice.
	readsLoad bool
	// MaxWait is the longest predicted wait with which the request is sent; zero for no limit. If
	// all sampled replicas exceed it, up to maxRoomEstimates others are considered, and one that
	// does not is chosen if there is any. It applies only if Draw has an answer.
	MaxWait time.Duration
}

// Choice is the result of Pick.
type Choice struct {
	fleet.Upstream
	Version      uint64        // The version that the replica is believed to hold.
	Predicted    time.Duration // Predicted time to the first event, or to the answer of a plain service.
	QueueWait    time.Duration // The part of Predicted before the replica starts on the request.
	Unqueued     time.Duration // What QueueWait is while the replica has a free slot and nothing queued.
	ReportAge    time.Duration // Age of the agent's report of the replica, or of its answer to a query; negative if there is none.
	Fresh        bool          // The choice rests on an answer to a query.
	Reservation  *Reservation
	Deadline     time.Time    // Deadline to set for the request; zero for the caller's.
	Limit        Limit        // Rate limit in force for the replica.
	ColdRate     float64      // Rate limit of the replica while it is cold; 0 if it is not.
	Availability Availability // Set even if no replica was chosen.
}

// Pick chooses the replica that is predicted to answer first, and reserves a place there for
// the request. The caller must call Done when the request has ended.
func (t *Table) Pick(now time.Time, crit Criteria) (Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cs, avail := t.candidates(now, crit)
	if len(cs) == 0 {
		return Choice{Availability: avail}, fault.New(avail.failureCode(), crit.Service)
	}
	if crit.AvoidPermits {
		cs = t.withoutPermits(now, cs)
	}
	e := t.engines[crit.Service]
	chosen := t.best(now, e, crit, t.sample(now, e, cs, crit.Draw))
	if crit.isTooLong(chosen.wait) {
		if others := t.withRoom(now, e, crit, cs); len(others) > 0 {
			chosen = t.best(now, e, crit, others)
		}
	}
	best := chosen.replica
	if best.prefilling == 0 {
		best.waitingSince = now
	}
	if best.needsProbe {
		best.probedAt = now
	}
	deadline, _ := best.versionDeadline(now, e, crit)
	fresh := best.isFresh(now)
	best.prefilling++
	best.prefillTokens += crit.Workload.PromptTokens
	return Choice{
		Reservation: &Reservation{replica: best, workload: crit.Workload, pickedAt: now, fresh: fresh, slowdown: best.slowdown()},
		Upstream:    best.Upstream, Version: best.version(now), Predicted: chosen.predicted,
		QueueWait: chosen.wait, Unqueued: best.unqueuedWait(now, e), ReportAge: best.reportAge(now), Fresh: fresh, Deadline: deadline, Limit: best.limit, ColdRate: t.coldRate(now, best), Availability: avail,
	}, nil
}

// sample returns the candidates for one choice: those of a draw whose load is known, if there are
// any. Others, whose load is known from reports alone, are added at random only while none of
// the drawn ones has a free slot: the least of several old reports is mostly wrong.
func (t *Table) sample(now time.Time, e config.Engine, cs []*Replica, d *Draw) []*Replica {
	if !d.hasAnswer() {
		return t.sampleByReports(now, cs)
	}
	drawn, rest := d.split(t.Hall, cs)
	if len(drawn) == 0 && len(rest) == 0 {
		return t.sampleByReports(now, cs)
	}
	if len(drawn) == 0 {
		return t.sampleByReports(now, rest)
	}
	if slices.ContainsFunc(drawn, func(r *Replica) bool { return r.hasFreeSlot(now, e) }) {
		return drawn
	}
	sampled, _ := t.sampleWithSkipped(now, rest)
	return append(drawn, sampled...)
}

// sampleByReports returns candidates at random, some of this hall, if there are any, and some of
// others. If all gateways chose the best replica from the same stale reports, they would overload
// it. A replica that has just become available looks best to all gateways until agents report the
// requests it was sent, so it is sampled less often at first.
func (t *Table) sampleByReports(now time.Time, cs []*Replica) []*Replica {
	out, skipped := t.sampleWithSkipped(now, cs)
	if len(out) == 0 {
		return skipped[:min(sampledInHall+sampledElsewhere, len(skipped))]
	}
	return out
}

// sampleWithSkipped is sampleByReports, but it also returns the replicas that were skipped because
// they have just become available.
func (t *Table) sampleWithSkipped(now time.Time, cs []*Replica) (out, skipped []*Replica) {
	here, there := sampledInHall, sampledElsewhere
	for _, i := range rand.Perm(len(cs)) {
		r := cs[i]
		left := &there
		if r.Hall == t.Hall {
			left = &here
		}
		switch {
		case *left == 0:
		case rand.Float64() >= r.rampUp(now):
			skipped = append(skipped, r)
		default:
			*left--
			out = append(out, r)
		}
	}
	return out, skipped
}

// rampUp returns the probability with which the replica is sampled as a candidate. It grows from
// rampUpStart to 1 after the replica becomes available.
func (r *Replica) rampUp(now time.Time) float64 {
	elapsed := now.Sub(r.availableSince)
	if r.availableSince.IsZero() || elapsed >= rampUpTime {
		return 1
	}
	return rampUpStart + (1-rampUpStart)*float64(max(0, elapsed))/float64(rampUpTime)
}

// candidates returns the replicas that a request may be sent to, and counts all replicas by
// eligibility. Ejected and full replicas are returned only if there are no others.
func (t *Table) candidates(now time.Time, crit Criteria) ([]*Replica, Availability) {
	var preferred, fallback []*Replica
	var avail Availability
	for _, r := range t.services[crit.Service] {
		s := t.eligibility(now, r, crit)
		avail.Count[s]++
		switch s {
		case backingOff:
			avail.noteBackAt(r.backoffUntil)
		case probing:
			avail.noteBackAt(r.probedAt.Add(probeTimeout))
		case rateLimited:
			avail.noteBackAt(r.permits.availableAt(crit.Rank))
		case usable:
			preferred = append(preferred, r)
		case ejected, full:
			fallback = append(fallback, r)
		}
	}
	if recent := recentlyReported(now, preferred); len(recent) >= sampledInHall {
		return recent, avail
	}
	if len(preferred) > 0 {
		return preferred, avail
	}
	return fallback, avail
}

// recentlyReported returns the replicas with a recent agent report. A replica that looks idle
// only because no agent reports its load may be as busy as the others, or unreachable. Replicas
// without agents are always included.
func recentlyReported(now time.Time, rs []*Replica) []*Replica {
	var out []*Replica
	for _, r := range rs {
		if !r.Engine || r.hasReport(now) && r.reportAge(now) < freshReportAge {
			out = append(out, r)
		}
	}
	return out
}

// suitable reports whether the replica holds what is requested and is expected to start the
// request in time.
func (r *Replica) suitable(now time.Time, e config.Engine, crit Criteria) bool {
	if !r.Engine {
		return true
	}
	v := r.version(now)
	if v == 0 || crit.Version != 0 && v != crit.Version || crit.ReportedOnly && !r.hasReport(now) {
		return false
	}
	if !r.notHeldAt.IsZero() && now.Sub(r.notHeldAt) < notHeldTTL && !r.Report.ReceivedAt.After(r.notHeldAt) {
		return false
	}
	if crit.LatestStart == nil {
		return true
	}
	latestStart := crit.LatestStart(v)
	if latestStart.IsZero() {
		return true
	}
	margin := startMargin
	if r.Report.ReceivingWeights && !crit.readsLoad && !r.isFresh(now) {
		margin += receivingMargin
	}
	if r.linkMayBeSlow(now) {
		margin += slowLinkMargin
	}
	if _, outlasts := r.versionDeadline(now, e, crit); outlasts && (crit.WholeByDeadline || r.mayQueueLong(now)) {
		return false
	}
	return now.Add(margin + time.Duration(startFactor*float64(r.expectedLatency(now, e, crit.Workload)))).Before(latestStart)
}

// mayQueueLong reports whether a request may wait at the replica much longer than predicted:
// its agent reports that it runs slower than it should.
func (r *Replica) mayQueueLong(now time.Time) bool {
	return r.hasReport(now) && r.Report.Slowdown >= slowReplicaSlowdown
}

// versionDeadline returns the deadline of a request at the replica, so that the request does
// not wait there past LatestDeadline of the replica's version. Replicas drop requests past
// their deadline themselves, whereas closing the connection may be delayed or ignored. They
// also cut off answers that have begun, so if the whole answer is not predicted to end in time,
// there is no deadline and outlasts is true.
func (r *Replica) versionDeadline(now time.Time, e config.Engine, crit Criteria) (deadline time.Time, outlasts bool) {
	if !r.Engine || crit.LatestDeadline == nil {
		return time.Time{}, false
	}
	until := crit.LatestDeadline(r.version(now))
	if until.IsZero() {
		return until, false
	}
	firstEvent := time.Duration(startFactor * float64(r.expectedLatency(now, e, crit.Workload)))
	if now.Add(startMargin + firstEvent + r.maxAnswerTime(now, e, crit.Workload)).After(until) {
		return time.Time{}, true
	}
	return until, false
}

// linkMayBeSlow reports whether requests to the replica may be delayed by its link: its agent
// reports so, or has not reported recently, as when its reports do not get through.
func (r *Replica) linkMayBeSlow(now time.Time) bool {
	return !r.hasReport(now) || r.reportAge(now) >= freshReportAge || now.Before(r.slowLinkUntil)
}
