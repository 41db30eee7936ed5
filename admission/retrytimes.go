package admission

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/poststand/poststand/limit"
)

// Parameters of RetryTimes. Numbers of intervals are of retryInterval each.
const (
	retryInterval       = 50 * time.Millisecond
	retryHorizon        = 120 // Intervals ahead in which places are reserved.
	completionIntervals = 40  // Intervals in which completed requests are counted.
	// The room is unknown while fewer than minCompletions requests were completed. It is computed
	// over at least minCompletionSpan intervals, since a few requests that end together do not show
	// the rate at which others will.
	minCompletions    = 4
	minCompletionSpan = 10
	firstAttemptShare = 0.5 // Share of the room that is left for first attempts.
	rankShare         = 0.5 // Share of the places of a rank that the next less urgent rank may use.
	// roomIntervals is the number of intervals in which reserved places never exceed the room.
	// It is longer where the room is below one place in that time.
	roomIntervals = 20
	// unknownSpread is the time over which retries are spread while the room is unknown.
	unknownSpread = time.Second
)

// RetryTimes chooses when refused callers should retry, so that they find room and do not arrive
// in a burst. For each service it counts the places that are reserved for retries in each interval.
// The room for them is what the service has recently completed of this gateway's requests, less
// what is left for first attempts. The zero value is ready for use. Its methods are safe for
// concurrent use.
type RetryTimes struct {
	mu        sync.Mutex
	schedules map[string]*retrySchedule // Keyed by service.
}

// RetryRequest describes a refused request whose caller should retry.
type RetryRequest struct {
	Service string
	// Level is the number of more urgent ranks of the service; see Service.Level.
	Level    int
	Earliest time.Time
	Latest   time.Time // Callers do not wait longer.
	// NoPlace requests a time without reserving a place. It is set for callers that have been
	// refused before, which most likely do not retry again.
	NoPlace bool
}

// RetryTime is the result of Reserve.
type RetryTime struct {
	At     time.Time // Zero if there is no room until RetryRequest.Latest.
	Before int       // Places that were reserved from now until At, or until Latest.
}

// Complete records that a request to a service was completed.
func (t *RetryTimes) Complete(now time.Time, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.schedule(now, service)
	*s.completed.at(s.interval(now))++
}

// Reserve reserves a place for the retry of a refused request, at the first time that has room. A
// rank uses up to rankShare of the places of the next more urgent one. If the room is unknown,
// because little or nothing was completed recently, the time is random within unknownSpread.
func (t *RetryTimes) Reserve(now time.Time, r RetryRequest) RetryTime {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.schedule(now, r.Service)
	r.Level = max(0, min(limit.NumRanks-1, r.Level))
	cur := s.interval(now)
	at := s.find(cur, &r)
	last := r.Latest
	if !at.IsZero() {
		last = at
	}
	out := RetryTime{At: at, Before: s.reservedUntil(cur, s.interval(last))}
	if i := s.interval(at); !at.IsZero() && !r.NoPlace && i < cur+retryHorizon {
		s.reserved.at(i)[r.Level]++
	}
	return out
}

// Keep forgets the services for which configured returns false.
func (t *RetryTimes) Keep(configured func(service string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.schedules {
		if !configured(name) {
			delete(t.schedules, name)
		}
	}
}

// schedule returns the schedule of a service. The caller holds t.mu.
func (t *RetryTimes) schedule(now time.Time, service string) *retrySchedule {
	s := t.schedules[service]
	if s == nil {
		if t.schedules == nil {
			t.schedules = map[string]*retrySchedule{}
		}
		s = &retrySchedule{start: now, completed: make(ring[int], completionIntervals+1), reserved: make(ring[levelCounts], 2*retryHorizon)}
		t.schedules[service] = s
	}
	return s
}

// levelCounts counts the reserved places of an interval by RetryRequest.Level.
type levelCounts [limit.NumRanks]uint16

// retrySchedule is the schedule of one service. Intervals are numbered from its start.
type retrySchedule struct {
	start     time.Time
	completed ring[int]
	reserved  ring[levelCounts]
}

// ring holds the values of as many consecutive intervals as it has cells.
type ring[T any] []struct {
	interval int
	value    T
}

// at returns the value of an interval, and forgets that of the one which used the same cell.
func (r ring[T]) at(interval int) *T {
	c := &r[interval%len(r)]
	if c.interval != interval {
		c.interval, c.value = interval, *new(T)
	}
	return &c.value
}

// get returns the value of an interval.
func (r ring[T]) get(interval int) (v T) {
	if c := &r[interval%len(r)]; c.interval == interval {
		v = c.value
	}
	return v
}

func (s *retrySchedule) interval(t time.Time) int { return max(0, int(t.Sub(s.start)/retryInterval)) }

func (s *retrySchedule) timeOf(interval int) time.Time {
	return s.start.Add(time.Duration(interval) * retryInterval)
}

// find returns the first time that has room for a retry, or zero.
func (s *retrySchedule) find(cur int, r *RetryRequest) time.Time {
	if r.Earliest.After(r.Latest) {
		return time.Time{}
	}
	places, known := s.places(cur)
	if !known {
		return r.Earliest.Add(rand.N(min(unknownSpread, r.Latest.Sub(r.Earliest)) + 1))
	}
	first := s.interval(r.Earliest.Add(retryInterval - 1)) // The first interval that begins no earlier.
	limits := s.levelLimits(cur, r.Level, places)
	for i := max(cur, first); i < cur+retryHorizon; i++ {
		at := s.timeWithin(i, places)
		if at.After(r.Latest) {
			break
		}
		if limits.haveRoom(i) {
			return at
		}
	}
	return time.Time{}
}

// places returns the number of places in an interval that the most urgent rank may use, and
// whether it is known.
func (s *retrySchedule) places(cur int) (float64, bool) {
	first, n := -1, 0
	for i := max(0, cur-completionIntervals); i < cur; i++ {
		v := s.completed.get(i)
		if n == 0 && v > 0 {
			first = i
		}
		n += v
	}
	if n < minCompletions {
		return 0, false
	}
	return (1 - firstAttemptShare) * float64(n) / float64(max(minCompletionSpan, cur-first)), true
}

// timeWithin returns the time of the next place in an interval. The places of an interval are
// spread over it.
func (s *retrySchedule) timeWithin(interval int, places float64) time.Time {
	used := s.reserved.get(interval).sum(0)
	position := (float64(used) + 0.5) / max(math.Ceil(places), float64(used+1))
	return s.timeOf(interval).Add(time.Duration(position * float64(retryInterval)))
}

// reservedUntil returns the number of places that are reserved from one interval until another.
func (s *retrySchedule) reservedUntil(from, until int) (n int) {
	for i := from; i < min(until, from+retryHorizon); i++ {
		n += s.reserved.get(i).sum(0)
	}
	return n
}

// sum returns the number of places that are reserved by a level and those after it.
func (c levelCounts) sum(level int) (n int) {
	for _, v := range c[level:] {
		n += int(v)
	}
	return n
}

// levelLimit limits the places that are reserved by a level and all those after it.
type levelLimit struct {
	first   int       // Interval that sums begin with.
	sums    []int     // Sum of the places in all intervals from the first up to each, exclusive.
	windows [2]window // In any of them, there is a limit.
}

// window is a number of consecutive intervals, and how many places in them may be reserved.
type window struct{ intervals, limit int }

type levelLimits []levelLimit

// levelLimits returns the limits that apply to a level: its own and those of the more urgent ones.
func (s *retrySchedule) levelLimits(cur, level int, places float64) (out levelLimits) {
	first := max(0, cur-retryHorizon+1)
	for l := range level + 1 {
		sums := make([]int, 1, cur+retryHorizon-first+1)
		for i := first; i < cur+retryHorizon; i++ {
			sums = append(sums, sums[len(sums)-1]+s.reserved.get(i).sum(l))
		}
		out = append(out, levelLimit{first, sums, windowsFor(places * math.Pow(rankShare, float64(l)))})
	}
	return out
}

// windowsFor returns the limits for a number of places in each interval. The short window keeps
// retries apart, and the long one keeps the number of places where that is not whole.
func windowsFor(places float64) [2]window {
	const rounding = 1e-9
	intervalsPerPlace := max(1, min(retryHorizon, 1/places))
	short, long := int(intervalsPerPlace+rounding), max(roomIntervals, int(math.Ceil(intervalsPerPlace)))
	return [2]window{
		{short, int(math.Ceil(places*float64(short) - rounding))},
		{long, int(places*float64(long) + rounding)},
	}
}

// haveRoom reports whether one more place in an interval keeps all limits.
func (ls levelLimits) haveRoom(interval int) bool {
	for _, l := range ls {
		for _, w := range l.windows {
			if !l.hasRoom(w, interval-l.first) {
				return false
			}
		}
	}
	return true
}

// hasRoom reports whether all windows that contain a position have less than their limit.
func (l *levelLimit) hasRoom(w window, position int) bool {
	for from := max(0, position-w.intervals+1); from <= position; from++ {
		to := min(len(l.sums)-1, from+w.intervals)
		if l.sums[to]-l.sums[from] >= w.limit {
			return false
		}
	}
	return true
}
