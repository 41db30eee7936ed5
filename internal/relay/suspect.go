package relay

import (
	"net/http"
	"time"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/quarantine"
)

// settledAfter is how long a request has been answered when its replica's end is no longer
// put down to it: what ends a replica that begins to run it does so soon. Most requests
// that are lost with a replica have been answered for longer.
const settledAfter = time.Second

// leastRun is how long a request must have been under way on a connection that was used
// before. A replica that ended a moment ago breaks it as soon as the request comes, which
// has not run: where all replicas end at once, a request was else lost with two of them.
const leastRun = 30 * time.Millisecond

// quarantined asks what is known of a request before it is sent, and reports whether it
// must not be.
func (g *Relay) quarantined(now time.Time, rq *request) bool {
	known := g.suspects.Ask(now, rq.key)
	if known.Epoch != rq.known.Epoch {
		rq.struck = 0 // It was cleared meanwhile.
	}
	rq.known = known
	if !rq.known.Quarantined() {
		return false
	}
	g.Metrics.Event("quarantined", "")
	telemetry.Log("request_quarantined", "id", rq.id, "key", rq.key, "route", rq.routeName, "organisation", rq.organisation,
		"round", rq.known.Round, "replicas", rq.known.Replicas(), "last_ended_ago", rq.known.LastAgo(now), "sends", rq.attempts, "for", rq.known.Until.Sub(now))
	return true
}

// nextRound is the round of the strike if a replica ends under the next send. What this
// try has seen counts before it is known for sure.
func (rq *request) nextRound() int { return 1 + max(rq.known.Round, rq.struck) }

// settle learns from how a send ended: a request that was served is cleared, and one that
// was lost with its connection is suspect if the replica ended. Whether it has is found out
// while the request goes on, unless this may be the strike that quarantines it.
func (a *attempt) settle(res dispatch.Result) {
	switch {
	case res.Outcome == dispatch.Done && a.status < http.StatusMultipleChoices:
		a.served()
	case res.Reason == fault.Closed || res.Reason == fault.Truncated:
		a.lost(time.Now())
	}
}

// lost takes note of a connection that broke at now.
func (a *attempt) lost(now time.Time) {
	suspect := a.mayBeCause(now)
	if suspect {
		a.rq.struck = max(a.rq.struck, a.round)
	}
	if suspect && a.round >= quarantine.Few {
		a.strike(now, suspect)
		return
	}
	go a.strike(now, suspect)
}

// mayBeCause reports whether the request can be why its replica ended, if it has: its
// connection broke at now.
func (a *attempt) mayBeCause(now time.Time) bool {
	if a.conn == nil || a.conn.used > 0 && now.Sub(a.began) < leastRun {
		return false
	}
	return a.firstAt.IsZero() || now.Sub(a.firstAt) < settledAfter
}

func (a *attempt) served() {
	if v := a.relay.suspects.Served(time.Now(), a.rq.key); v.Served {
		telemetry.Log("suspect_served", "id", a.rq.id, "key", a.rq.key, "replica", a.to.ID, "round", v.Round, "replicas", v.Replicas())
	}
}

// strike takes note of a replica whose connection broke at a time, if it has ended.
func (a *attempt) strike(at time.Time, suspect bool) {
	g, rq := a.relay, a.rq
	if !g.endings.ended(a.to.ID, a.to.Addr) {
		return
	}
	g.sawEnd(a.to.ID, at)
	if !suspect {
		return
	}
	v := g.suspects.Struck(at, rq.key, a.epoch, quarantine.Strike{Replica: a.to.ID, Round: a.round, At: at})
	g.Metrics.Event("ended_under_request", "")
	telemetry.Log("replica_ended_under_request", "id", rq.id, "key", rq.key, "route", rq.routeName, "organisation", rq.organisation,
		"replica", a.to.ID, "addr", a.to.Addr, "round", a.round, "sent_ago", time.Since(a.began), "answered", !a.firstAt.IsZero(),
		"known_round", v.Round, "replicas", v.Replicas(), "quarantined", v.Quarantined())
}
