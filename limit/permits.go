package limit

import "time"

// Bounds of Permits.
const (
	minBurst        = 2.0  // Least bound on accumulated permits, so that one can be reserved for urgent requests.
	burstSeconds    = 0.25 // Bound on accumulated permits, in seconds of the limit, if that is more.
	reservedPermits = 1.0  // Permits reserved after a more urgent request was denied one.
	// minRate is the rate at which permits are granted if the limit is lower, even if it is 0:
	// the answers to these requests show when the limit is lifted.
	minRate = 0.1
)

// Permits issues permits to send requests under a rate limit that all gateways share. One
// gateway holds the Permits of a limit, and all request permits from it. New Permits have none
// available, because it is not known what was sent before.
type Permits struct {
	available float64     // Permits that can be granted now.
	updatedAt time.Time   // When available was computed; zero before the first request.
	denied    deniedRanks // Ranks that were denied a permit.
}

// Take grants a permit to a request of a rank, or returns when one will be available to it. The
// limit may differ from call to call.
func (p *Permits) Take(now time.Time, perSecond float64, rank int) (ok bool, next time.Time) {
	rate := max(minRate, perSecond)
	rank = max(0, min(NumRanks-1, rank))
	burst := max(minBurst, burstSeconds*rate)
	if p.updatedAt.IsZero() {
		p.updatedAt = now
	}
	if now.After(p.updatedAt) {
		p.available += now.Sub(p.updatedAt).Seconds() * rate
		p.updatedAt = now
	}
	p.available = min(burst, p.available)
	needed := 1.0
	if p.denied.moreUrgent(now, rank) {
		needed += reservedPermits
	}
	if p.available < needed {
		p.denied[rank] = now
		return false, now.Add(time.Duration((needed - p.available) / rate * float64(time.Second)))
	}
	p.available--
	return true, time.Time{}
}
