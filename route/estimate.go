package route

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/poststand/poststand/config"
)

// staleCost is the share of the predicted latency that is added to the cost of a replica with no
// report, when it is compared with replicas whose load was just read. With a report, the share is
// lower, by staleness. The least of several uncertain predictions is too low on average.
const staleCost = 0.3

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
		l := t.expectedLoad(now, r)
		out.predicted = max(out.predicted, time.Duration(r.latencyRatio*float64(r.latencyUnder(l, e, crit.Workload))))
		out.wait = max(out.wait, time.Duration(r.latencyRatio*float64(r.latencyUnder(l, e, Workload{}))))
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

// hallLoad is the mean load of the replicas of a service in a hall, by their reports.
type hallLoad struct {
	load
	expires time.Time
}

// hallLoadTTL is how long a mean is used. Reports of other halls arrive less often.
const hallLoadTTL = 100 * time.Millisecond

// meanLoad returns the mean load of a service's replicas in a hall.
func (t *Table) meanLoad(now time.Time, service, hall string) load {
	key := [2]string{service, hall}
	if m, ok := t.hallLoads[key]; ok && now.Before(m.expires) {
		return m.load
	}
	var sum load
	n := 0.0
	for _, r := range t.services[service] {
		if r.Hall == hall && r.hasReport(now) && r.Report.accepting() {
			n++
			sum.queued += float64(r.Report.Queued)
			sum.running += float64(r.Report.Running)
			sum.slowdown += r.slowdown()
		}
	}
	m := hallLoad{load{0, 0, 1}, now.Add(hallLoadTTL)}
	if n > 0 {
		m.load = load{sum.queued / n, sum.running / n, sum.slowdown / n}
	}
	if t.hallLoads == nil {
		t.hallLoads = map[[2]string]hallLoad{}
	}
	t.hallLoads[key] = m
	return m.load
}

// expectedLoad returns the load of a replica that is known by reports only. The older its report,
// the closer it is to the mean of its hall: a replica that was idle has been sent requests since,
// and one that was slow may have recovered.
func (t *Table) expectedLoad(now time.Time, r *Replica) load {
	mean := t.meanLoad(now, r.Service, r.Hall)
	if !r.hasReport(now) {
		return mean
	}
	atReport := r.reportedLoad(r.Report.ReceivedAt)
	s := r.staleness(now)
	blend := func(reported, mean float64) float64 { return (1-s)*reported + s*mean }
	return load{blend(atReport.queued, mean.queued), blend(atReport.running, mean.running), blend(atReport.slowdown, mean.slowdown)}
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

// isTooLong reports whether a wait is over MaxWait, where that applies.
func (c *Criteria) isTooLong(wait time.Duration) bool {
	return c.MaxWait > 0 && c.Draw.hasAnswer() && wait > c.MaxWait
}

// maxRoomEstimates bounds the replicas that withRoom considers for a request that would otherwise be
// refused. A service may have thousands, and requests that wait for room are tried many times a
// second.
const maxRoomEstimates = 64

// withRoom returns some of cs whose predicted wait is not too long, so that other halls are
// considered before a request is refused for lack of room. They are sampled at random, since all
// gateways of a full hall have the same reports.
func (t *Table) withRoom(now time.Time, e config.Engine, crit Criteria, cs []*Replica) []*Replica {
	var out []*Replica
	considered := 0
	for _, i := range rand.Perm(len(cs)) {
		r := cs[i]
		if s, drawn := crit.Draw.states[r]; drawn && s == notAnswered || rand.Float64() >= r.rampUp(now) {
			continue
		}
		if !crit.isTooLong(t.estimate(now, r, e, crit).wait) {
			out = append(out, r)
		}
		if considered++; considered == maxRoomEstimates || len(out) == sampledInHall+sampledElsewhere {
			break
		}
	}
	return out
}
