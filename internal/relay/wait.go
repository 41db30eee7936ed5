package relay

import (
	"context"
	"sync"
	"time"

	"github.com/poststand/poststand/admission"
	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/times"
	"github.com/poststand/poststand/route"
)

// Times and limits of the tries of waiting requests.
const (
	// waitingTryInterval is the interval of the passes over the waiting requests while none ends,
	// and the longest time for which a pass waits for one try.
	waitingTryInterval = 20 * time.Millisecond
	// maxFailedTries is the number of failed tries after which a pass ends. It is more than one
	// since the first request in order may have a shorter allowed wait than the next.
	maxFailedTries = 2
)

// waitingRequests holds the requests that wait at this gateway for room at a replica. The zero
// value is empty.
type waitingRequests struct {
	mu      sync.Mutex
	list    admission.WaitingList
	waiters map[*admission.Waiting]*waiter
	loops   map[admission.Pool]*tryLoop // Those of pools with waiting requests.
	closed  chan struct{}               // Closed when the gateway drains; nil before first use.
}

// tryLoop schedules the tries of the waiting requests of one pool.
type tryLoop struct {
	ended     chan struct{} // Capacity 1; receives when a request for the pool's service ends.
	pass      int           // Number of the current pass over the waiting requests.
	queueWait time.Duration // Predicted at the last try.
}

// waiter is a waiting request. Its own goroutine makes the tries.
type waiter struct {
	admission.Waiting
	try     chan struct{} // Capacity 1; receives when the request is to be tried.
	tried   chan bool     // Capacity 1; receives whether it was sent.
	left    chan struct{} // Closed when the request no longer waits.
	removed chan struct{} // Closed when it is removed because too many wait.
	// trying and pass are guarded by waitingRequests.mu: whether a try is in progress, and the
	// pass in which it was last tried.
	trying bool
	pass   int
}

func newWaiter(w admission.Waiting) *waiter {
	return &waiter{
		Waiting: w, try: make(chan struct{}, 1), tried: make(chan bool, 1), left: make(chan struct{}), removed: make(chan struct{}),
	}
}

// waiting returns how the request is ordered among those that wait.
func (rq *request) waiting(s *admission.Service, starved bool, regions string) admission.Waiting {
	p := rq.profile()
	w := admission.Waiting{
		Pool: admission.Pool{Service: rq.service, Regions: regions}, Level: s.Level(rq.rank), First: rq.attempt == admission.RetriedOnTime, Organisation: rq.organisation,
		Weight: p.Weight, Work: p.Work, Deadline: rq.deadline, Bytes: len(rq.body),
	}
	if starved {
		w.Level, w.First = 0, true // It goes before the most urgent rank.
	}
	return w
}

// keep forgets the services for which configured returns false.
func (r *waitingRequests) keep(configured func(service string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list.Keep(configured)
}

// closing returns a channel that is closed when the gateway drains. The caller holds r.mu.
func (r *waitingRequests) closing() chan struct{} {
	if r.closed == nil {
		r.closed = make(chan struct{})
	}
	return r.closed
}

// close refuses all requests that wait, and those that would.
func (r *waitingRequests) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.closing()
	select {
	case <-c:
	default:
		close(c)
	}
}

// mustWait reports whether a request may not be tried before others that wait.
func (r *waitingRequests) mustWait(w *admission.Waiting) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.MustWait(w)
}

// add adds a request. It returns the loop that must be started for its pool, or nil if there is
// one, and a channel that is closed when the gateway drains. If too many requests wait, one of
// them, perhaps the new one, is notified by its channel removed.
func (r *waitingRequests) add(w *waiter) (newLoop *tryLoop, closed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiters == nil {
		r.waiters, r.loops = map[*admission.Waiting]*waiter{}, map[admission.Pool]*tryLoop{}
	}
	r.waiters[&w.Waiting] = w
	for _, removed := range r.list.Add(&w.Waiting) {
		close(r.waiters[removed].removed)
	}
	if r.loops[w.Pool] == nil && r.list.Waits(w.Pool) {
		newLoop = &tryLoop{ended: make(chan struct{}, 1)}
		r.loops[w.Pool] = newLoop
	}
	return newLoop, r.closing()
}

// remove removes a request that no longer waits, and returns the wait predicted at the last try
// for its pool.
func (r *waitingRequests) remove(w *waiter) (queueWait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list.Remove(&w.Waiting)
	delete(r.waiters, &w.Waiting)
	close(w.left)
	if l := r.loops[w.Pool]; l != nil {
		queueWait = l.queueWait
	}
	return queueWait
}

// recordStart records that a request was sent.
func (r *waitingRequests) recordStart(w *admission.Waiting) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list.Start(w)
}

// recordTry records the end of a try.
func (r *waitingRequests) recordTry(w *waiter, sent bool, queueWait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.trying = false
	if l := r.loops[w.Pool]; l != nil {
		l.queueWait = queueWait
	}
	select {
	case w.tried <- sent:
	default:
	}
}

// len returns the number of waiting requests.
func (r *waitingRequests) len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.Len()
}

// requestEnded notes that a request has ended. If it was sent, that may have made room.
func (r *waitingRequests) requestEnded(rq *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rq.attempts == 0 {
		return
	}
	for p, l := range r.loops {
		if p.Service != rq.service {
			continue
		}
		select {
		case l.ended <- struct{}{}:
		default:
		}
	}
}

// next returns the request that is to be tried next in the current pass; nil if there is none.
func (r *waitingRequests) next(p admission.Pool, l *tryLoop) *waiter {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.list.First(p, func(o *admission.Waiting) bool {
		w := r.waiters[o]
		return w.trying || w.pass == l.pass
	})
	if first == nil {
		return nil
	}
	w := r.waiters[first]
	w.trying, w.pass = true, l.pass
	select {
	case <-w.tried: // Of a try that had taken too long.
	default:
	}
	w.try <- struct{}{}
	return w
}

// endLoop removes the loop of a pool if none of its requests waits.
func (r *waitingRequests) endLoop(p admission.Pool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.list.Waits(p) {
		return false
	}
	delete(r.loops, p)
	return true
}

// run tries the waiting requests of a pool until none is left.
func (r *waitingRequests) run(p admission.Pool, l *tryLoop) {
	t := time.NewTicker(waitingTryInterval)
	defer t.Stop()
	for !r.endLoop(p) {
		select {
		case <-t.C:
		case <-l.ended:
		}
		r.tryInOrder(p, l)
	}
}

// tryInOrder lets waiting requests be tried one after the other, for as long as they are sent. A
// try that takes long, such as one that waits for a permit, does not hold up the others.
func (r *waitingRequests) tryInOrder(p admission.Pool, l *tryLoop) {
	l.pass++
	timeout := time.NewTimer(waitingTryInterval)
	defer timeout.Stop()
	for failed := 0; failed < maxFailedTries; {
		w := r.next(p, l)
		if w == nil {
			return
		}
		timeout.Reset(waitingTryInterval)
		select {
		case sent := <-w.tried:
			if !sent {
				failed++
			}
		case <-w.left:
		case <-timeout.C:
			failed++
		}
	}
}

// wait tries a request again, in order with the others that wait, until it is sent or refused,
// and until the given time at most.
func (g *Relay) wait(ctx context.Context, rq *request, w *waiter, until time.Time, choose chooseFunc) (route.Choice, dispatch.Result, bool) {
	began := time.Now()
	rq.admission.waiting = true
	newLoop, closed := g.waiting.add(w)
	if newLoop != nil {
		go g.waiting.run(w.Pool, newLoop)
	}
	choice, res, ok := g.waitForTries(ctx, rq, w, until, closed, choose)
	rq.queueWait = max(rq.queueWait, g.waiting.remove(w))
	rq.admission.waited += time.Since(began)
	result := "refused"
	if ok {
		result = "sent"
	}
	g.Metrics.Event("request_waited", result)
	return choice, res, ok
}

// chooseFunc chooses a replica for a request.
type chooseFunc func() (route.Choice, dispatch.Result, bool)

func (g *Relay) waitForTries(ctx context.Context, rq *request, w *waiter, until time.Time, closed <-chan struct{}, choose chooseFunc) (route.Choice, dispatch.Result, bool) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	end := func(v admission.Verdict, cause admission.Cause, res dispatch.Result) (route.Choice, dispatch.Result, bool) {
		rq.admission.decision.Verdict, rq.admission.decision.Cause = v, cause
		return route.Choice{}, res, false
	}
	for {
		select {
		case <-w.try:
			choice, res, ok := choose()
			g.waiting.recordTry(w, ok, rq.queueWait)
			if rq.admission.decision.Verdict != admission.Wait {
				return choice, res, ok
			}
			until = times.Earlier(until, rq.admission.decision.Until)
			timer.Reset(time.Until(until))
		case <-timer.C:
			return end(admission.Refuse, admission.LongWait, notRun(fault.QueueFull))
		case <-w.removed:
			return end(admission.Refuse, admission.WaitingFull, notRun(fault.QueueFull))
		case <-closed:
			res := notRun(fault.Draining)
			res.RetryAt = time.Now().Add(drainRetryDelay())
			return end(admission.Wait, admission.LongWait, res)
		case <-ctx.Done():
			return end(admission.Wait, admission.LongWait, notRun(fault.Cancelled))
		}
	}
}
