package stack

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/poststand/poststand/internal/load"
	"github.com/poststand/poststand/internal/standin"
	"github.com/poststand/poststand/rendezvous"
	"github.com/poststand/poststand/route"
)

var (
	measure     = flag.Bool("measure", false, "print measurements of routing policies under load, in virtual time")
	measureOnly = flag.String("measure.only", "", "measure only this case")
)

// Parameters of a measured hall: 10 engines of 8 slots, which give an answer of 16 tokens in 190 ms.
const (
	measuredEngines = 10
	measuredTokens  = 16
	firstToken      = 30 * time.Millisecond
	perToken        = 10 * time.Millisecond
	slots           = 8
	// capacity is the number of requests per second that the hall can answer.
	capacity = float64(measuredEngines*slots) / (0.030 + measuredTokens*0.010)
)

// chooser is a routing policy: it chooses the upstream of a request.
type chooser func(r *route.Router, now time.Time, cs []*route.Upstream, q route.Query) *route.Upstream

func roundRobin() chooser {
	var n atomic.Int64
	return func(_ *route.Router, _ time.Time, cs []*route.Upstream, _ route.Query) *route.Upstream {
		return cs[int(n.Add(1))%len(cs)]
	}
}

func random() chooser {
	return func(_ *route.Router, _ time.Time, cs []*route.Upstream, _ route.Query) *route.Upstream {
		return cs[rand.IntN(len(cs))]
	}
}

// leastOfTwo chooses the less loaded of two random upstreams. It counts only the gateway's own
// requests and ignores prefixes.
func leastOfTwo() chooser {
	return func(_ *route.Router, _ time.Time, cs []*route.Upstream, _ route.Query) *route.Upstream {
		a, b := cs[rand.IntN(len(cs))], cs[rand.IntN(len(cs))]
		if b.InFlight < a.InFlight {
			return b
		}
		return a
	}
}

var policies = []struct {
	name   string
	choose func() chooser
}{
	{"poststand", func() chooser { return nil }},
	{"round_robin", roundRobin},
	{"random", random},
	{"least_of_two", leastOfTwo},
}

const measuredConfig = "limits: {deadline: 10s, max_deadline: 20s, key_window: 60s, queue: 400}\nweights: {window: 400ms}\n"

type measureCase struct {
	name       string
	slowEngine bool // One engine in ten is slower by a factor of 5.
	prefixes   int
	halls      int
	loseHall   bool // The engines of the last hall are killed during the load.
	config     string
	newLoads   func() []*load.Run
}

func steadyLoad(rate float64, duration time.Duration) func() []*load.Run {
	return func() []*load.Run { return []*load.Run{{Rate: rate, Duration: duration}} }
}

// TestMeasure prints the measurements that docs/design/load.md quotes; scripts/measure runs it.
func TestMeasure(t *testing.T) {
	if !*measure {
		return
	}
	cases := []measureCase{
		{name: "steady_60", halls: 1, newLoads: steadyLoad(0.6*capacity, 10*time.Second)},
		{name: "slow_one_in_ten", slowEngine: true, newLoads: steadyLoad(0.6*capacity, 10*time.Second)},
		{name: "prefixes_60", prefixes: 60, newLoads: steadyLoad(0.6*capacity, 10*time.Second)},
		{name: "overload_3x", newLoads: steadyLoad(3*capacity, 10*time.Second)},
		{name: "burst_10x", newLoads: func() []*load.Run {
			return []*load.Run{{Rate: 0.3 * capacity, Duration: 10 * time.Second, BurstAt: 3 * time.Second, BurstFor: 2 * time.Second, BurstFactor: 10}}
		}},
		{name: "hall_lost", halls: 2, loseHall: true, newLoads: steadyLoad(0.5*capacity, 10*time.Second)},
	}
	for _, c := range cases {
		for _, p := range policies {
			if *measureOnly != "" && *measureOnly != c.name {
				continue
			}
			c.run(t, p.name, p.choose())
		}
	}
	if *measureOnly == "" || *measureOnly == "organisations" {
		measureOrganisations(t)
	}
}

func (c *measureCase) newStack(choose chooser) (*Stack, *[]*standin.Engine) {
	engines := &[]*standin.Engine{}
	s := &Stack{
		Halls: c.halls, Gateways: 2, Engines: measuredEngines, Slots: slots, Queue: slots, Config: measuredConfig + c.config,
		NewEngine: func(i int) *standin.Engine {
			e := &standin.Engine{FirstToken: firstToken, PerToken: perToken, Batch: slots, PrefixCacheSize: 12}
			if c.slowEngine && i == 0 {
				e.FirstToken, e.PerToken = 5*firstToken, 5*perToken
			}
			*engines = append(*engines, e)
			return e
		},
	}
	s.Options.Choose = choose
	return s, engines
}

// run runs one case under one policy and prints a line with its measurements.
func (c *measureCase) run(t *testing.T, policy string, choose chooser) {
	s, engines := c.newStack(choose)
	runInBubble(t, s, func(t *testing.T, s *Stack) {
		time.Sleep(10 * time.Second) // Until the slow start is over.
		if c.loseHall {
			time.AfterFunc(2*time.Second, func() {
				for name, b := range s.Boxes {
					if b.Hall == fmt.Sprintf("h%d", c.halls-1) && b.Class == "engine" {
						go s.Kill(name)
					}
				}
			})
		}
		start := time.Now()
		sums := s.runLoads(t, c.newLoads(), c.prefixes)
		hits, lookups := 0, 0
		for _, e := range *engines {
			h, a := e.CacheHits()
			hits, lookups = hits+h, lookups+a
		}
		sum := sums[0]
		elapsed := max(c.newLoads()[0].Duration, time.Since(start)).Seconds()
		runs := 0
		for _, l := range s.Ledgers {
			for _, n := range l.Runs() {
				runs += n
			}
		}
		refused := ""
		for _, code := range rendezvous.Sorted(sum.Refused) {
			refused += fmt.Sprintf("%s:%d,", code, sum.Refused[code])
		}
		fmt.Printf("case=%s policy=%s sent=%d answers=%d first_p50_ms=%.0f first_p95_ms=%.0f first_p99_ms=%.0f goodput=%.3f runs_for_each_answer=%.3f "+
			"prefix_hits=%.3f refused=%s unknown=%d wrong=%d lost=%d doubled=%d false_not_run=%d took_s=%.1f\n",
			c.name, policy, sum.Sent, sum.Answers, sum.FirstP50, sum.FirstP95, sum.FirstP99, float64(sum.Answers)/elapsed/capacity,
			float64(runs)/float64(max(1, sum.Answers)), float64(hits)/float64(max(1, lookups)), refused, sum.Unknown,
			sum.Wrong, sum.Lost, sum.Doubled, sum.FalseNotRun, time.Since(start).Seconds())
	})
}

// runLoads runs several loads concurrently and returns their summaries.
func (s *Stack) runLoads(t *testing.T, runs []*load.Run, prefixes int) []*load.Summary {
	sums := make([]*load.Summary, len(runs))
	var wg sync.WaitGroup
	for i, r := range runs {
		base := s.newLoad(r.Rate, r.Duration)
		r.Gateways, r.Ledgers, r.Services, r.Client = base.Gateways, base.Ledgers, base.Services, base.Client
		r.VaryTokens = true
		r.Tokens, r.Timeout, r.Mix, r.Prefixes, r.Seed = measuredTokens, 10*time.Second, load.Mix{Stream: 1}, prefixes, uint64(i+1)
		wg.Go(func() {
			sum, err := r.Do(t.Context())
			if err != nil {
				t.Error(err)
				return
			}
			sums[i] = sum
		})
	}
	wg.Wait()
	return sums
}

// measureOrganisations prints the first-token times of a small organisation alone, and beside a
// large one at 20 times its load: with fair queueing, and with both in one queue as the baseline.
func measureOrganisations(t *testing.T) {
	small := func(org string) *load.Run {
		return &load.Run{Rate: 0.2 * capacity, Duration: 10 * time.Second, Organisations: []string{org}}
	}
	large := func(org string) *load.Run {
		return &load.Run{Rate: 0.2 * 20 * capacity, Duration: 10 * time.Second, Organisations: []string{org}}
	}
	declared := "organisations: {small: {}, large: {}}\n"
	cases := []struct {
		name  string
		loads []*load.Run
	}{
		{"small_alone", []*load.Run{small("small")}},
		{"small_beside_large_fair", []*load.Run{small("small"), large("large")}},
		{"small_beside_large_one_queue", []*load.Run{small("large"), large("large")}},
	}
	for _, c := range cases {
		m := &measureCase{config: declared}
		s, _ := m.newStack(nil)
		runInBubble(t, s, func(t *testing.T, s *Stack) {
			time.Sleep(10 * time.Second)
			sum := s.runLoads(t, c.loads, 0)[0]
			fmt.Printf("case=%s policy=poststand sent=%d answers=%d first_p50_ms=%.0f first_p95_ms=%.0f first_p99_ms=%.0f wrong=%d lost=%d\n",
				c.name, sum.Sent, sum.Answers, sum.FirstP50, sum.FirstP95, sum.FirstP99, sum.Wrong, sum.Lost)
		})
	}
}
