package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/poststand/poststand/internal/times"
	"github.com/poststand/poststand/rendezvous"
)

// Parameters of draws.
const (
	loadSubset = 12 // Replicas of a service that one gateway reads the load of.
	drawSize   = 3  // Replicas drawn for one request.
	// loadReadTTL is how long a load that was read is not read again.
	loadReadTTL = 20 * time.Millisecond
	// freshFor is how long a load that was read counts as fresh: until the choice that it was read
	// for, which may wait for slower agents.
	freshFor = 2 * loadReadTTL
	// agentSampleInterval is the interval at which agents read the load that they report. That of a
	// report may be this much older than the report.
	agentSampleInterval = 100 * time.Millisecond
	// minCoverage is the number of gateways whose subsets must contain a replica on average.
	// With fewer, too many replicas are in no subset at all.
	minCoverage = 3
)

// Draw is a set of replicas of the gateway's own hall whose load is read right before a choice
// among them. It belongs to one choice and is not safe for concurrent use.
type Draw struct {
	Queries []LoadQuery // The replicas whose agents are to be queried.

	states map[*Replica]drawState // Of all replicas that were drawn.
	subset []*Replica
	sparse bool // Many replicas of the hall are in no gateway's subset.
}

// drawState says what is known of the load of a replica that was drawn.
type drawState int

const (
	notAnswered drawState = iota
	reportOnly            // Its agent cannot be queried, so that only reports are known.
	answered
)

// LoadQuery is a replica whose agent is to be queried.
type LoadQuery struct {
	ID   string
	Addr string

	replica *Replica
	// ownAtQuery is the number of this gateway's requests there when the query was made: what it
	// sends there later may not be part of the answer.
	ownAtQuery int
}

// Draw draws the replicas whose load is to be read for a request, from those of this gateway's
// subset that could take it. gateways is the number of gateways in the hall. The result is nil if
// there is no such replica.
func (t *Table) Draw(now time.Time, crit Criteria, gateways int) *Draw {
	t.mu.Lock()
	defer t.mu.Unlock()
	crit.readsLoad = true
	ranking := t.ranking(crit.Service)
	subset := t.subset(now, ranking, crit)
	d := &Draw{states: map[*Replica]drawState{}, subset: subset, sparse: gateways*loadSubset < minCoverage*len(ranking)}
	var cs []*Replica
	for _, r := range subset {
		if !r.noQueryUntil.After(now) {
			cs = append(cs, r)
		}
	}
	if crit.AvoidPermits {
		cs = t.withoutPermits(now, cs)
	}
	for _, i := range rand.Perm(len(cs))[:min(drawSize, len(cs))] {
		r := cs[i]
		switch {
		case now.Sub(r.loadReadAt) < loadReadTTL:
			d.states[r] = answered
		case r.reportOnlyUntil.After(now):
			d.states[r] = reportOnly
		default:
			d.states[r] = notAnswered
			d.Queries = append(d.Queries, LoadQuery{r.ID, r.Addr, r, r.prefilling + r.decoding})
		}
	}
	if len(d.states) == 0 {
		return nil
	}
	return d
}

// subset returns the replicas whose load the gateway reads for a request: the first ones of the
// ranking that could take it. While replicas of the hall switch versions, others take their places.
func (t *Table) subset(now time.Time, ranking []*Replica, crit Criteria) []*Replica {
	var out []*Replica
	for _, r := range ranking {
		if len(out) == loadSubset {
			break
		}
		if r.Engine && t.eligibility(now, r, crit) == usable {
			out = append(out, r)
		}
	}
	return out
}

// ranking returns the replicas of a service in the gateway's hall in the gateway's rendezvous order.
// It stays the same until the list of replicas changes, so that the gateway keeps connections to
// few agents. The caller holds t.mu.
func (t *Table) ranking(service string) []*Replica {
	if rs, ok := t.rankings[service]; ok {
		return rs
	}
	var addrs []string
	for _, r := range t.services[service] {
		if r.Hall == t.Hall && r.leavingSince.IsZero() && r.delistedAt.IsZero() && t.byAddr[r.Addr] == r {
			addrs = append(addrs, r.Addr)
		}
	}
	var rs []*Replica
	for _, addr := range rendezvous.Rank(t.Gateway, addrs) {
		rs = append(rs, t.byAddr[addr])
	}
	if t.rankings == nil {
		t.rankings = map[string][]*Replica{}
	}
	t.rankings[service] = rs
	return rs
}

// RecordLoad stores the answer to a query of the draw.
func (t *Table) RecordLoad(d *Draw, q LoadQuery, rep AgentReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := q.replica
	d.states[r] = answered
	if t.byAddr[q.Addr] != r || rep.ReceivedAt.Before(r.Report.ReceivedAt) {
		return
	}
	r.update(rep)
	r.loadReadAt, r.ownAtReport = rep.ReceivedAt, q.ownAtQuery
}

// RecordNoLoad records that an agent did not answer a query, and is not to be queried until a time.
func (t *Table) RecordNoLoad(q LoadQuery, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q.replica.noQueryUntil = times.Later(q.replica.noQueryUntil, until)
}

// RecordReportOnly records that an agent does not know the queries, and is not to be queried until
// a time. Meanwhile its replica is chosen by reports.
func (t *Table) RecordReportOnly(d *Draw, q LoadQuery, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d.states[q.replica] = reportOnly
	q.replica.reportOnlyUntil = until
}

// hasAnswer reports whether the load of any of the replicas is known. A nil draw has none.
func (d *Draw) hasAnswer() bool {
	if d == nil {
		return false
	}
	for _, s := range d.states {
		if s == answered {
			return true
		}
	}
	return false
}

// split returns those of cs that were drawn and may be chosen, in random order since many are
// equally good, and the rest, which may be sampled by reports: replicas of other halls and, where
// many replicas are in no gateway's subset, those outside this gateway's. If no drawn one may be
// chosen, the rest are all but those whose agents did not answer.
func (d *Draw) split(hall string, cs []*Replica) (drawn, rest []*Replica) {
	var local []*Replica
	for _, r := range cs {
		if r.Hall != hall {
			rest = append(rest, r)
			continue
		}
		s, ok := d.states[r]
		switch {
		case ok && s != notAnswered:
			drawn = append(drawn, r)
		case ok:
		case d.sparse && !slices.Contains(d.subset, r):
			rest = append(rest, r)
		default:
			local = append(local, r)
		}
	}
	if len(drawn) == 0 {
		rest = append(rest, local...)
	}
	rand.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn, rest
}

// isFresh reports whether the replica's load was read right before now.
func (r *Replica) isFresh(now time.Time) bool {
	return !r.loadReadAt.IsZero() && now.Sub(r.loadReadAt) < freshFor
}
