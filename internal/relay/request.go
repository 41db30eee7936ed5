package relay

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/poststand/poststand/catalog"
	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/mirror"
	"github.com/poststand/poststand/quarantine"
	"github.com/poststand/poststand/route"
)

// request is one request on its way through the gateway. It is decided by one
// catalog from start to end.
type request struct {
	id              string         // Of the caller's attempt.
	key             quarantine.Key // The same for each try at the same request.
	method          string
	target          string // The path and query, as they came.
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
	deadline        time.Time // The caller's or the route's, whichever is first.
	retried         bool      // Its caller has most likely been refused before.
	work            route.Workload
	lastEventID     string             // What a stream has been shown up to.
	version         uint64             // Of the first part of the answer; every further part must be of it.
	attempts        int                // So far.
	next            *attempt           // Where the stream goes on, if that has begun already.
	predicted       time.Duration      // Until the first event, at the replica that was last chosen,
	queueWait       time.Duration      // of it before its own work begins,
	reportAge       time.Duration      // and how old its agent's report was; -1 ms without one.
	replicaVersions string             // What replicas were known to hold, where none could be chosen.
	heldVersion     uint64             // The version that the replica which was last chosen was believed to hold,
	versionLeft     time.Duration      // and how long requests could yet begin on it when it was chosen; zero if for ever.
	listedAt        mirror.Position    // The position of its entry,
	replicaStates   route.Availability // and how all replicas stood then.
	limit           route.Limit        // That the replica was believed to have to which it was last sent,
	recentSends     int                // and how many this gateway had sent there of late, this one among them.
	struckRound     int                // The highest round of sends after which the replica may have ended, in this try.
	verdict         quarantine.Status  // Of the request, when it was last asked for.
	attemptResults  []string           // What became of each send, for the log.
}

// quarantineKey returns what tells this request from others, whoever sends it on: its path, who
// asks and what.
func (rq *request) quarantineKey() quarantine.Key {
	return quarantine.KeyOf([]byte(rq.organisation), []byte(rq.target), rq.body)
}

// repeatable reports whether the request may run more than once.
func (rq *request) repeatable() bool { return rq.route.Repeatable() }

// runsModel reports whether the service runs a model.
func (rq *request) runsModel() bool { return rq.catalog.Config.Services[rq.service].Model != "" }

// routeAsk is what a replica is chosen for.
func (rq *request) routeAsk(g *Relay, exclude map[string]bool) route.Criteria {
	return route.Criteria{
		Service: rq.service, Workload: rq.work, Version: rq.version, Exclude: exclude, Rank: rq.rank,
		LatestStart:    func(v uint64) time.Time { return g.versionDeadline(rq, v) },
		LatestDeadline: func(v uint64) time.Time { return g.queueDeadline(rq, v) },
	}
}

// parseWork reads how much a request asks for. What it does not say is taken to be
// as usual.
func parseWork(d *Headers, h http.Header, e config.Engine) route.Workload {
	if e.ReadRate <= 0 {
		return route.Workload{}
	}
	w := route.Workload{PromptTokens: e.UsualPrompt, AnswerTokens: e.UsualAnswer}
	prompt, most, _ := strings.Cut(h.Get(d.Tokens), ",")
	if n, err := strconv.Atoi(strings.TrimSpace(prompt)); err == nil && n >= 0 {
		w.PromptTokens = n
	}
	bound, err := strconv.Atoi(strings.TrimSpace(most))
	if guess, gerr := strconv.Atoi(h.Get(d.LengthHint)); gerr == nil && guess > 0 {
		w.AnswerTokens = guess
	}
	if err == nil && bound > 0 {
		w.AnswerTokens, w.MaxAnswerTokens = min(w.AnswerTokens, bound), bound
	}
	return w
}

// hopByHopHeaders concern one connection and are never passed on.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// removeHopByHop removes what concerns one connection, and what its Connection header
// names.
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

// forwardedHeader returns the headers that every send of the request shares.
func (rq *request) forwardedHeader(d *Headers, in http.Header) http.Header {
	h := in.Clone()
	removeHopByHop(h)
	for _, name := range []string{
		"Authorization", "Content-Length", "Expect", d.Organisation, d.ExpectReplica, d.ExpectVersion, d.Rank, d.Incarnation, d.NotRun,
		d.Signature,
	} {
		h.Del(name)
	}
	if rq.organisation != "" {
		h.Set(d.Organisation, rq.organisation)
	}
	if rq.runsModel() {
		const most = 9
		h.Set(d.Rank, strconv.Itoa(max(0, min(most, rq.rank))))
	}
	return h
}
