package way

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestBound(t *testing.T) {
	base := Scenario{Boxes: 2, Halls: 2, Chunks: 10, ChunkBytes: 100, OriginRate: 1000, BoxRate: 2000}
	with := func(change func(p *Scenario)) Scenario {
		p := base
		change(&p)
		return p
	}
	cases := []struct {
		name string
		plan Scenario
		want time.Duration
	}{
		{"the origin's link", base, time.Second},
		{"a box's link", with(func(p *Scenario) { p.BoxRate = 500 }), 2 * time.Second},
		{"a box with a slow link", with(func(p *Scenario) { p.LinkFactor = map[int]float64{1: 0.25} }), 2 * time.Second},
		{"a box with a slow link that fails", with(func(p *Scenario) {
			p.LinkFactor, p.Lost = map[int]float64{1: 0.25}, []BoxEvent{{1, time.Second}}
		}), time.Second},
		{"a late box", with(func(p *Scenario) { p.LateJoins = []BoxEvent{{1, 3 * time.Second}} }), 3500 * time.Millisecond},
		{"the origin unreachable in the middle", with(func(p *Scenario) {
			p.OriginOutages = []Span{{400 * time.Millisecond, 900 * time.Millisecond}}
		}), 1500 * time.Millisecond},
		{"and after the end", with(func(p *Scenario) { p.OriginOutages = []Span{{2 * time.Second, 3 * time.Second}} }), time.Second},
		{"a hall cut off before the end", with(func(p *Scenario) {
			p.Partitions = []HallPartition{{1, Span{500 * time.Millisecond, 4 * time.Second}}}
		}), 4 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { is.New(t).Equal(tc.plan.LowerBound().Round(time.Millisecond), tc.want) })
	}
}

// Two runs of a scenario have the same results.
func TestRunIsDeterministic(t *testing.T) {
	is := is.New(t)
	p := RandomScenario(3)
	is.Equal(p.Run(), p.Run())
}

// summary runs n scenarios and aggregates the results.
func summary(n uint64, draw func(seed uint64) Scenario) Summary {
	var plans []Scenario
	for seed := range n {
		plans = append(plans, draw(seed))
	}
	return Summarize(RunAll(plans))
}

// Without faults a version leaves an origin with a slow link about once, and all boxes have it
// soon after that.
func TestScarceOrigin(t *testing.T) {
	is := is.New(t)
	s := summary(4, ScarceOrigin)
	t.Logf("median=%.3f max=%.3f extra=%.3f", s.Median, s.Max, s.ExtraCopies)
	is.True(s.Max <= 1.25)
	is.True(s.ExtraCopies <= 0.02)
}

// With random faults every live box has the version not long after the lower bound, and few
// chunks leave the origin twice.
func TestRandomPlans(t *testing.T) {
	is := is.New(t)
	s := summary(16, RandomScenario)
	t.Logf("median=%.3f 95%%=%.3f max=%.3f extra=%.3f worst: %s", s.Median, s.P95, s.Max, s.ExtraCopies, s.Worst.Scenario.String())
	is.True(s.Median <= 1.35)
	is.True(s.Max <= 2)
	is.True(s.ExtraCopies <= 0.05)
}

// After an outage of the origin all boxes have the version soon after its last chunk has left.
// Boxes have one fetch open at a time meanwhile. With four uploads waiting at each box it takes
// 2.2 s, and with one 1.7 s, since boxes wait at one peer while others are idle.
func TestOriginAway(t *testing.T) {
	is := is.New(t)
	s := summary(4, OriginAway)
	t.Logf("first=%s median=%s last=%s resumed=%s", s.ToFirst, s.ToMedian, s.ToLast, s.Resumed)
	is.True(s.ToFirst <= 1150*time.Millisecond)
	is.True(s.ToLast <= 1600*time.Millisecond)
	is.True(s.Resumed <= 300*time.Millisecond)
	is.True(s.CrossHallCopies <= 1.4)
}
