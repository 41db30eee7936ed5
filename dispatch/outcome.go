package dispatch

import (
	"time"

	"github.com/poststand/poststand/fault"
)

// Outcome is what is known about a dispatch after it has ended.
type Outcome int

// Outcomes of a dispatch.
const (
	Unknown Outcome = iota // The request may have run. The zero value, so that it is the default.
	NotRun                 // It is proved that the request has not started anywhere and cannot start.
	Done                   // The complete answer was received.
)

// String returns the name of the outcome as reported to callers.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not_run"
	case Done:
		return "ran"
	default:
		return "unknown"
	}
}

// Result is an outcome with its reason.
type Result struct {
	Outcome       Outcome
	Reason        fault.Code
	RetryAt       time.Time // When to retry, as suggested by the refusing side, or zero.
	AnswerStarted bool      // Parts of the answer have already been sent to the caller.
}

// Attempts combines the results of all attempts at one request. The zero value has none.
type Attempts struct {
	mayHaveRun bool
}

// Add adds the result of an attempt and returns the result of the request as a whole: once
// an attempt may have run, a later one cannot make the outcome NotRun.
func (t *Attempts) Add(r Result) Result {
	t.mayHaveRun = t.mayHaveRun || r.Outcome == Unknown
	if t.mayHaveRun && r.Outcome == NotRun {
		r.Outcome = Unknown
	}
	return r
}

// Step is what a gateway does after a dispatch has ended.
type Step int

// Steps after a dispatch.
const (
	GiveUp Step = iota // Report the outcome to the caller at once.
	Deliver
	Retry
)

// Budget reports whether the retry budget allows a retry now, and spends it if so.
type Budget func(now time.Time) bool

// Decide returns the next step after a result. A request is retried only if it is proved
// not to have run or is safe to repeat, and only while no part of an answer has been sent
// to the caller, its deadline has not passed, and the retry budget allows it. The returned
// code is the reason for giving up.
func Decide(now time.Time, d *Dispatch, r Result, maxAttempts int, spend Budget) (Step, fault.Code) {
	if r.Outcome == Done {
		return Deliver, ""
	}
	if r.AnswerStarted || (r.Outcome == Unknown && d.Unsafe) {
		return GiveUp, r.Reason
	}
	if !retryable(r.Reason) {
		return GiveUp, r.Reason
	}
	if !now.Before(d.Deadline) {
		return GiveUp, fault.PastDeadline
	}
	if d.ID.Attempt+1 >= maxAttempts {
		return GiveUp, r.Reason
	}
	if !spend(now) {
		return GiveUp, fault.RetryBudget
	}
	return Retry, ""
}

// retryable reports whether a retry on another box could succeed. A request with an
// idempotency key can run only at the key's home, and an invalid request is invalid on
// every box.
func retryable(c fault.Code) bool {
	switch c {
	case fault.BadRequest, fault.KeyReused, fault.ViewExpired, fault.KeyHomeRecovering,
		fault.KeyHomeUnreachable, fault.PastDeadline, fault.Cancelled, fault.TooLarge:
		return false
	}
	return true
}
