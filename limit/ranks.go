package limit

import "time"

// NumRanks is the number of ranks that requests have; rank 0 is the most urgent.
const NumRanks = 10

// reserveFor is how long after a rank was denied something less urgent ranks yield to it.
const reserveFor = 4 * time.Second

// deniedRanks holds when a request of each rank was last denied.
type deniedRanks [NumRanks]time.Time

// moreUrgent reports whether a more urgent request was recently denied.
func (d *deniedRanks) moreUrgent(now time.Time, rank int) bool {
	for _, at := range d[:rank] {
		if !at.IsZero() && now.Sub(at) < reserveFor {
			return true
		}
	}
	return false
}
