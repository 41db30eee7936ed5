package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	target = 400 * time.Millisecond
	ms     = time.Millisecond
)

var start = time.Date(2026, 12, 2, 18, 0, 0, 0, time.UTC)

// Under lasting overload, when the predicted waits are at the allowed ones, the less urgent ranks
// are refused first, retries on time go before first attempts, and early retries after them.
func TestAllowedWait(t *testing.T) {
	ranks := []Route{{0, target}, {2, 800 * ms}, {5, 600 * ms}}
	cases := []struct {
		name   string
		routes []Route
		demand Demand
		want   time.Duration
	}{
		{"one rank", []Route{{3, target}}, Demand{Rank: 3}, 220 * ms},
		{"one rank on two routes", []Route{{3, target}, {3, 800 * ms}}, Demand{Rank: 3}, 220 * ms},
		{"most urgent rank", ranks, Demand{Rank: 0}, 220 * ms},
		{"second rank, longer target", ranks, Demand{Rank: 2, Target: 800 * ms}, 154 * ms},
		{"third rank", ranks, Demand{Rank: 5, Target: 600 * ms}, 107800 * time.Microsecond},
		{"rank of an organisation, more urgent than all routes", []Route{{3, target}}, Demand{Rank: 0}, 220 * ms},
		{"rank of an organisation, between two routes", ranks, Demand{Rank: 1}, 154 * ms},
		{"negative rank", ranks, Demand{Rank: -4}, 220 * ms},
		{"route of a negative rank", append([]Route{{-1, target}}, ranks...), Demand{Rank: 0}, 220 * ms},
		{"retry on time, most urgent", ranks, Demand{Attempt: RetriedOnTime}, 300 * ms},
		{"retry on time, second rank", ranks, Demand{Rank: 2, Attempt: RetriedOnTime}, 220 * ms},
		{"early retry", ranks, Demand{Attempt: RetriedEarly}, 154 * ms},
		{"organisation over its share", ranks, Demand{OverShare: true}, 154 * ms},
		{"early retry of an organisation over its share", ranks, Demand{Attempt: RetriedEarly, OverShare: true}, 107800 * time.Microsecond},
		{"starved", ranks, Demand{Rank: 5, OverShare: true, Starved: true}, 300 * ms},
		{"starved, early retry", ranks, Demand{Rank: 5, Attempt: RetriedEarly, Starved: true}, 210 * ms},
		{"no target", []Route{{0, 0}, {1, -target}}, Demand{}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := NewService(tc.routes)
			got := s.AllowedWait(&tc.demand)
			is.New(t).True((got - tc.want).Abs() < time.Microsecond)
		})
	}
}

// Each case is one request at the given load. Requests are refused only for lack of room or time,
// and absurd values change nothing.
func TestDecide(t *testing.T) {
	two := []Route{{0, target}, {1, 800 * ms}}
	cases := []struct {
		name       string
		routes     []Route
		demand     Demand
		prediction Prediction
		after      time.Duration // Time since the request's arrival.
		want       Decision
	}{
		{"low load", two, Demand{}, Prediction{0, 50 * ms, 0}, 0, Decision{Verdict: Send, Cause: Room}},
		{"negative wait", two, Demand{}, Prediction{-5 * ms, 50 * ms, 0}, 0, Decision{Verdict: Send, Cause: Room}},
		{
			"1.5 times the capacity, less urgent rank", two,
			Demand{Rank: 1},
			Prediction{200 * ms, 250 * ms, 0},
			0,
			Decision{Verdict: Wait, Cause: LongWait, Until: start.Add(100 * ms), LacksRoom: true},
		},
		{"1.5 times the capacity, urgent rank", two, Demand{}, Prediction{200 * ms, 250 * ms, 0}, 0, Decision{Verdict: Send, Cause: Room}},
		{"the same after a quarter of the target", two, Demand{Rank: 1}, Prediction{200 * ms, 250 * ms, 0}, 100 * ms, Decision{Verdict: Refuse, Cause: LongWait, LacksRoom: true}},
		{
			"long prompt, which must start early to be in time", two,
			Demand{Target: target},
			Prediction{300 * ms, 640 * ms, 0},
			0,
			Decision{Verdict: Wait, Cause: LongWait, Until: start.Add(60 * ms), LacksRoom: true},
		},
		{
			"long prompt, longer target of its own", two,
			Demand{Target: 800 * ms},
			Prediction{300 * ms, 640 * ms, 0},
			0,
			Decision{Verdict: Wait, Cause: LongWait, Until: start.Add(100 * ms), LacksRoom: true},
		},
		{"least urgent rank, nothing queued", two, Demand{Rank: 1}, Prediction{160 * ms, 190 * ms, 160 * ms}, 0, Decision{Verdict: Send, Cause: Room}},
		{
			"deadline before the end of the allowed time", two,
			Demand{Rank: 1, Attempt: RetriedEarly, OverShare: true, Deadline: start.Add(95 * ms)},
			Prediction{85 * ms, 90 * ms, 0},
			0,
			Decision{Verdict: Wait, Cause: LongWait, Until: start.Add(95 * ms)},
		},
		{"prompt that cannot be in time", two, Demand{Target: target}, Prediction{300 * ms, 720 * ms, 0}, 0, Decision{Verdict: Refuse, Cause: LongWait, LacksRoom: true}},
		{
			"early retry, whose refusal does not show that its rank lacks room", two,
			Demand{Attempt: RetriedEarly},
			Prediction{200 * ms, 250 * ms, 0},
			0,
			Decision{Verdict: Wait, Cause: LongWait, Until: start.Add(100 * ms)},
		},
		{
			"organisation over its share, likewise", two,
			Demand{OverShare: true},
			Prediction{200 * ms, 250 * ms, 0},
			0,
			Decision{Verdict: Wait, Cause: LongWait, Until: start.Add(100 * ms)},
		},
		{"late after the wait", two, Demand{Waited: true}, Prediction{200 * ms, 340 * ms, 0}, 80 * ms, Decision{Verdict: Wait, Cause: LongWait, Until: start.Add(100 * ms), LacksRoom: true}},
		{"in time after the wait", two, Demand{Waited: true}, Prediction{200 * ms, 320 * ms, 0}, 80 * ms, Decision{Verdict: Send, Cause: Room}},
		{"late for its own target alone", two, Demand{Waited: true, Target: 800 * ms}, Prediction{200 * ms, 340 * ms, 0}, 80 * ms, Decision{Verdict: Send, Cause: Room}},
		{"late without a wait", two, Demand{}, Prediction{200 * ms, 340 * ms, 0}, 80 * ms, Decision{Verdict: Send, Cause: Room}},
		{"deadline before the answer", two, Demand{Deadline: start.Add(100 * ms)}, Prediction{80 * ms, 120 * ms, 0}, 0, Decision{Verdict: Refuse, Cause: DeadlineTooClose}},
		{"deadline after the answer", two, Demand{Deadline: start.Add(200 * ms)}, Prediction{80 * ms, 120 * ms, 0}, 0, Decision{Verdict: Send, Cause: Room}},
		{"more urgent rank refused in the hall", two, Demand{Rank: 1, Cut: true}, Prediction{0, 50 * ms, 0}, 0, Decision{Verdict: Refuse, Cause: CutRank}},
		{"the same, starved", two, Demand{Rank: 1, Cut: true, Starved: true}, Prediction{200 * ms, 250 * ms, 0}, 0, Decision{Verdict: Send, Cause: Room}},
		{"no target, any load", []Route{{0, 0}}, Demand{Cut: true, Deadline: start}, Prediction{time.Hour, time.Hour, 0}, 0, Decision{Verdict: Send}},
		{"negative target, any load", []Route{{0, -target}}, Demand{}, Prediction{time.Hour, time.Hour, 0}, 0, Decision{Verdict: Send}},
		{"no routes", nil, Demand{}, Prediction{time.Hour, time.Hour, 0}, 0, Decision{Verdict: Send}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := NewService(tc.routes)
			tc.demand.ArrivedAt = start
			is.New(t).Equal(s.Decide(start.Add(tc.after), &tc.demand, tc.prediction), tc.want)
		})
	}
}

// The queue that requests of a route may form depends on the shortest target of the service
// alone: a route must not get more of the replicas by a longer target.
func TestLongerTargetGivesNoLongerQueue(t *testing.T) {
	is := is.New(t)
	s := NewService([]Route{{0, target}, {0, 4 * target}})
	for _, tgt := range []time.Duration{target, 4 * target} {
		is.Equal(s.AllowedWait(&Demand{Target: tgt}), 220*ms)
		d := s.Decide(start, &Demand{Target: tgt, ArrivedAt: start}, Prediction{300 * ms, 350 * ms, 0})
		is.Equal(d.Until, start.Add(100*ms))
	}
}

// What a rank may use depends on how many ranks of the same service are more urgent, not on its
// number: a service with one rank has all room for it.
func TestLevel(t *testing.T) {
	llm := NewService([]Route{{Rank: 1}, {Rank: 1}, {Rank: 7}, {Rank: 4}})
	batch := NewService([]Route{{Rank: 7}})
	for _, tc := range []struct {
		name    string
		service Service
		rank    int
		want    int
	}{
		{"most urgent", llm, 1, 0},
		{"next", llm, 4, 1},
		{"least urgent", llm, 7, 2},
		{"the only rank of a service", batch, 7, 0},
		{"rank of an organisation, more urgent than all", llm, 0, 0},
		{"rank of an organisation, in between", llm, 5, 2},
		{"rank of an organisation, less urgent than all", llm, 9, 3},
		{"service without routes", Service{}, 5, 0},
	} {
		t.Run(tc.name, func(t *testing.T) { is.New(t).Equal(tc.service.Level(tc.rank), tc.want) })
	}
}
