package admission

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/poststand/poststand/fault"
)

// Request is a request to be admitted.
type Request struct {
	Organisation string
	Weight       int // Fair-share weight of the organisation; at least 1.
	Priority     int // Within the organisation; higher goes first.
	Deadline     time.Time
}

// Queue admits requests. The exported fields must be set before first use.
type Queue struct {
	MaxRunning func() int // Requests that may run at once at present; at least 1.
	MaxWaiting func() int // Requests that may wait at present.

	mu      sync.Mutex
	running int
	waiting int
	order   FairOrder
	orgs    map[string]*orgQueue
	lastSeq uint64
}

// orgQueue is the part of the queue of one organisation.
type orgQueue struct {
	weight      float64
	waiters     []*waiter
	running     int
	lastRequest time.Time // When its last request arrived.
}

type waiter struct {
	request Request
	seq     uint64
	ready   chan error // Capacity 1; nil admits the request.
}

// Acquire waits until the request is admitted. The caller must call the returned function when
// the request has ended. A refusal has the code fault.QueueFull, fault.PastDeadline or
// fault.Cancelled.
func (q *Queue) Acquire(ctx context.Context, r Request) (func(), error) {
	w, err := q.enqueue(time.Now(), r)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(time.Until(r.Deadline))
	defer timer.Stop()
	select {
	case err = <-w.ready:
	case <-timer.C:
		err = q.withdraw(w, fault.New(fault.PastDeadline, "deadline reached in the queue"))
	case <-ctx.Done():
		err = q.withdraw(w, fault.Wrap(fault.Cancelled, context.Cause(ctx), "cancelled in the queue"))
	}
	if err != nil {
		return nil, err
	}
	return sync.OnceFunc(func() { q.release(r.Organisation) }), nil
}

func (q *Queue) enqueue(now time.Time, r Request) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.orgs == nil {
		q.orgs = map[string]*orgQueue{}
	}
	oq, ok := q.orgs[r.Organisation]
	if !ok {
		oq = &orgQueue{}
		q.orgs[r.Organisation] = oq
	}
	oq.weight, oq.lastRequest = float64(max(1, r.Weight)), now
	q.dropIdle(now)
	q.lastSeq++
	w := &waiter{request: r, seq: q.lastSeq, ready: make(chan error, 1)}
	full := q.waiting >= q.MaxWaiting() && !q.mayRun(oq)
	if full && !q.displace(oq) {
		return nil, fault.New(fault.QueueFull, r.Organisation)
	}
	oq.waiters = append(oq.waiters, w)
	q.waiting++
	q.admit()
	return w, nil
}

func (q *Queue) slots() int { return max(1, q.MaxRunning()) }

// displace makes room by refusing the newest, least urgent waiting request of the organisation
// with the largest backlog relative to its weight, if that backlog is larger than that of oq
// would be.
func (q *Queue) displace(oq *orgQueue) bool {
	var worst *orgQueue
	for _, o := range q.orgs {
		if len(o.waiters) > 0 && (worst == nil || o.backlog() > worst.backlog()) {
			worst = o
		}
	}
	if worst == nil || worst == oq || worst.backlog() <= float64(len(oq.waiters)+1)/oq.weight {
		return false
	}
	i := 0
	for j, w := range worst.waiters {
		v := worst.waiters[i]
		if w.request.Priority < v.request.Priority || w.request.Priority == v.request.Priority && w.seq > v.seq {
			i = j
		}
	}
	displaced := worst.remove(i)
	q.waiting--
	displaced.ready <- fault.New(fault.QueueFull, "displaced by a request of an organisation below its fair share")
	return true
}

// backlog returns the number of waiting requests relative to the weight.
func (oq *orgQueue) backlog() float64 { return float64(len(oq.waiters)) / oq.weight }

func (oq *orgQueue) remove(i int) *waiter {
	w := oq.waiters[i]
	oq.waiters = append(oq.waiters[:i], oq.waiters[i+1:]...)
	return w
}

// reservedShare is the share of the slots that organisations above their fair share leave to
// the others, so that a small organisation hardly waits for a slot.
const reservedShare = 0.1

// mayRun reports whether oq may use a further slot now.
func (q *Queue) mayRun(oq *orgQueue) bool {
	slots := q.slots()
	total := 0.0
	for _, o := range q.orgs {
		total += o.weight
	}
	if float64(oq.running) < float64(slots)*oq.weight/total {
		return q.running < slots
	}
	reserved := 0
	if len(q.orgs) > 1 {
		reserved = int(math.Ceil(reservedShare * float64(slots)))
	}
	return q.running < max(1, slots-reserved)
}

// admit starts waiting requests while there are free slots, in the order of the virtual start
// times of organisations, and within an organisation by priority and then age.
func (q *Queue) admit() {
	for q.waiting > 0 {
		var next *orgQueue
		nextStart := math.Inf(1)
		name := ""
		for org, oq := range q.orgs {
			if len(oq.waiters) == 0 || !q.mayRun(oq) {
				continue
			}
			if at := q.order.Next(org); at < nextStart || at == nextStart && org < name {
				next, nextStart, name = oq, at, org
			}
		}
		if next == nil {
			return
		}
		q.order.Start(name, next.weight, 1)
		next.remove(next.nextWaiter()).ready <- nil
		q.waiting--
		q.running++
		next.running++
	}
}

// nextWaiter returns the index of the most urgent waiter, the oldest among equals.
func (oq *orgQueue) nextWaiter() int {
	best := 0
	for i, w := range oq.waiters {
		b := oq.waiters[best]
		if w.request.Priority > b.request.Priority || w.request.Priority == b.request.Priority && w.seq < b.seq {
			best = i
		}
	}
	return best
}

// dropIdle removes organisations that have no requests here and have not sent any for a while,
// so that the table is bounded by the organisations in use.
func (q *Queue) dropIdle(now time.Time) {
	const idle = time.Second
	for org, oq := range q.orgs {
		if len(oq.waiters) == 0 && oq.running == 0 && now.Sub(oq.lastRequest) > idle {
			delete(q.orgs, org)
			q.order.Forget(org)
		}
	}
}

// withdraw removes a waiter. If it was admitted meanwhile, its slot is released.
func (q *Queue) withdraw(w *waiter, cause error) error {
	q.mu.Lock()
	oq := q.orgs[w.request.Organisation]
	if oq != nil {
		for i, o := range oq.waiters {
			if o == w {
				oq.remove(i)
				q.waiting--
				q.mu.Unlock()
				return cause
			}
		}
	}
	q.mu.Unlock()
	if err := <-w.ready; err != nil {
		return err
	}
	q.release(w.request.Organisation)
	return cause
}

func (q *Queue) release(organisation string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	q.orgs[organisation].running--
	if q.running < 0 {
		panic("admission: released more than was admitted")
	}
	q.admit()
}

// Load returns the number of running and waiting requests.
func (q *Queue) Load() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, q.waiting
}
