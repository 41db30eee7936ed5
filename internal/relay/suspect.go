package relay

import (
	"net/http"
	"time"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/quarantine"
)

// suspectWindow is how long a request has been answered when its replica's end is no longer
// put down to it: what ends a replica that begins to run it does so soon. Most requests
// that are lost with a replica have been answered for longer.
const suspectWindow = time.Second

// minRunTime is how long a request must have been under way on a connection that was used
// before. A replica that ended a moment ago breaks it as soon as the request comes, which
// has not run: where all replicas end at once, a request was else lost with two of them.
const minRunTime = 30 * time.Millisecond

// isQuarantined asks what is known of a request before it is sent, and reports whether it
// must not be.
func (g *Relay) isQuarantined(now time.Time, rq *request) bool {
	known := g.suspects.Lookup(now, rq.key)
	if known.Epoch != rq.verdict.Epoch {
		rq.struckRound = 0 // It was cleared meanwhile.
	}
	rq.verdict = known
	if !rq.verdict.Quarantined() {
		return false
	}
	g.Metrics.Event("quarantined", "")
	telemetry.Log("request_quarantined", "id", rq.id, "key", rq.key, "route", rq.routeName, "organisation", rq.organisation,
		"round", rq.verdict.Round, "replicas", rq.verdict.Replicas(), "last_ended_ago", rq.verdict.SinceLastStrike(now), "sends", rq.attempts, "for", rq.verdict.Until.Sub(now))
	return true
}

// nextStrikeRound is the round of the strike if a replica ends under the next send. What this
// try has seen counts before it is known for sure.
func (rq *request) nextStrikeRound() int { return 1 + max(rq.verdict.Round, rq.struckRound) }

// updateSuspects learns from how a send ended: a request that was served is cleared, and one that
// was lost with its connection is suspect if the replica ended. Whether it has is found out
// while the request goes on, unless this may be the strike that quarantines it.
func (a *attempt) updateSuspects(res dispatch.Result) {
	switch {
	case res.Outcome == dispatch.Done && a.status < http.StatusMultipleChoices:
		a.recordServed()
	case res.Reason == fault.Closed || res.Reason == fault.Truncated:
		a.connectionLost(time.Now())
	}
}

// connectionLost takes note of a connection that broke at now.
func (a *attempt) connectionLost(now time.Time) {
	suspect := a.mayBeCause(now)
	if suspect {
		a.rq.struckRound = max(a.rq.struckRound, a.round)
	}
	if suspect && a.round >= quarantine.MinStrikes {
		a.recordStrike(now, suspect)
		return
	}
	go a.recordStrike(now, suspect)
}

// mayBeCause reports whether the request can be why its replica ended, if it has: its
// connection broke at now.
func (a *attempt) mayBeCause(now time.Time) bool {
	if a.conn == nil || a.conn.uses > 0 && now.Sub(a.startedAt) < minRunTime {
		return false
	}
	return a.firstAt.IsZero() || now.Sub(a.firstAt) < suspectWindow
}

func (a *attempt) recordServed() {
	if v := a.relay.suspects.RecordSuccess(time.Now(), a.rq.key); v.Cleared {
		telemetry.Log("suspect_served", "id", a.rq.id, "key", a.rq.key, "replica", a.to.ID, "round", v.Round, "replicas", v.Replicas())
	}
}

// recordStrike takes note of a replica whose connection broke at a time, if it has ended.
func (a *attempt) recordStrike(at time.Time, suspect bool) {
	g, rq := a.relay, a.rq
	if !g.endProbes.ended(a.to.ID, a.to.Addr) {
		return
	}
	g.recordEnd(a.to.ID, at)
	if !suspect {
		return
	}
	v := g.suspects.RecordStrike(at, rq.key, a.epoch, quarantine.Strike{Replica: a.to.ID, Round: a.round, At: at})
	g.Metrics.Event("ended_under_request", "")
	telemetry.Log("replica_ended_under_request", "id", rq.id, "key", rq.key, "route", rq.routeName, "organisation", rq.organisation,
		"replica", a.to.ID, "addr", a.to.Addr, "round", a.round, "sent_ago", time.Since(a.startedAt), "answered", !a.firstAt.IsZero(),
		"known_round", v.Round, "replicas", v.Replicas(), "quarantined", v.Quarantined())
}
