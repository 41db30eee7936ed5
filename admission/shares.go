package admission

import (
	"math/bits"
	"time"
)

// Shares counts, over the last 2 s, how much of a service each organisation, rank and size of
// requests asked for and got. The zero value is ready for use. It is not safe for concurrent use.
//
// Organisations are compared by work. Ranks and sizes are compared by requests: by work, small
// requests would always seem to get less than their share.
type Shares struct {
	startedAt time.Time // Steps are counted from here, so that changes of the wall clock have no effect.
	groups    map[group]*usage
}

// Profile is what is counted of a request.
type Profile struct {
	Organisation string
	Weight       int // Fair-share weight of the organisation; at least 1.
	Rank         int
	Work         int // Prompt and expected answer tokens.
}

// group identifies requests that are counted together.
type group struct {
	by   dimension
	name string // Of an organisation.
	n    int    // A rank or size.
}

type dimension int

const (
	byOrganisation dimension = iota
	byRank
	bySize
	dimensions
)

type usage struct {
	weight   float64
	asked    slidingSum
	got      slidingSum
	lastStep int64 // Step of the newest count.
}

// Counts are kept for the last windowSteps steps, of stepLength each.
const (
	windowSteps = 10
	stepLength  = 200 * time.Millisecond
)

// slidingSum is a sum over the last windowSteps steps.
type slidingSum struct {
	counts [windowSteps]float64
	step   int64 // Step of the newest count.
}

func (w *slidingSum) advance(step int64) {
	if step-w.step >= windowSteps {
		*w = slidingSum{step: step}
	}
	for w.step < step {
		w.step++
		w.counts[w.step%windowSteps] = 0
	}
}

func (w *slidingSum) add(step int64, n float64) {
	w.advance(step)
	w.counts[w.step%windowSteps] += n
}

func (w *slidingSum) sum(step int64) float64 {
	w.advance(step)
	total := 0.0
	for _, n := range w.counts {
		total += n
	}
	return total
}

func (s *Shares) step(now time.Time) int64 {
	if s.startedAt.IsZero() {
		s.startedAt, s.groups = now, map[group]*usage{}
	}
	return max(0, int64(now.Sub(s.startedAt)/stepLength))
}

// groupsOf returns the groups of a request, by dimension.
func groupsOf(p *Profile) [dimensions]group {
	const bitsPerSize = 2 // Sizes differ by a factor of 4.
	return [dimensions]group{
		{by: byOrganisation, name: p.Organisation},
		{by: byRank, n: p.Rank},
		{by: bySize, n: bits.Len(uint(max(0, p.Work))) / bitsPerSize},
	}
}

func (s *Shares) usage(step int64, g group) *usage {
	u, ok := s.groups[g]
	if !ok {
		s.dropIdle(step)
		u = &usage{weight: 1}
		s.groups[g] = u
	}
	u.lastStep = max(u.lastStep, step)
	return u
}

// dropIdle removes groups without a recent count, so that the table is bounded by those in use.
func (s *Shares) dropIdle(step int64) {
	for g, u := range s.groups {
		if step-u.lastStep >= windowSteps {
			delete(s.groups, g)
		}
	}
}

// Record counts a request that was sent or refused.
func (s *Shares) Record(now time.Time, p *Profile, sent bool) {
	step := s.step(now)
	for _, g := range groupsOf(p) {
		u, n := s.usage(step, g), 1.0
		if g.by == byOrganisation {
			u.weight, n = float64(max(1, p.Weight)), float64(max(1, p.Work))
		}
		u.asked.add(step, n)
		if sent {
			u.got.add(step, n)
		}
	}
}

// AddWork counts work of an organisation that another gateway sent.
func (s *Shares) AddWork(now time.Time, organisation string, weight, work int) {
	step := s.step(now)
	u := s.usage(step, group{by: byOrganisation, name: organisation})
	u.weight = float64(max(1, weight))
	u.asked.add(step, float64(work))
	u.got.add(step, float64(work))
}

// fairShare returns what the groups of a dimension got together, divided by their weights, and
// multiplied by that of u.
func (s *Shares) fairShare(step int64, by dimension, u *usage) float64 {
	total, weights := 0.0, 0.0
	for g, o := range s.groups {
		if g.by == by && step-o.lastStep < windowSteps {
			total += o.got.sum(step)
			weights += o.weight
		}
	}
	return total * u.weight / max(u.weight, weights)
}

// OverShare reports whether an organisation got more than its fair share.
func (s *Shares) OverShare(now time.Time, organisation string) bool {
	step := s.step(now)
	u, ok := s.groups[group{by: byOrganisation, name: organisation}]
	return ok && u.got.sum(step) > s.fairShare(step, byOrganisation, u)
}

// minShare is the part of its fair share below which an organisation, rank or size of requests
// counts as starved.
const minShare = 0.25

// Starved reports whether the organisation, rank or size of a request got less than minShare of
// its fair share, and less than it asked for.
func (s *Shares) Starved(now time.Time, p *Profile) bool {
	step := s.step(now)
	for _, g := range groupsOf(p) {
		u, ok := s.groups[g]
		if !ok {
			continue
		}
		if got := u.got.sum(step); got < u.asked.sum(step) && got < minShare*s.fairShare(step, g.by, u) {
			return true
		}
	}
	return false
}
