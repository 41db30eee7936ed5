package relay

import (
	"net/http"
	"strings"
	"time"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/quarantine"
)

// suspectWindow is how long after the first data of an answer the termination of its
// replica is still attributed to the request. A request that crashes a replica does so soon
// after it starts, and most requests that are lost with a replica have been receiving their
// answer for longer.
const suspectWindow = time.Second

// minRunTime is how long a request must have been in progress on a reused connection to be a
// suspect. If the replica terminated shortly before, the connection breaks as soon as the
// request is sent, and the request has not run. Without this minimum, when all replicas
// terminate at once, one request would get strikes for two of them.
const minRunTime = 30 * time.Millisecond

// isQuarantined looks up a request before it is sent and reports whether it must not be sent.
func (g *Relay) isQuarantined(now time.Time, rq *request) bool {
	status := g.suspects.Lookup(now, rq.key)
	if status.Epoch != rq.quarantineStatus.Epoch {
		rq.struckRound = 0 // The request was cleared in the meantime.
	}
	rq.quarantineStatus = status
	if !rq.quarantineStatus.Quarantined() {
		return false
	}
	g.Metrics.Event("quarantined", "")
	telemetry.Log("request_quarantined", "id", rq.id, "key", rq.key, "parts", strings.Join(rq.parts, ","), "route", rq.routeName, "organisation", rq.organisation,
		"round", rq.quarantineStatus.Round, "replicas", rq.quarantineStatus.Replicas(), "last_ended_ago", rq.quarantineStatus.SinceLastStrike(now), "sends", rq.attempts, "for", rq.quarantineStatus.Until.Sub(now))
	return true
}

// nextStrikeRound returns the strike round that applies if a replica terminates during the
// next attempt. Suspected terminations in this request's own attempts count before they are
// confirmed.
func (rq *request) nextStrikeRound() int { return 1 + max(rq.quarantineStatus.Round, rq.struckRound) }

// updateSuspects updates the quarantine state after an attempt. A request that was served is
// cleared. One whose connection broke becomes a suspect if the replica has terminated; this is
// checked in the background, unless the strike could quarantine the request.
func (a *attempt) updateSuspects(res dispatch.Result) {
	switch {
	case res.Outcome == dispatch.Done && a.status < http.StatusMultipleChoices:
		a.recordServed()
	case res.Reason == fault.ConnectionLost || res.Reason == fault.Truncated:
		a.connectionLost(time.Now())
	}
}

// connectionLost handles a connection that broke at now.
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

// mayBeCause reports whether the request can be the cause if its replica has terminated. Its
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

// recordStrike records the termination of a replica whose connection broke at the given time,
// if it has terminated, and a strike against the request if it is a suspect.
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
	telemetry.Log("replica_ended_under_request", "id", rq.id, "key", rq.key, "parts", strings.Join(rq.parts, ","), "route", rq.routeName, "organisation", rq.organisation,
		"replica", a.to.ID, "addr", a.to.Addr, "round", a.round, "sent_ago", time.Since(a.startedAt), "answered", !a.firstAt.IsZero(),
		"known_round", v.Round, "replicas", v.Replicas(), "quarantined", v.Quarantined())
}
