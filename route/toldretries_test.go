package route

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fleet"
)

// Callers refused between two versions come back while replicas can serve them. Told a fixed wait
// instead, most came back while no replica held the new version, or all within a second after the
// first one did.
func TestToldRetries(t *testing.T) {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(ms ...int) (out []time.Time) {
		for _, n := range ms {
			out = append(out, start.Add(time.Duration(n)*time.Millisecond))
		}
		return out
	}
	for _, tc := range []struct {
		name  string
		told  []time.Time
		ready []time.Time
		rate  float64
		ranks []int
		want  []time.Time
	}{
		{"spread by what one replica serves", nil, at(1000), 10, []int{0, 0, 0}, at(1000, 1200, 1400)},
		{"faster with a second replica", nil, at(1400, 1000), 10, []int{0, 0, 0, 0, 0}, at(1000, 1200, 1400, 1500, 1600)},
		{"a less urgent rank has fewer places", nil, at(1000), 10, []int{1, 1, 1}, at(1000, 1400, 1800)},
		{"a more urgent one comes before those told earlier", nil, at(1000), 10, []int{1, 1, 1, 0}, at(1000, 1400, 1800, 1200)},
		{"a less urgent one does not come before those told earlier", nil, at(1000), 10, []int{0, 0, 1}, at(1000, 1200, 1800)},
		{"retries whose time has passed do not count", at(-300, -200, 1000), at(1000), 10, []int{0}, at(1200)},
		{"those that would come too late do not count", nil, at(1000), 10, []int{2, 2, 2, 0, 0}, at(1000, 1800, 2000, 1200, 1400)},
		{"a rank below 0 is the most urgent", nil, at(1000), 10, []int{-1, -1}, at(1000, 1200)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			x := toldRetries{told: tc.told}
			var got []time.Time
			for _, rank := range tc.ranks {
				got = append(got, x.next(start, start.Add(2*time.Second), tc.ready, tc.rate, rank, 0).Round(time.Millisecond))
			}
			is.New(t).Equal(got, tc.want)
		})
	}
}

// The number of retries kept is limited.
func TestToldRetriesAreBounded(t *testing.T) {
	is := is.New(t)
	var x toldRetries
	now := time.Now()
	for range maxToldRetries + 10 {
		is.True(!x.next(now, now.Add(maxRetryWait), []time.Time{now.Add(time.Second)}, 1e6, 0, 0.5).Before(now))
	}
	is.Equal(len(x.told), maxToldRetries)
}

// Only replicas that are known to be about to switch versions count.
func TestRetryAfterChange(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	engine := config.Engine{PrefillRate: 1000, Slots: 10, MeanAnswerTokens: 100, StepTime: 10 * time.Millisecond}
	soon := now.Add(time.Second)
	for _, tc := range []struct {
		name   string
		engine config.Engine
		report AgentReport
		seen   Availability
		want   time.Time // Zero if no time is known.
	}{
		{"switches in a second", engine, AgentReport{Version: 2, ChangeAt: soon, ReceivedAt: now}, Availability{}, soon.Add(switchTime)},
		{"is switching", engine, AgentReport{Version: 2, Changing: true, ReceivedAt: now}, Availability{}, now.Add(switchTime)},
		{"is late", engine, AgentReport{Version: 2, ChangeAt: now.Add(-time.Millisecond), ReceivedAt: now}, Availability{}, time.Time{}},
		{"does not switch", engine, AgentReport{Version: 2, ReceivedAt: now}, Availability{}, time.Time{}},
		{"has an old report", engine, AgentReport{Version: 2, ChangeAt: soon, ReceivedAt: now.Add(-2 * agentReportTTL)}, Availability{}, time.Time{}},
		{"an engine that is not described", config.Engine{}, AgentReport{Version: 2, ChangeAt: soon, ReceivedAt: now}, Availability{}, time.Time{}},
		{"another replica backs off", engine, AgentReport{Version: 2, ChangeAt: soon, ReceivedAt: now}, Availability{BackAt: now}, time.Time{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := &Replica{Upstream: fleet.Upstream{Incarnation: fleet.Incarnation{ID: "r"}, Engine: true}, Report: tc.report, latencyRatio: 1}
			table := &Table{services: map[string][]*Replica{"s": {r}}, engines: map[string]config.Engine{"s": tc.engine}}
			crit := Criteria{Service: "s", LatestStart: func(uint64) time.Time { return now }}
			got, ok := table.RetryAfterChange(now, now.Add(6*time.Second), crit, 0, tc.seen, 50, 0)
			is := is.New(t)
			is.Equal(got, tc.want)
			is.Equal(ok, !tc.want.IsZero())
		})
	}
}

// Gateways tell refused callers times independently of one another. Together the retries must not
// exceed what the replicas that have switched can serve. The scenario is an outage of 3.2 s between
// two versions, with 99 replicas that switch within 1.2 s.
func TestRetriesOfAllGatewaysFit(t *testing.T) {
	const (
		gateways, replicas  = 50, 99
		refusedPerSecond    = 820
		outage, switchesFor = 3200 * time.Millisecond, 1200 * time.Millisecond
		bin                 = 100 * time.Millisecond
		ranks               = 3
		callersWait         = 6 * time.Second
	)
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	first := start.Add(outage)
	var ready []time.Time
	for i := range replicas {
		ready = append(ready, first.Add(switchesFor*time.Duration(i)/replicas))
	}
	rate := replicaRate(config.Engine{Slots: 12, PrefillRate: 20000, MeanAnswerTokens: 90, StepTime: 9 * time.Millisecond})
	xs := make([]toldRetries, gateways)
	told, toldBefore := map[time.Duration]float64{}, map[time.Duration]float64{} // By bin after the first replica is ready.
	early, earlyBefore, n := 0, 0, int(refusedPerSecond*outage.Seconds())
	var waits [ranks]time.Duration
	for i := range n {
		now := start.Add(outage * time.Duration(i) / time.Duration(n))
		at := xs[random.IntN(gateways)].next(now, now.Add(callersWait), slices.Clone(ready), rate/gateways, i%ranks, random.Float64())
		before := now.Add(1400*time.Millisecond + time.Duration(random.Int64N(int64(700*time.Millisecond)))) // The fixed wait.
		waits[i%ranks] += at.Sub(first) / time.Duration(n/ranks)
		told[at.Sub(first)/bin]++
		toldBefore[before.Sub(first)/bin]++
		if at.Before(first) {
			early++
		}
		if before.Before(first) {
			earlyBefore++
		}
	}
	most, mostBefore := 0.0, 0.0 // Retries in a bin, as a share of the bin's capacity.
	for b := range (switchesFor + time.Second) / bin {
		capacity := 0.0
		for _, r := range ready {
			capacity += rate * max(0, min(bin, first.Add((b+1)*bin).Sub(r))).Seconds()
		}
		most, mostBefore = max(most, told[b]/capacity), max(mostBefore, toldBefore[b]/capacity)
		is.True(told[b] <= 0.75*capacity+3) // In the first bin few retries fit, and one is a large share.
	}
	t.Logf("most in %s: %.2f of the capacity, before %.2f; before the first replica is ready: %d, before %d, of %d; mean time after it by rank, at most the caller's deadline: %v",
		bin, most, mostBefore, early, earlyBefore, n, waits)
	is.Equal(early, 0)
	is.True(waits[0] < waits[1] && waits[1] < waits[2])
}
