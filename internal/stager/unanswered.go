package stager

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/poststand/poststand/fault"
)

// call is a call that changes what the replica has staged or loads. The zero value is any call of an
// earlier agent of the box.
type call struct {
	model   string
	version uint64 // Of the staged piece, or of the order.
	born    int64  // The life of the replica that it was sent to; 0 if not known.
	order   bool
	orders  uint64 // Number of orders accepted before it, if it is an order.
}

// over reports whether the replica that reports rep can no longer carry out c: another process has
// taken the place of the one that received it, or another order has fenced it.
func (c call) over(rep Report) bool {
	otherLife := c.born != 0 && rep.Born != c.born
	return otherLife || c.order && rep.OrderCount != c.orders
}

// settleTime is how long the replica must have answered reports until a call that got no answer counts
// as carried out or lost. It assumes that a process that answers carries out within that time what it
// has received.
const settleTime = 2 * time.Second

// startSettleTime is the same for a call that an earlier agent may have left. It is shorter, since an
// empty replica waits for it, and in nearly all cases there is none.
const startSettleTime = 500 * time.Millisecond

// settle returns how long the replica must have answered until c is over.
func (c call) settle() time.Duration {
	if c == (call{}) {
		return startSettleTime
	}
	return settleTime
}

// unansweredCalls holds the calls to the replica that got no answer and may still be carried out.
// Until they are over, the staging area may only be used for their own version: one of another
// version may replace a staged piece, or load what is staged later. The zero value is empty.
type unansweredCalls struct {
	mu    sync.Mutex
	calls []unansweredCall
}

type unansweredCall struct {
	call
	givenUpAt      time.Time
	answeringSince time.Time // When the replica first answered since; zero if it has not.
}

func (u *unansweredCalls) add(c call, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.calls = append(u.calls, unansweredCall{call: c, givenUpAt: now})
}

// observe takes the outcome at now of a request for a report that was sent at sentAt.
func (u *unansweredCalls) observe(sentAt, now time.Time, rep Report, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	kept := u.calls[:0]
	for _, c := range u.calls {
		if !c.update(sentAt, now, rep, err) {
			kept = append(kept, c)
		}
	}
	u.calls = kept
}

// update is observe for one call. It reports whether the call is over.
func (c *unansweredCall) update(sentAt, now time.Time, rep Report, err error) bool {
	switch {
	case sentAt.Before(c.givenUpAt):
		return false
	case errors.Is(err, syscall.ECONNREFUSED):
		return true // No process listens: the one that received the call has ended.
	case unanswered(err):
		c.answeringSince = time.Time{}
		return false
	case err != nil:
		return false // A refusal, or a backoff: it tells neither life nor orders.
	case c.over(rep):
		return true
	case c.answeringSince.IsZero():
		c.answeringSince = now
		return false
	}
	return sentAt.Sub(c.answeringSince) >= c.settle()
}

// allow reports whether the staging area may be used for a version.
func (u *unansweredCalls) allow(model string, version uint64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.calls {
		if c.model != model || c.version != version {
			return false
		}
	}
	return true
}

// unanswered reports whether err is that of a call that got no answer: the replica may have
// received it, and may still carry it out.
func unanswered(err error) bool { return fault.Is(err, fault.Unreachable) }
