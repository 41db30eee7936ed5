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
	id           string         // Of the caller's attempt.
	key          quarantine.Key // The same for each try at the same request.
	method       string
	target       string // The path and query, as they came.
	header       http.Header
	host         string
	body         []byte
	catalog      *catalog.Catalog
	routeName    string
	route        *config.Route
	service      string
	organisation string
	rank         int
	arrived      time.Time
	deadline     time.Time // The caller's or the route's, whichever is first.
	retried      bool      // Its caller has most likely been refused before.
	work         route.Work
	lastEvent    string             // What a stream has been shown up to.
	version      uint64             // Of the first part of the answer; every further part must be of it.
	attempts     int                // So far.
	next         *attempt           // Where the stream goes on, if that has begun already.
	predicted    time.Duration      // Until the first event, at the replica that was last chosen,
	wait         time.Duration      // of it before its own work begins,
	reportAge    time.Duration      // and how old its agent's report was; -1 ms without one.
	holding      string             // What replicas were known to hold, where none could be chosen.
	held         uint64             // The version that the replica which was last chosen was believed to hold,
	boundIn      time.Duration      // and how long requests could yet begin on it when it was chosen; zero if for ever.
	listedAt     mirror.Position    // The position of its entry,
	seen         route.Seen         // and how all replicas stood then.
	limit        route.Limit        // That the replica was believed to have to which it was last sent,
	sent         int                // and how many this gateway had sent there of late, this one among them.
	struck       int                // The highest round of sends after which the replica may have ended, in this try.
	known        quarantine.Verdict // Of the request, when it was last asked for.
	trail        []string           // What became of each send, for the log.
}

// identity returns what tells this request from others, whoever sends it on: its path, who
// asks and what.
func (rq *request) identity() quarantine.Key {
	return quarantine.KeyOf([]byte(rq.organisation), []byte(rq.target), rq.body)
}

// repeatable reports whether the request may run more than once.
func (rq *request) repeatable() bool { return rq.route.Repeatable() }

// engine reports whether the service runs a model.
func (rq *request) engine() bool { return rq.catalog.Config.Services[rq.service].Model != "" }

// ask is what a replica is chosen for.
func (rq *request) ask(g *Relay, exclude map[string]bool) route.Ask {
	return route.Ask{
		Service: rq.service, Work: rq.work, Version: rq.version, Exclude: exclude, Rank: rq.rank,
		Bound: func(v uint64) time.Time { return g.bound(rq, v) },
		Until: func(v uint64) time.Time { return g.until(rq, v) },
	}
}

// workOf reads how much a request asks for. What it does not say is taken to be
// as usual.
func workOf(d *Dialect, h http.Header, e config.Engine) route.Work {
	if e.ReadRate <= 0 {
		return route.Work{}
	}
	w := route.Work{Prompt: e.UsualPrompt, Answer: e.UsualAnswer}
	prompt, most, _ := strings.Cut(h.Get(d.Tokens), ",")
	if n, err := strconv.Atoi(strings.TrimSpace(prompt)); err == nil && n >= 0 {
		w.Prompt = n
	}
	bound, err := strconv.Atoi(strings.TrimSpace(most))
	if guess, gerr := strconv.Atoi(h.Get(d.AnswerGuess)); gerr == nil && guess > 0 {
		w.Answer = guess
	}
	if err == nil && bound > 0 {
		w.Answer, w.Most = min(w.Answer, bound), bound
	}
	return w
}

// hopHeaders concern one connection and are never passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// dropHop removes what concerns one connection, and what its Connection header
// names.
func dropHop(h http.Header) {
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			if name = strings.TrimSpace(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// passedOn returns the headers that every send of the request shares.
func (rq *request) passedOn(d *Dialect, in http.Header) http.Header {
	h := in.Clone()
	dropHop(h)
	for _, name := range []string{
		"Authorization", "Content-Length", "Expect", d.Organisation, d.Expect, d.ExpectVersion, d.Rank, d.Incarnation, d.NotRun,
		d.Signature,
	} {
		h.Del(name)
	}
	if rq.organisation != "" {
		h.Set(d.Organisation, rq.organisation)
	}
	if rq.engine() {
		const most = 9
		h.Set(d.Rank, strconv.Itoa(max(0, min(most, rq.rank))))
	}
	return h
}
