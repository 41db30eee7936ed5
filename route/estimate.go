package route

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/poststand/poststand/config"
)

// staleCost is the share of the predicted latency that is added for a replica whose load was not
// read, compared with those whose load was, if its report is old. Of replicas with reports older
// than half a second, every fourth answers more than 200 ms later than predicted.
const staleCost = 0.75

// estimate is what a request is predicted to meet at a replica.
type estimate struct {
	replica   *Replica
	predicted time.Duration // Time to the first event.
	wait      time.Duration // The part of it before the replica starts on the request.
	cost      time.Duration // Time to the first event plus penalties, to compare replicas.
}

// estimate returns what a request is predicted to meet at a replica.
func (t *Table) estimate(now time.Time, r *Replica, e config.Engine, crit Criteria) estimate {
	out := estimate{replica: r, predicted: r.expectedLatency(now, e, crit.Workload), wait: r.expectedLatency(now, e, Workload{})}
	stale := crit.Draw.hasAnswer() && !r.isFresh(now)
	if stale {
		out.predicted = max(out.predicted, r.latencyAtReport(now, e, crit.Workload))
		out.wait = max(out.wait, r.latencyAtReport(now, e, Workload{}))
	}
	out.cost = out.predicted
	if stale {
		out.cost += time.Duration(staleCost * r.staleness(now) * float64(out.predicted))
	}
	if r.Hall != t.Hall {
		out.cost += otherHallCost
	}
	if now.Before(r.slowLinkUntil) {
		out.cost += slowLinkCost
	}
	if t.needsPermit(now, r) {
		out.cost += permitCost
	}
	out.cost += time.Duration(switchDelayCost * float64(r.switchDelay(now, e, crit.Workload)))
	return out
}

// latencyAtReport is expectedLatency with the full load of the last report, which otherwise counts
// less the older it is.
func (r *Replica) latencyAtReport(now time.Time, e config.Engine, w Workload) time.Duration {
	if !r.hasReport(now) {
		return 0
	}
	return time.Duration(float64(r.predictLatency(r.Report.ReceivedAt, e, w)) * r.latencyRatio)
}

// staleness returns how uncertain the load of a replica is by the age of its report, from 0 for a
// new one to 1 for none.
func (r *Replica) staleness(now time.Time) float64 {
	if !r.hasReport(now) {
		return 1
	}
	return 1 - math.Exp2(-float64(r.reportAge(now))/float64(agentReportHalfLife))
}

// best returns the estimate for the best of rs. One with a longer wait than crit.MaxWait is worse
// than any without.
func (t *Table) best(now time.Time, e config.Engine, crit Criteria, rs []*Replica) estimate {
	var best estimate
	for _, r := range rs {
		c := t.estimate(now, r, e, crit)
		long, bestLong := crit.isTooLong(c.wait), crit.isTooLong(best.wait)
		if best.replica == nil || long == bestLong && c.cost < best.cost || !long && bestLong {
			best = c
		}
	}
	return best
}

// isTooLong reports whether a request would be refused for its wait.
func (c *Criteria) isTooLong(wait time.Duration) bool {
	return c.MaxWait > 0 && c.Draw.hasAnswer() && wait > c.MaxWait
}

// withRoom draws some of cs where the wait is not too long, by reports. Those of other halls are
// considered before the gateway refuses for lack of room in its own. They are drawn at random,
// since all gateways of a full hall consider the same reports.
func (t *Table) withRoom(now time.Time, e config.Engine, crit Criteria, cs []*Replica) []*Replica {
	var out []*Replica
	for _, i := range rand.Perm(len(cs)) {
		r := cs[i]
		if s, drawn := crit.Draw.states[r]; drawn && s == notAnswered || rand.Float64() >= r.rampUp(now) {
			continue
		}
		if crit.isTooLong(t.estimate(now, r, e, crit).wait) {
			continue
		}
		if out = append(out, r); len(out) == sampledInHall+sampledElsewhere {
			break
		}
	}
	return out
}
