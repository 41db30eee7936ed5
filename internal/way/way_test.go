package way

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestBound(t *testing.T) {
	second := Plan{Boxes: 2, Halls: 2, Chunks: 10, ChunkBytes: 100, OriginRate: 1000, BoxRate: 2000}
	with := func(change func(p *Plan)) Plan {
		p := second
		change(&p)
		return p
	}
	cases := []struct {
		name string
		plan Plan
		want time.Duration
	}{
		{"the origin's link", second, time.Second},
		{"a box's link", with(func(p *Plan) { p.BoxRate = 500 }), 2 * time.Second},
		{"a squeezed box", with(func(p *Plan) { p.Squeeze = map[int]float64{1: 0.25} }), 2 * time.Second},
		{"a squeezed box that is lost", with(func(p *Plan) {
			p.Squeeze, p.Lost = map[int]float64{1: 0.25}, []BoxAt{{1, time.Second}}
		}), time.Second},
		{"a late box", with(func(p *Plan) { p.Joined = []BoxAt{{1, 3 * time.Second}} }), 3500 * time.Millisecond},
		{"the origin away in the middle", with(func(p *Plan) {
			p.Away = []Span{{400 * time.Millisecond, 900 * time.Millisecond}}
		}), 1500 * time.Millisecond},
		{"and after the end", with(func(p *Plan) { p.Away = []Span{{2 * time.Second, 3 * time.Second}} }), time.Second},
		{"a hall cut off before the end", with(func(p *Plan) {
			p.Cut = []HallCut{{1, Span{500 * time.Millisecond, 4 * time.Second}}}
		}), 4 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { is.New(t).Equal(tc.plan.Bound().Round(time.Millisecond), tc.want) })
	}
}

// A plan plays the same way each time.
func TestPlayRepeats(t *testing.T) {
	is := is.New(t)
	p := Random(3)
	is.Equal(p.Play(), p.Play())
}

// summary plays so many plans.
func summary(n uint64, draw func(seed uint64) Plan) Summary {
	var plans []Plan
	for seed := range n {
		plans = append(plans, draw(seed))
	}
	return Summarize(Sweep(plans))
}

// Without faults a version leaves a scarce origin once, and is everywhere soon after.
func TestScarceOrigin(t *testing.T) {
	is := is.New(t)
	s := summary(4, Scarce)
	t.Logf("median=%.3f most=%.3f extra=%.3f", s.Median, s.Most, s.Extra)
	is.True(s.Most <= 1.25)
	is.True(s.Extra <= 0.02)
}

// With faults drawn at random every box that lives has the version, not long after the
// links allow it, and few chunks leave the origin twice.
func TestRandomPlans(t *testing.T) {
	is := is.New(t)
	s := summary(16, Random)
	t.Logf("median=%.3f 95%%=%.3f most=%.3f extra=%.3f worst: %s", s.Median, s.Most95, s.Most, s.Extra, s.Worst.Plan.String())
	is.True(s.Median <= 1.35)
	is.True(s.Most <= 2)
	is.True(s.Extra <= 0.05)
}
