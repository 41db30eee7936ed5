package relay

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/quarantine"
)

// suspectWindow is how long after the first data of an answer the termination of its replica is
// still attributed to the request. A request that crashes a replica does so when its answer
// begins. One whose replica has run on for this long did no harm.
const suspectWindow = 500 * time.Millisecond

// A replica that terminated before a request was sent on a reused connection has not run it, and the
// connection breaks as soon as it is used. Without this distinction, when all replicas terminate at
// once, one request would get strikes for two of them. So either the connection was seen open at most
// maxSeenOpenAge before, or the request was in progress for minRunTime.
const (
	minRunTime     = 30 * time.Millisecond
	maxSeenOpenAge = 25 * time.Millisecond // The attempt may have waited for a processor in between.
)

// struckRound is the highest strike round of the attempts at a request after which a replica may
// have terminated, for one of its keys. Such a termination counts before it is confirmed.
type struckRound struct {
	epoch uint64 // Epoch of the key in which the attempt was sent.
	round int    // 0 for none.
}

// isQuarantined judges a request before it is sent and reports whether it must not be sent.
func (g *Relay) isQuarantined(now time.Time, rq *request) bool {
	rq.verdict = g.suspects.Judge(now, rq.keys, rq.verdict.Trial)
	if rq.verdict.Refused {
		g.logQuarantined(now, rq, &rq.verdict, rq.attempts)
	}
	return rq.verdict.Refused
}

func (g *Relay) logQuarantined(now time.Time, rq *request, v *quarantine.Verdict, sends int) {
	g.Metrics.Event("quarantined", keyKind(v.Cause))
	cause := &v.Statuses[v.Cause]
	telemetry.Log("request_quarantined", "id", rq.id, "key", rq.keys[v.Cause], "part", rq.partOf(v.Cause), "parts", strings.Join(rq.parts, ","),
		"route", rq.routeName, "organisation", rq.organisation, "round", cause.Round, "replicas", cause.Replicas(),
		"last_ended_ago", cause.SinceLastStrike(now), "sends", sends, "for", v.Until.Sub(now))
}

// partOf returns the ID of the part that a key of the request stands for; empty for the request
// as a whole.
func (rq *request) partOf(key int) string {
	if key == 0 {
		return ""
	}
	return rq.parts[key-1]
}

// keyKind names what a key of a request stands for, for metrics.
func keyKind(key int) string {
	if key == 0 {
		return "request"
	}
	return "part"
}

// judge judges the request again right before it is sent, since it may have waited, and sets what
// is recorded if the replica terminates.
func (a *attempt) judge(now time.Time) quarantine.Verdict {
	g, rq := a.relay, a.rq
	v := g.suspects.Judge(now, rq.keys, a.onTrial)
	if v.Refused {
		g.logQuarantined(now, rq, &v, a.number)
		return v
	}
	a.strikes = make([]quarantine.KeyStrike, len(rq.keys))
	for i, k := range rq.keys {
		st := &v.Statuses[i]
		round := st.Round
		if a.struck[i].epoch == st.Epoch {
			round = max(round, a.struck[i].round)
		}
		a.strikes[i] = quarantine.KeyStrike{Key: k, Epoch: st.Epoch, Strike: quarantine.Strike{Replica: a.to.ID, Round: round + 1}}
	}
	if v.Trial {
		telemetry.Log("quarantine_trial", "id", rq.id, "key", rq.keys[v.Cause], "part", rq.partOf(v.Cause), "replica", a.to.ID, "round", v.Statuses[v.Cause].Round)
	}
	return v
}

// updateSuspects updates the quarantine state after an attempt. One whose connection broke becomes
// a suspect if the replica has terminated; this is checked in the background, unless the strike
// could quarantine the request.
func (a *attempt) updateSuspects(res dispatch.Result) {
	if res.Outcome == dispatch.Done {
		a.complete.Store(true)
		return
	}
	if a.harmCheck != nil {
		a.harmCheck.Stop()
	}
	if res.Reason == fault.ConnectionLost || res.Reason == fault.Truncated {
		a.connectionLost(time.Now())
	}
}

// connectionLost handles a connection that broke at now.
func (a *attempt) connectionLost(now time.Time) {
	if !a.mayBeCause(now) {
		go a.recordEnd(now)
		return
	}
	wait := false
	for i, s := range a.strikes {
		a.rq.struck[i] = struckRound{s.Epoch, s.Round}
		wait = wait || s.Round >= quarantine.MinStrikes
	}
	if wait {
		a.recordStrikes(now)
		return
	}
	go a.recordStrikes(now)
}

// mayBeCause reports whether the request can be the cause if its replica has terminated. Its
// connection broke at now.
func (a *attempt) mayBeCause(now time.Time) bool {
	if a.conn == nil || a.conn.uses > 0 && now.Sub(a.sentAt) < minRunTime && a.sentAt.Sub(a.conn.seenOpenAt) > maxSeenOpenAge {
		return false
	}
	return a.firstAt.IsZero() || now.Sub(a.firstAt) < suspectWindow
}

// scheduleHarmCheck is called when the first data has arrived.
func (a *attempt) scheduleHarmCheck() {
	if a.status < http.StatusMultipleChoices {
		a.harmCheck = time.AfterFunc(suspectWindow, a.checkHarm)
	}
}

// checkHarm records, suspectWindow after the first data, whether the replica has terminated. Its
// connection is not broken, but if the answer is complete that proves nothing: an answer may end
// when its replica crashes.
func (a *attempt) checkHarm() {
	g, rq, now := a.relay, a.rq, time.Now()
	if a.complete.Load() && (g.suspects.HasTerminated(a.to.ID, a.firstAt) || g.anySuspect(now, rq) && g.endProbes.ended(a.to.ID, a.to.Addr, a.firstAt)) {
		a.recordStrikes(now)
		return
	}
	var notices []endNotice
	for k, st := range g.suspects.RecordSuccess(now, a.firstAt, rq.keys...) {
		telemetry.Log("suspect_served", "id", rq.id, "key", k, "replica", a.to.ID, "round", st.Round, "replicas", st.Replicas())
		if len(st.Strikes) > 1 { // Others may quarantine it at the next strike.
			notices = append(notices, endNotice{key: k})
		}
	}
	g.endQueue.add(notices...)
}

// anySuspect reports whether there are strikes against any key of the request.
func (g *Relay) anySuspect(now time.Time, rq *request) bool {
	for _, k := range rq.keys {
		if st := g.suspects.Lookup(now, k); len(st.Strikes) > 0 {
			return true
		}
	}
	return false
}

// recordEnd records the termination of a replica whose connection broke at the given time, if it
// has terminated.
func (a *attempt) recordEnd(at time.Time) {
	if a.relay.endProbes.ended(a.to.ID, a.to.Addr, at) {
		a.relay.recordEnd(a.to.ID, at)
	}
}

// recordStrikes records the termination of the replica at the given time, if it has terminated,
// and a strike against each key of the request.
func (a *attempt) recordStrikes(at time.Time) {
	g, rq := a.relay, a.rq
	if !g.endProbes.ended(a.to.ID, a.to.Addr, at) {
		return
	}
	var notices []endNotice
	if g.suspects.RecordTermination(time.Now(), a.to.ID, at) {
		notices = append(notices, endNotice{end: replicaEnd{a.to.ID, at}})
	}
	strikes := slices.Clone(a.strikes)
	for i := range strikes {
		strikes[i].At = at
		notices = append(notices, endNotice{key: strikes[i].Key})
	}
	statuses := g.suspects.RecordStrikes(at, strikes)
	g.endQueue.add(notices...)
	g.Metrics.Event("ended_under_request", "")
	telemetry.Log("replica_ended_under_request", "id", rq.id, "key", rq.key, "parts", strings.Join(rq.parts, ","), "route", rq.routeName, "organisation", rq.organisation,
		"replica", a.to.ID, "addr", a.to.Addr, "round", strikes[0].Round, "sent_ago", time.Since(a.startedAt), "answered", !a.firstAt.IsZero(),
		"known_round", statuses[0].Round, "replicas", statuses[0].Replicas(), "quarantined", statuses[0].Quarantined(), "of_parts", describeParts(rq.parts, statuses[1:]))
}

// describeParts describes the strikes against parts of prompts, for log lines.
func describeParts(parts []string, statuses []quarantine.Status) string {
	var out []string
	for i, part := range parts {
		st := &statuses[i]
		state := "free"
		if st.Quarantined() {
			state = "quarantined"
		}
		out = append(out, fmt.Sprintf("%s=%d/%s", part, len(st.Strikes), state))
	}
	return strings.Join(out, ",")
}
