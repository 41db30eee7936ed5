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
	refusedUntil time.Time            // Until when the last refusal here counts as recent.
	states       map[string]peerState // Keyed by gateway.
}

// peerState is the last state of another gateway.
type peerState struct {
	rank  int // The most urgent rank that it refuses, or NoRank.
	until time.Time
}

// RecordRefusal records a refusal at this gateway.
func (p *Pressure) RecordRefusal(now time.Time) { p.refusedUntil = now.Add(RefusalMemory) }

// RefusedHere reports whether this gateway has recently refused a request.
func (p *Pressure) RefusedHere(now time.Time) bool { return now.Before(p.refusedUntil) }

// RecordState records the state of another gateway.
func (p *Pressure) RecordState(now time.Time, gateway string, rank int) {
	if p.states == nil {
		p.states = map[string]peerState{}
	}
	p.states[gateway] = peerState{rank, now.Add(StateExpiry)}
}

// Refusing reports whether requests are being refused, here or at another gateway.
func (p *Pressure) Refusing(now time.Time) bool {
	p.dropExpired(now)
	return p.RefusedHere(now) || len(p.states) > 0
}

// Cuts reports whether a rank is refused: another gateway refuses a more urgent one.
func (p *Pressure) Cuts(now time.Time, rank int) bool {
	p.dropExpired(now)
	for _, s := range p.states {
		if s.rank != NoRank && s.rank < rank {
			return true
		}
	}
	return false
}

func (p *Pressure) dropExpired(now time.Time) {
	for gateway, s := range p.states {
		if !now.Before(s.until) {
			delete(p.states, gateway)
		}
	}
}
