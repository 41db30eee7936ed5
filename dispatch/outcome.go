package dispatch

import (
	"time"

	"github.com/poststand/poststand/fault"
)

// Outcome is what is known of a dispatch once it is over.
type Outcome int

// Outcomes. There is never a fourth.
const (
	Unknown Outcome = iota // It may have run. The zero value, so that doubt is the default.
	NotRun                 // Proved: it never started anywhere, and cannot.
	Done                   // The whole answer was seen.
)

// String returns the word that callers are told.
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
	RetryAt       time.Time // When the refusing side suggests to come back, or zero.
	AnswerStarted bool      // Parts of the answer have already gone to the caller.
}

// Attempts is what all attempts at one request amount to. The zero value has none.
type Attempts struct {
	mayHaveRun bool
}

// Add returns an attempt's result as it stands for the whole request: once an
// attempt may have run, no later one can make the request "not run".
func (t *Attempts) Add(r Result) Result {
	t.mayHaveRun = t.mayHaveRun || r.Outcome == Unknown
	if t.mayHaveRun && r.Outcome == NotRun {
		r.Outcome = Unknown
	}
	return r
}

// Step is what a gateway does next.
type Step int

// Steps after a dispatch.
const (
	GiveUp Step = iota // Tell the caller the outcome at once.
	Deliver
	Retry
)

// Budget says whether a retry may be spent now.
type Budget func(now time.Time) bool

// Decide says what follows a result. Only a request that is proved not to have
// run, or that is safe to repeat, is tried again; and only while nothing of an
// answer reached the caller, its deadline is ahead, and the budget allows.
// The returned code is why no further try is made, if that is not the result's.
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

// retryable reports whether another box could do better. A keyed request has
// one home, and a caller's own mistake stays one.
func retryable(c fault.Code) bool {
	switch c {
	case fault.BadRequest, fault.KeyReused, fault.ViewExpired, fault.HomeRecovering,
		fault.HomeUnreachable, fault.PastDeadline, fault.Cancelled, fault.TooLarge:
		return false
	}
	return true
}
