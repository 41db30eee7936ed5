package admission

import "time"

// Times of refusals and of what other gateways report of theirs.
const (
	RefusalMemory = time.Second            // A refusal counts as recent for this long.
	StateExpiry   = 500 * time.Millisecond // A state of another gateway counts for this long.
)

// NoRank is the refused rank of a gateway that refuses none for lack of room.
const NoRank = -1

// Pressure records which ranks of a service are refused for lack of room, here and at other
// gateways of the hall. The zero value is ready for use. It is not safe for concurrent use.
type Pressure struct {
	refusedUntil time.Time // Until when the last refusal here counts as recent.
	heard        map[string]heardState
}

// heardState is the last state of another gateway.
type heardState struct {
	rank  int // The most urgent rank that it refuses, or NoRank.
	until time.Time
}

// RecordRefusal records a refusal at this gateway.
func (p *Pressure) RecordRefusal(now time.Time) { p.refusedUntil = now.Add(RefusalMemory) }

// RefusedHere reports whether this gateway has recently refused a request.
func (p *Pressure) RefusedHere(now time.Time) bool { return now.Before(p.refusedUntil) }

// Hear records the state of another gateway.
func (p *Pressure) Hear(now time.Time, gateway string, rank int) {
	if p.heard == nil {
		p.heard = map[string]heardState{}
	}
	p.heard[gateway] = heardState{rank, now.Add(StateExpiry)}
}

// Refusing reports whether requests are being refused, here or at another gateway.
func (p *Pressure) Refusing(now time.Time) bool {
	p.dropExpired(now)
	return p.RefusedHere(now) || len(p.heard) > 0
}

// Cuts reports whether a rank is refused: another gateway refuses a more urgent one.
func (p *Pressure) Cuts(now time.Time, rank int) bool {
	p.dropExpired(now)
	for _, h := range p.heard {
		if h.rank != NoRank && h.rank < rank {
			return true
		}
	}
	return false
}

func (p *Pressure) dropExpired(now time.Time) {
	for gateway, h := range p.heard {
		if !now.Before(h.until) {
			delete(p.heard, gateway)
		}
	}
}
