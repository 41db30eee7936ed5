package relay

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/poststand/poststand/admission"
	"github.com/poststand/poststand/catalog"
	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/internal/drain"
	"github.com/poststand/poststand/internal/eventstream"
	"github.com/poststand/poststand/mirror"
	"github.com/poststand/poststand/quarantine"
	"github.com/poststand/poststand/route"
)

// request is one request of a caller. It is routed by a single catalog from start to end.
type request struct {
	id              string         // ID of the caller's attempt.
	key             quarantine.Key // The same for all attempts at the same request.
	parts           []string       // IDs of the parts of its prompt that other requests may share; see sharedParts.
	method          string
	target          string // Path and query as received.
	header          http.Header
	host            string
	body            []byte
	catalog         *catalog.Catalog
	routeName       string
	route           *config.Route
	service         string
	organisation    string
	rank            int
	arrivedAt       time.Time
	deadline        time.Time // Deadline of the caller or the route, whichever is earlier.
	attempt         admission.Attempt
	admission       admissionRecord
	retriesBefore   int // Retries expected before the one that the caller was told to make.
	workload        route.Workload
	lastEventID     string             // ID of the last stream event sent to the caller that has one.
	hasEvents       bool               // A stream event has been sent to the caller.
	lastHasNoID     bool               // The last stream event sent to the caller has no ID.
	moreKnown       bool               // Replicas have begun or announced more of the stream than was sent to the caller.
	version         uint64             // Version of the first part of the answer; all further parts must match it.
	attempts        int                // Attempts made so far.
	predicted       time.Duration      // Time until the first event, at the replica chosen last.
	queueWait       time.Duration      // Part of predicted before the replica starts on the request.
	reportAge       time.Duration      // Age of the agent's report about that replica; -1 ms if there is none.
	freshLoad       bool               // The replica's load was queried right before it was chosen.
	replicaVersions string             // Versions that replicas hold, if none could be chosen.
	heldVersion     uint64             // Version that the replica chosen last is believed to hold.
	versionTimeLeft time.Duration      // Time left to start requests on that version when it was chosen; zero if unlimited.
	listedAt        mirror.Position    // Position of the replica's catalog entry.
	availability    route.Availability // Availability of all replicas when it was chosen.
	limit           route.Limit        // Believed limit of the replica that was last sent to.
	recentSends     int                // Recent requests of this gateway to that replica, including this one.
	keys            []quarantine.Key   // key, and one key for each of parts.
	struck          []struckRound      // For each of keys.
	verdict         quarantine.Verdict // Last verdict on whether it may be sent.
	attemptResults  []string           // Result of each attempt, for the log.
	inFlight        drain.Request      // What is logged if the end of the process cuts it off.
	broken          breakdown          // How the last attempt that broke off ended.
}

// setKeys sets the key that identifies this request at every gateway, computed from its
// organisation, target and body, and those of the shared parts of its prompt.
func (rq *request) setKeys() {
	rq.key = quarantine.KeyOf([]byte(rq.organisation), []byte(rq.target), rq.body)
	rq.keys = append(rq.keys, rq.key)
	model := rq.catalog.Config.Services[rq.service].Model
	for _, part := range rq.parts {
		rq.keys = append(rq.keys, quarantine.PartKey(model, part))
	}
	rq.struck = make([]struckRound, len(rq.keys))
}

// recordEvents records events that are sent to the caller.
func (rq *request) recordEvents(e *eventstream.Events) {
	if e.Count == 0 {
		return
	}
	rq.moreKnown, rq.hasEvents, rq.lastHasNoID = false, true, !e.Identified
	if e.LastID != "" {
		rq.lastEventID = e.LastID
	}
}

// mayContinue reports whether the stream can go on at another replica after what its caller has. After an
// event without an ID it can't: that event would come again. Comments and empty lines are no part of it.
func (rq *request) mayContinue() bool {
	return rq.route.Resumable && (!rq.hasEvents || rq.lastEventID != "" && !rq.lastHasNoID)
}

// repeatable reports whether the request may run more than once.
func (rq *request) repeatable() bool { return rq.route.Repeatable() }

// needsOutcome reports whether the outcome of an attempt without data must be learned from the replica.
// A plain answer has no data until it is complete, so that the request may be running, and one that
// may not run twice is lost to its caller if its outcome is unknown.
func (rq *request) needsOutcome() bool { return rq.route.Kind != streamKind || !rq.repeatable() }

// runsModel reports whether the service runs a model.
func (rq *request) runsModel() bool { return rq.catalog.Config.Services[rq.service].Model != "" }

// routeCriteria returns the criteria for choosing a replica.
func (rq *request) routeCriteria(g *Relay, exclude map[string]bool) route.Criteria {
	return route.Criteria{
		AllowsHall: rq.allowsHall(g),
		Service:    rq.service, Workload: rq.workload, Version: rq.version, Exclude: exclude, Rank: rq.rank,
		LatestStart:     func(v uint64) time.Time { return g.versionDeadline(rq, v) },
		LatestDeadline:  func(v uint64) time.Time { return g.queueDeadline(rq, v) },
		WholeByDeadline: rq.needsOutcome(),
	}
}

// residency returns where the request may be served, by the configuration that routes it and by
// the newest one: a restriction added since holds for further attempts.
func (rq *request) residency(g *Relay) config.Residency {
	r := rq.catalog.Config.Restrict(config.Residency{}, rq.routeName, rq.organisation)
	if newest := g.catalog.Get(); newest.Version != rq.catalog.Version {
		r = newest.Config.Restrict(r, rq.routeName, rq.organisation)
	}
	return r
}

// allowsHall returns a function that reports whether the request may be served in a hall, or nil
// if it may be served anywhere.
func (rq *request) allowsHall(g *Relay) func(hall string) bool {
	r := rq.residency(g)
	if !r.Restricted {
		return nil
	}
	regions := g.bounds.Load().Regions
	return func(hall string) bool { return r.Allows(regions[hall]) }
}

// maxStatedTokens bounds the tokens that a request is taken to have, whatever its caller states: sums
// and durations of such requests do not overflow. No model reads as many.
const maxStatedTokens = 1 << 24

// statedTokens parses a number of tokens, and reports whether it is one.
func statedTokens(s string) (int, bool) {
	n, err := strconv.Atoi(strings.TrimSpace(s))
	return min(n, maxStatedTokens), err == nil && n >= 0
}

// parseWorkload returns the workload of a request, with the engine's usual values for what its
// headers do not specify.
func parseWorkload(names *Headers, h http.Header, e config.Engine) route.Workload {
	if e.PrefillRate <= 0 {
		return route.Workload{}
	}
	w := route.Workload{PromptTokens: e.MeanPromptTokens, AnswerTokens: e.MeanAnswerTokens}
	prompt, maxAnswer, _ := strings.Cut(h.Get(names.Tokens), ",")
	if n, ok := statedTokens(prompt); ok {
		w.PromptTokens = n
	}
	if hint, ok := statedTokens(h.Get(names.LengthHint)); ok && hint > 0 {
		w.AnswerTokens = hint
	}
	if maxTokens, ok := statedTokens(maxAnswer); ok && maxTokens > 0 {
		w.AnswerTokens, w.MaxAnswerTokens = min(w.AnswerTokens, maxTokens), maxTokens
	}
	return w
}

// hopByHopHeaders apply to a single connection and are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// removeHopByHop removes hop-by-hop headers, including those that the Connection header lists.
func removeHopByHop(h http.Header) {
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			if name = strings.TrimSpace(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// forwardedHeader returns the headers that all attempts of the request share.
func (rq *request) forwardedHeader(names *Headers, in http.Header) http.Header {
	h := in.Clone()
	removeHopByHop(h)
	for _, name := range []string{
		"Authorization", "Content-Length", "Expect", names.Organisation, names.ExpectReplica, names.ExpectVersion, names.Rank, names.Incarnation, names.NotRun,
		names.Signature,
	} {
		h.Del(name)
	}
	if rq.organisation != "" {
		h.Set(names.Organisation, rq.organisation)
	}
	if rq.runsModel() {
		const maxRank = 9
		h.Set(names.Rank, strconv.Itoa(max(0, min(maxRank, rq.rank))))
	}
	return h
}
