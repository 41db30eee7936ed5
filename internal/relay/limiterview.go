package relay

import (
	"slices"
	"sync"
	"time"

	"github.com/poststand/poststand/rendezvous"
)

// limiterKeyPrefix precedes the ID of a replica in the key that selects its limiter.
const limiterKeyPrefix = "limit/"

// limiter is the gateway that grants permits for a replica, as far as this gateway can tell.
type limiter struct {
	addr        string
	live, known int // Live gateways, and all that have been members recently.
}

// share returns the part of a limit that the limiter grants. Gateways that no longer respond
// may be on the other side of a partition with a limiter of their own.
func (l limiter) share(perSecond float64) float64 {
	return perSecond * float64(l.live) / float64(l.known)
}

// memberView is what a gateway knew of all gateways from a time on.
type memberView struct {
	since time.Time
	live  []string // Addresses of the live gateways, sorted.
	known int
}

// second returns the gateway that would be the limiter of a replica without the one that is, or
// the empty string if there is none.
func (v *memberView) second(replica string) string {
	first := rendezvous.First(limiterKeyPrefix+replica, v.live)
	others := slices.DeleteFunc(slices.Clone(v.live), func(addr string) bool { return addr == first })
	return rendezvous.First(limiterKeyPrefix+replica, others)
}

func (v *memberView) limiterOf(replica string) limiter {
	return limiter{rendezvous.First(limiterKeyPrefix+replica, v.live), len(v.live), max(len(v.live), v.known)}
}

// memberViews holds the views of the gateways that may be in force at some of them: changes of
// membership arrive at each at another time, and two gateways may both grant the whole of a limit
// meanwhile. The zero value is empty.
type memberViews struct {
	mu    sync.Mutex
	views []memberView // The oldest first; none is equal to the one before.
}

// update records the current view and drops those that were replaced at least settleTime ago.
func (m *memberViews) update(now time.Time, live []string, known int, settleTime time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := len(m.views) - 1
	if last < 0 || m.views[last].known != known || !slices.Equal(m.views[last].live, live) {
		m.views = append(m.views, memberView{now, live, known})
	}
	for len(m.views) > 1 && now.Sub(m.views[1].since) >= settleTime {
		m.views = m.views[1:]
	}
}

// current returns the limiter of a replica by the current view.
func (m *memberViews) current(replica string) limiter {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.views[len(m.views)-1].limiterOf(replica)
}

// settled returns the limiter of a replica with the least part that any of the views allows it,
// and whether all views since settleTime ago have the same limiter. A gateway that has just
// started has none from then.
func (m *memberViews) settled(now time.Time, replica string, settleTime time.Duration) (least limiter, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ok = now.Sub(m.views[0].since) >= settleTime
	least = m.views[len(m.views)-1].limiterOf(replica)
	for i := range m.views {
		lim := m.views[i].limiterOf(replica)
		ok = ok && lim.addr == least.addr
		if lim.share(1) < least.share(1) {
			least.live, least.known = lim.live, lim.known
		}
	}
	return least, ok
}

// second returns the gateway that would be the limiter of a replica by the current view if the
// one that is were lost.
func (m *memberViews) second(replica string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.views[len(m.views)-1].second(replica)
}

// unchangedSince returns since when the current view is in force.
func (m *memberViews) unchangedSince() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.views[len(m.views)-1].since
}
