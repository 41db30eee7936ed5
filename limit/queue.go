package limit

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/poststand/poststand/fault"
)

// Request is a request that asks to run.
type Request struct {
	Organisation string
	Weight       int // Share of the organisation; at least 1.
	Priority     int // Within the organisation; higher goes first.
	Deadline     time.Time
}

// Queue admits requests. Set the exported fields before first use.
type Queue struct {
	MaxRunning func() int // Requests that may run at once now; at least 1.
	MaxWaiting func() int // Requests that may wait.

	mu      sync.Mutex
	running int
	waiting int
	virtual float64 // Virtual time of fair queueing; never falls.
	orgs    map[string]*share
	order   uint64
}

// share is one organisation's part of the queue.
type share struct {
	weight  float64
	last    float64 // Virtual finish of its last admitted request.
	waiters []*waiter
	running int
	asked   time.Time // When it last asked.
}

type waiter struct {
	ticket Request
	order  uint64
	ready  chan error // A ring of one; nil admits.
}

// Acquire waits for a turn. The returned function must be called when the
// request has ended. A refusal has type fault.QueueFull or fault.PastDeadline.
func (q *Queue) Acquire(ctx context.Context, t Request) (func(), error) {
	w, err := q.enter(time.Now(), t)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(time.Until(t.Deadline))
	defer timer.Stop()
	select {
	case err = <-w.ready:
	case <-timer.C:
		err = q.leave(w, fault.New(fault.PastDeadline, "in queue"))
	case <-ctx.Done():
		err = q.leave(w, fault.Wrap(fault.Cancelled, context.Cause(ctx), "in queue"))
	}
	if err != nil {
		return nil, err
	}
	return sync.OnceFunc(func() { q.release(t.Organisation) }), nil
}

func (q *Queue) enter(now time.Time, t Request) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.orgs == nil {
		q.orgs = map[string]*share{}
	}
	s, ok := q.orgs[t.Organisation]
	if !ok {
		s = &share{}
		q.orgs[t.Organisation] = s
	}
	s.weight, s.asked = float64(max(1, t.Weight)), now
	q.dropIdle(now)
	q.order++
	w := &waiter{ticket: t, order: q.order, ready: make(chan error, 1)}
	full := q.waiting >= q.MaxWaiting() && !q.mayTake(s)
	if full && !q.displace(s) {
		return nil, fault.New(fault.QueueFull, t.Organisation)
	}
	s.waiters = append(s.waiters, w)
	q.waiting++
	q.admit()
	return w, nil
}

func (q *Queue) limit() int { return max(1, q.MaxRunning()) }

// displace makes room by refusing the newest, least urgent request of the
// organisation furthest over its share, if that is further over than s would be.
func (q *Queue) displace(s *share) bool {
	var worst *share
	for _, o := range q.orgs {
		if len(o.waiters) > 0 && (worst == nil || o.over() > worst.over()) {
			worst = o
		}
	}
	if worst == nil || worst == s || worst.over() <= float64(len(s.waiters)+1)/s.weight {
		return false
	}
	i := 0
	for j, w := range worst.waiters {
		v := worst.waiters[i]
		if w.ticket.Priority < v.ticket.Priority || w.ticket.Priority == v.ticket.Priority && w.order > v.order {
			i = j
		}
	}
	victim := worst.remove(i)
	q.waiting--
	victim.ready <- fault.New(fault.QueueFull, "displaced by fair shares")
	return true
}

func (s *share) over() float64 { return float64(len(s.waiters)) / s.weight }

func (s *share) remove(i int) *waiter {
	w := s.waiters[i]
	s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
	return w
}

// reserved is the part of the slots that organisations over their share leave to
// those that are not, so that a small one hardly waits for a slot to come free.
const reserved = 0.1

// mayTake reports whether s may have a slot now.
func (q *Queue) mayTake(s *share) bool {
	limit := q.limit()
	total := 0.0
	for _, o := range q.orgs {
		total += o.weight
	}
	if float64(s.running) < float64(limit)*s.weight/total {
		return q.running < limit
	}
	keep := 0
	if len(q.orgs) > 1 {
		keep = int(math.Ceil(reserved * float64(limit)))
	}
	return q.running < max(1, limit-keep)
}

// admit lets the next requests run while there is room: of the organisation
// whose next virtual finish is the least, its most urgent and then oldest.
func (q *Queue) admit() {
	for q.waiting > 0 {
		var next *share
		at := math.Inf(1)
		name := ""
		for n, s := range q.orgs {
			if len(s.waiters) == 0 || !q.mayTake(s) {
				continue
			}
			if f := s.finish(q.virtual); f < at || f == at && n < name {
				next, at, name = s, f, n
			}
		}
		if next == nil {
			return
		}
		q.virtual = max(q.virtual, at-1/next.weight)
		next.last = at
		next.remove(next.first()).ready <- nil
		q.waiting--
		q.running++
		next.running++
	}
}

func (s *share) finish(virtual float64) float64 { return max(virtual, s.last) + 1/s.weight }

func (s *share) first() int {
	best := 0
	for i, w := range s.waiters {
		b := s.waiters[best]
		if w.ticket.Priority > b.ticket.Priority || w.ticket.Priority == b.ticket.Priority && w.order < b.order {
			best = i
		}
	}
	return best
}

// dropIdle forgets organisations that have nothing here and have not asked for a
// while, so that the table is bounded by what is in use.
func (q *Queue) dropIdle(now time.Time) {
	const idle = time.Second
	for n, s := range q.orgs {
		if len(s.waiters) == 0 && s.running == 0 && now.Sub(s.asked) > idle {
			delete(q.orgs, n)
		}
	}
}

// leave takes a waiter out. If it was admitted meanwhile its turn is returned.
func (q *Queue) leave(w *waiter, why error) error {
	q.mu.Lock()
	s := q.orgs[w.ticket.Organisation]
	if s != nil {
		for i, o := range s.waiters {
			if o == w {
				s.remove(i)
				q.waiting--
				q.mu.Unlock()
				return why
			}
		}
	}
	q.mu.Unlock()
	if err := <-w.ready; err != nil {
		return err
	}
	q.release(w.ticket.Organisation)
	return why
}

func (q *Queue) release(organisation string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	q.orgs[organisation].running--
	if q.running < 0 {
		panic("limit: released more than was admitted")
	}
	q.admit()
}

// Load returns what runs and waits now.
func (q *Queue) Load() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, q.waiting
}
