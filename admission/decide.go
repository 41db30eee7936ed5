package admission

import (
	"slices"
	"time"

	"github.com/poststand/poststand/internal/times"
)

// Allowed predicted waits, as fractions of the service's latency target. A request is sent only
// if the wait predicted for it is within its share, so that most answers are in time.
const (
	mostUrgentShare  = 0.55 // For the most urgent rank.
	precedenceShare  = 0.75 // For those that go before the most urgent rank: its retries on time, and starved requests.
	lessUrgentFactor = 0.7  // For each further rank.
	earlyFactor      = 0.7  // For a retry earlier than told, so that such retries do not displace first attempts.
	overShareFactor  = 0.7  // For an organisation over its fair share, while requests are refused.
)

// waitingShare is the part of the latency target for which a request waits at the gateway at
// most, so that a refused caller has time left for a retry.
const waitingShare = 0.25

// Route is what is considered of a route to a service.
type Route struct {
	Rank   int // 0 is the most urgent.
	Target time.Duration
}

// Service holds what the allowed waits of requests to a service are derived from. With the zero
// value, every request is sent.
type Service struct {
	Target time.Duration // The shortest latency target of the routes to it; 0 if none has one.
	Ranks  []int         // The ranks of these routes, in ascending order, without duplicates.
}

// NewService returns the service that the routes lead to. Negative ranks and targets that are
// not positive are ignored.
func NewService(routes []Route) Service {
	var s Service
	for _, r := range routes {
		if r.Target > 0 && (s.Target == 0 || r.Target < s.Target) {
			s.Target = r.Target
		}
		if r.Rank >= 0 {
			s.Ranks = append(s.Ranks, r.Rank)
		}
	}
	slices.Sort(s.Ranks)
	s.Ranks = slices.Compact(s.Ranks)
	return s
}

// Level returns how many ranks of the service are more urgent than a rank.
func (s *Service) Level(rank int) int {
	n, _ := slices.BinarySearch(s.Ranks, rank)
	return n
}

// Demand is a request to be decided on.
type Demand struct {
	Rank      int
	Attempt   Attempt
	Target    time.Duration // Of its route; the service's if it is not positive.
	ArrivedAt time.Time
	Deadline  time.Time // Zero for none.
	Waited    bool      // It has waited at the gateway.
	OverShare bool      // Its organisation is over its fair share, and requests are being refused.
	Cut       bool      // Its rank is refused, since more urgent ones lack room in the hall.
	// Starved reports that its organisation, rank or size is denied its part; see Shares.Starved.
	// It goes before the most urgent rank: with the same chance as each of that rank, few requests
	// would get nothing beside many.
	Starved bool
}

// AllowedWait returns the longest predicted wait with which the request is sent. A retry on time
// counts as one rank more urgent than it is.
func (s *Service) AllowedWait(d *Demand) time.Duration {
	share, level := mostUrgentShare, s.Level(d.Rank)
	switch onTime := d.Attempt == RetriedOnTime; {
	case d.Starved, onTime && level == 0:
		share, level = precedenceShare, 0
	case onTime:
		level--
	}
	if d.Attempt == RetriedEarly {
		share *= earlyFactor
	}
	for range level {
		share *= lessUrgentFactor
	}
	if d.OverShare && !d.Starved {
		share *= overShareFactor
	}
	return time.Duration(share * float64(s.Target))
}

// Prediction is what is predicted of a request at the best replica.
type Prediction struct {
	Wait       time.Duration // Until the replica starts on it.
	FirstEvent time.Duration // Until its first event, including Wait.
	// Unqueued is the wait at a replica with a free slot and nothing queued: there is room, however
	// short the allowed wait.
	Unqueued time.Duration
}

// Verdict is what is done with a request.
type Verdict int

const (
	Send Verdict = iota
	Wait         // At the gateway.
	Refuse
)

// Cause is what decided on a request.
type Cause string

const (
	NotLimited       Cause = ""             // The service has no latency target, or no engine.
	Room             Cause = "room"         // The predicted wait is within the allowed one.
	LongWait         Cause = "long_wait"    // It is longer.
	CutRank          Cause = "cut_rank"     // More urgent requests lack room in the hall.
	DeadlineTooClose Cause = "deadline"     // The answer is predicted after the deadline.
	WaitingFull      Cause = "waiting_full" // Too many requests wait at the gateway.
)

// Decision is the result of Decide.
type Decision struct {
	Verdict Verdict
	Cause   Cause
	Until   time.Time // How long the request may wait, if the verdict is Wait.
	// LacksRoom reports that the wait is too long for every request of its rank, and not only for
	// this one because its allowed wait is reduced.
	LacksRoom bool
}

// Decide returns what to do with a request.
func (s *Service) Decide(now time.Time, d *Demand, p Prediction) Decision {
	switch {
	case s.Target <= 0:
		return Decision{Verdict: Send}
	case !d.Deadline.IsZero() && now.Add(p.FirstEvent).After(d.Deadline):
		return Decision{Verdict: Refuse, Cause: DeadlineTooClose}
	case d.Cut && !d.Starved:
		return Decision{Verdict: Refuse, Cause: CutRank}
	case p.Wait <= max(s.AllowedWait(d), p.Unqueued) && !(d.Waited && s.late(now, d, p)):
		return Decision{Verdict: Send, Cause: Room}
	}
	out := Decision{
		Verdict: Wait, Cause: LongWait, Until: s.waitsUntil(d, p),
		LacksRoom: d.Attempt != RetriedEarly && (!d.OverShare || d.Starved),
	}
	if !now.Before(out.Until) {
		out.Verdict, out.Until = Refuse, time.Time{}
	}
	return out
}

// LatestWait returns until when a request may wait at the gateway, whatever is predicted for it.
func (s *Service) LatestWait(arrivedAt time.Time) time.Time {
	return arrivedAt.Add(time.Duration(waitingShare * float64(s.Target)))
}

// target returns the latency target of a request.
func (s *Service) target(d *Demand) time.Duration {
	if d.Target > 0 {
		return d.Target
	}
	return s.Target
}

// late reports whether the answer is predicted after the target. Waiting must not turn an answer
// that would have been in time into one that takes up room and is late.
func (s *Service) late(now time.Time, d *Demand, p Prediction) bool {
	return now.Add(p.FirstEvent).After(d.ArrivedAt.Add(s.target(d)))
}

// waitsUntil returns until when the request may wait: its answer could still be in time if a
// replica started on it then, and it does not wait past its deadline.
func (s *Service) waitsUntil(d *Demand, p Prediction) time.Time {
	inTime := d.ArrivedAt.Add(s.target(d) - max(0, p.FirstEvent-max(0, p.Wait)))
	until := times.Earlier(inTime, s.LatestWait(d.ArrivedAt))
	if !d.Deadline.IsZero() {
		until = times.Earlier(until, d.Deadline)
	}
	return until
}
