package way

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Scenario describes one run. Times count from when the version is assigned.
type Scenario struct {
	Seed             uint64
	Boxes            int
	Halls            int // Box i is in hall i modulo Halls; the origin is in hall 0.
	Chunks           int
	ChunkBytes       int
	OriginRate       float64       // Capacity of the origin's link in bytes a second.
	BoxRate          float64       // Capacity of each box's link in bytes a second, in each direction.
	InHallLatency    time.Duration // One-way latency within a hall.
	CrossHallLatency time.Duration // One-way latency between halls.
	HallPairRate     float64       // Capacity between two halls in bytes a second, in each direction; 0 if unlimited.
	StartJitter      time.Duration // Boxes start at random times up to this one, when they have their manifests.

	// SingleFetch is when boxes have one fetch from a peer open at a time, as agents do shortly
	// before the version that their replicas hold expires, until requests are no longer sent to it.
	SingleFetch Span

	// Idle is when replicas run no requests, so that uploads use more of the links.
	Idle Span

	OriginSilent  bool            // Connections to an unreachable origin time out instead of being refused.
	OriginOutages []Span          // Spans in which the origin is unreachable.
	CorruptRate   float64         // Share of the origin's answers that are corrupt.
	Partitions    []HallPartition // Halls cut off from the other halls.
	Lost          []BoxEvent      // Boxes that fail permanently.
	LateJoins     []BoxEvent      // Boxes that start later.
	LinkFactor    map[int]float64 // Share of BoxRate that the links of these boxes carry.
}

// Span is the time from From until before To.
type Span struct{ From, To time.Duration }

// HallPartition is a hall that is cut off from the other halls for a span.
type HallPartition struct {
	Hall int
	Span
}

// BoxEvent is an event of a box at a time.
type BoxEvent struct {
	Box int
	At  time.Duration
}

func (s Span) contains(at time.Duration) bool { return at >= s.From && at < s.To }

func (p *Scenario) hall(box int) int { return box % p.Halls }

// copyBytes returns the size of the version in bytes.
func (p *Scenario) copyBytes() float64 { return float64(p.Chunks * p.ChunkBytes) }

// String describes the scenario and its faults on one line, for logs and tables.
func (p *Scenario) String() string {
	return fmt.Sprintf("seed=%d boxes=%d halls=%d away=%v spoilt=%.2f cut=%v lost=%d joined=%d squeezed=%d",
		p.Seed, p.Boxes, p.Halls, p.OriginOutages, p.CorruptRate, p.Partitions, len(p.Lost), len(p.LateJoins), len(p.LinkFactor))
}

// LowerBound returns a lower bound of the time at which all boxes that do not fail have the
// version. The origin's link is busy whenever it can be reached until one copy has left it,
// and meanwhile or afterwards each box's link carries one copy. A hall that is cut off before
// the origin has sent one copy has the version no earlier than the end of the partition. It is
// a fluid bound: it ignores that a chunk is forwarded only once it is complete, and that it
// passes from box to box.
func (p *Scenario) LowerBound() time.Duration {
	left := time.Duration(p.copyBytes() / p.OriginRate * float64(time.Second))
	at := time.Duration(0)
	for left > 0 {
		end, away := p.nextOutage(at)
		if away {
			at = end
			continue
		}
		if end == 0 || at+left <= end {
			at += left
			break
		}
		left -= end - at
		at = end
	}
	bound := at
	for _, c := range p.Partitions {
		if c.From < at {
			bound = max(bound, c.To)
		}
	}
	onLink := time.Duration(p.copyBytes() / p.BoxRate * float64(time.Second))
	lost := map[int]bool{}
	for _, l := range p.Lost {
		lost[l.Box] = true
	}
	joined := map[int]time.Duration{}
	for _, j := range p.LateJoins {
		joined[j.Box] = j.At
	}
	for b := range p.Boxes {
		if lost[b] {
			continue
		}
		link := onLink
		if f := p.LinkFactor[b]; f > 0 {
			link = time.Duration(float64(link) / f)
		}
		bound = max(bound, joined[b]+link)
	}
	return bound
}

// nextOutage reports whether the origin is unreachable at a time, and returns when that
// changes; 0 means never.
func (p *Scenario) nextOutage(at time.Duration) (end time.Duration, away bool) {
	for _, s := range p.OriginOutages {
		if s.contains(at) {
			return s.To, true
		}
		if s.From > at && (end == 0 || s.From < end) {
			end = s.From
		}
	}
	return end, false
}

// ScarceOrigin returns a scenario without faults in which the origin's link carries less than
// a box's.
func ScarceOrigin(seed uint64) Scenario {
	return Scenario{
		Seed: seed, Boxes: 45, Halls: 3, Chunks: 96, ChunkBytes: 24576, OriginRate: 4.38e6 / 8, BoxRate: 7.3e6 / 8,
		InHallLatency: 500 * time.Microsecond, CrossHallLatency: 1500 * time.Microsecond, StartJitter: 150 * time.Millisecond,
	}
}

// OriginAway returns a scenario in which the origin becomes unreachable half a second after a
// version was assigned, for six seconds. Halls are connected by links that carry little more
// than a box's.
func OriginAway(seed uint64) Scenario {
	const first, most = 58, 99
	r := rand.New(rand.NewPCG(seed, 4))
	p := ScarceOrigin(seed)
	p.Boxes, p.Chunks, p.ChunkBytes = first+r.IntN(most-first+1), 48, 49152
	p.OriginRate, p.BoxRate, p.HallPairRate = 9e6/8, 9.4e6/8, 30e6/8
	p.CrossHallLatency = 5 * time.Millisecond
	p.OriginOutages = []Span{{500 * time.Millisecond, 6500 * time.Millisecond}}
	p.SingleFetch = Span{6 * time.Second, 8700 * time.Millisecond}
	p.Idle = Span{8600 * time.Millisecond, maxTime}
	return p
}

// SilentOrigin returns an OriginAway scenario in which the origin does not refuse connections
// meanwhile.
func SilentOrigin(seed uint64) Scenario {
	p := OriginAway(seed)
	p.OriginSilent = true
	return p
}

// RandomScenario returns a random scenario with some faults.
func RandomScenario(seed uint64) Scenario {
	r := rand.New(rand.NewPCG(seed, 1))
	p := ScarceOrigin(seed)
	p.Boxes = 12 + r.IntN(70)
	p.OriginRate *= 0.6 + 1.2*r.Float64()
	at := func(most time.Duration) time.Duration { return time.Duration(r.Int64N(int64(most))) }
	if r.IntN(2) == 0 {
		from := at(4 * time.Second)
		p.OriginOutages = []Span{{from, from + 300*time.Millisecond + at(6*time.Second)}}
	}
	if r.IntN(3) == 0 {
		p.CorruptRate = 0.1 * r.Float64()
	}
	if r.IntN(4) == 0 {
		from := at(4 * time.Second)
		p.Partitions = []HallPartition{{r.IntN(p.Halls), Span{from, from + time.Second + at(5*time.Second)}}}
	}
	taken := r.Perm(p.Boxes)
	take := func(share float64) []int {
		n := int(share * float64(p.Boxes))
		out := taken[:n]
		taken = taken[n:]
		return out
	}
	if r.IntN(3) == 0 {
		for _, b := range take(0.2 * r.Float64()) {
			p.Lost = append(p.Lost, BoxEvent{b, at(5 * time.Second)})
		}
	}
	if r.IntN(3) == 0 {
		for _, b := range take(0.2 * r.Float64()) {
			p.LateJoins = append(p.LateJoins, BoxEvent{b, at(4 * time.Second)})
		}
	}
	if r.IntN(3) == 0 {
		p.LinkFactor = map[int]float64{}
		for _, b := range take(0.15 * r.Float64()) {
			p.LinkFactor[b] = 0.3 + 0.6*r.Float64()
		}
	}
	return p
}
