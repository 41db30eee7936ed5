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
	measure     = flag.Bool("measure", false, "print the figures of policies under load, in virtual time")
	measureOnly = flag.String("measure.only", "", "only this case")
)

// The measured hall: 10 engines of 8 slots, an answer of 16 tokens in 190 ms.
const (
	measuredEngines = 10
	measuredTokens  = 16
	firstToken      = 30 * time.Millisecond
	perToken        = 10 * time.Millisecond
	slots           = 8
	// capacity is what the hall answers, in requests a second.
	capacity = float64(measuredEngines*slots) / (0.030 + measuredTokens*0.010)
)

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

// leastOfTwo knows a gateway's own requests alone, without prefixes.
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

type measured struct {
	name     string
	slow     bool // One engine in ten is slow by 5 times.
	prefixes int
	halls    int
	lost     bool // The last hall's engines die.
	config   string
	loads    func() []*load.Run
}

func steady(rate float64, over time.Duration) func() []*load.Run {
	return func() []*load.Run { return []*load.Run{{Rate: rate, For: over}} }
}

// TestMeasure prints what docs/design/load.md quotes; scripts/measure runs it.
func TestMeasure(t *testing.T) {
	if !*measure {
		return
	}
	cases := []measured{
		{name: "steady_60", halls: 1, loads: steady(0.6*capacity, 10*time.Second)},
		{name: "slow_one_in_ten", slow: true, loads: steady(0.6*capacity, 10*time.Second)},
		{name: "prefixes_60", prefixes: 60, loads: steady(0.6*capacity, 10*time.Second)},
		{name: "overload_3x", loads: steady(3*capacity, 10*time.Second)},
		{name: "burst_10x", loads: func() []*load.Run {
			return []*load.Run{{Rate: 0.3 * capacity, For: 10 * time.Second, BurstAt: 3 * time.Second, BurstFor: 2 * time.Second, BurstFactor: 10}}
		}},
		{name: "hall_lost", halls: 2, lost: true, loads: steady(0.5*capacity, 10*time.Second)},
	}
	for _, c := range cases {
		for _, p := range policies {
			if *measureOnly != "" && *measureOnly != c.name {
				continue
			}
			c.play(t, p.name, p.choose())
		}
	}
	if *measureOnly == "" || *measureOnly == "organisations" {
		organisations(t)
	}
}

func (c *measured) stack(choose chooser) (*Stack, *[]*standin.Engine) {
	engines := &[]*standin.Engine{}
	s := &Stack{
		Halls: c.halls, Gateways: 2, Engines: measuredEngines, Slots: slots, Queue: slots, Config: measuredConfig + c.config,
		Engine: func(i int) *standin.Engine {
			e := &standin.Engine{FirstToken: firstToken, PerToken: perToken, Batch: slots, Prefixes: 12}
			if c.slow && i == 0 {
				e.FirstToken, e.PerToken = 5*firstToken, 5*perToken
			}
			*engines = append(*engines, e)
			return e
		},
	}
	s.Options.Choose = choose
	return s, engines
}

// play runs one case under one policy and prints its line.
func (c *measured) play(t *testing.T, policy string, choose chooser) {
	s, engines := c.stack(choose)
	bubble(t, s, func(t *testing.T, s *Stack) {
		time.Sleep(10 * time.Second) // Past the slow start.
		if c.lost {
			time.AfterFunc(2*time.Second, func() {
				for name, b := range s.Boxes {
					if b.Hall == fmt.Sprintf("h%d", c.halls-1) && b.Class == "engine" {
						go s.Kill(name)
					}
				}
			})
		}
		began := time.Now()
		sums := s.loads(t, c.loads(), c.prefixes)
		hits, asked := 0, 0
		for _, e := range *engines {
			h, a := e.CacheHits()
			hits, asked = hits+h, asked+a
		}
		sum := sums[0]
		over := max(c.loads()[0].For, time.Since(began)).Seconds()
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
			c.name, policy, sum.Sent, sum.Answers, sum.FirstP50, sum.FirstP95, sum.FirstP99, float64(sum.Answers)/over/capacity,
			float64(runs)/float64(max(1, sum.Answers)), float64(hits)/float64(max(1, asked)), refused, sum.Unknown,
			sum.Wrong, sum.Lost, sum.Doubled, sum.FalseNotRun, time.Since(began).Seconds())
	})
}

// loads runs several loads at the same time.
func (s *Stack) loads(t *testing.T, runs []*load.Run, prefixes int) []*load.Summary {
	sums := make([]*load.Summary, len(runs))
	var wg sync.WaitGroup
	for i, r := range runs {
		base := s.runner(r.Rate, r.For)
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

// organisations prints the first-token times of small organisations alone, and
// beside a large one at 20 times its share; with fair queueing, and with all in
// one queue as the baseline.
func organisations(t *testing.T) {
	small := func(org string) *load.Run {
		return &load.Run{Rate: 0.2 * capacity, For: 10 * time.Second, Organisations: []string{org}}
	}
	large := func(org string) *load.Run {
		return &load.Run{Rate: 0.2 * 20 * capacity, For: 10 * time.Second, Organisations: []string{org}}
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
		m := &measured{config: declared}
		s, _ := m.stack(nil)
		bubble(t, s, func(t *testing.T, s *Stack) {
			time.Sleep(10 * time.Second)
			sum := s.loads(t, c.loads, 0)[0]
			fmt.Printf("case=%s policy=poststand sent=%d answers=%d first_p50_ms=%.0f first_p95_ms=%.0f first_p99_ms=%.0f wrong=%d lost=%d\n",
				c.name, sum.Sent, sum.Answers, sum.FirstP50, sum.FirstP95, sum.FirstP99, sum.Wrong, sum.Lost)
		})
	}
}
