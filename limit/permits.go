package limit

import "time"

// NumRanks is how many ranks requests have: 0 is the most urgent.
const NumRanks = 10

// Bounds of Permits.
const (
	leastFree   = 2.0  // Permits that may be free at least, so that one can be kept for urgent requests.
	freeSeconds = 0.25 // The same in seconds of the limit, where that is more.
	kept        = 1.0  // Permits that are kept while a more urgent request has found none of late.
	keptFor     = 4 * time.Second
	// leastRate is the rate at which permits are given where the limit is lower, 0 even: by
	// the answers of those that are sent it is heard when the limit ends.
	leastRate = 0.1
)

// Permits counts what many senders together may send under a limit on requests a second. One
// of them has it, and all ask that one. A new one has no free permit: what was sent before is
// not known.
type Permits struct {
	free    float64
	counted time.Time           // When free was worked out; zero before the first request.
	lacked  [NumRanks]time.Time // When a request of each rank last found no permit.
}

// Take gives a request of a rank a permit, or says when one is free for it. The limit may
// differ from call to call.
func (p *Permits) Take(now time.Time, perSecond float64, rank int) (ok bool, next time.Time) {
	rate := max(leastRate, perSecond)
	rank = max(0, min(NumRanks-1, rank))
	most := max(leastFree, freeSeconds*rate)
	if p.counted.IsZero() {
		p.counted = now
	}
	if now.After(p.counted) {
		p.free += now.Sub(p.counted).Seconds() * rate
		p.counted = now
	}
	p.free = min(most, p.free)
	needs := 1.0
	if p.moreUrgentLacked(now, rank) {
		needs += kept
	}
	if p.free < needs {
		p.lacked[rank] = now
		return false, now.Add(time.Duration((needs - p.free) / rate * float64(time.Second)))
	}
	p.free--
	return true, time.Time{}
}

// moreUrgentLacked reports whether a more urgent request has found no permit of late.
func (p *Permits) moreUrgentLacked(now time.Time, rank int) bool {
	for _, at := range p.lacked[:rank] {
		if !at.IsZero() && now.Sub(at) < keptFor {
			return true
		}
	}
	return false
}
