package fault

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

// Code names one kind of failure. The zero value is no failure.
type Code string

// Codes of transport failures.
const (
	Garbage       Code = "garbage"                  // Bytes that are not a frame of ours.
	TooLarge      Code = "too_large"                // A frame, body or document over its bound.
	OldProtocol   Code = "old_protocol"             // The peer speaks an unsupported version.
	OtherFleet    Code = "other_cluster"            // The peer belongs to another cluster.
	Closed        Code = "connection_lost"          // The connection ended.
	Stalled       Code = "link_stalled"             // Nothing arrived before the deadline.
	UnknownStream Code = "frame_for_unknown_stream" // Dropped: its stream is over.
	Overflow      Code = "stream_overflow"          // The reader of a stream did not keep up.
	Busy          Code = "busy"                     // A bounded table or queue is full.
	Unsupported   Code = "unsupported"              // No handler for this message.
	Unreachable   Code = "unreachable"              // Dialling failed.
	Cancelled     Code = "cancelled"                // The caller gave up.
	Internal      Code = "internal"                 // A broken invariant; never expected.
	BadRequest    Code = "bad_request"              // A malformed request of a caller.
	Timeout       Code = "deadline_exceeded"        // The deadline passed.
)

// Codes of refusals by gateways and agents.
const (
	NoService        Code = "no_such_service"
	UnknownKey       Code = "unknown_key"
	NoUpstream       Code = "no_upstream_ready"
	UpstreamLeaving  Code = "upstream_leaving" // It said that it leaves, or is gone, before the request was sent.
	UpstreamResting  Code = "upstream_resting" // It has asked for rest.
	UpstreamLimited  Code = "upstream_limited" // The limit that it names leaves no permit.
	QueueFull        Code = "queue_full"
	RateLimited      Code = "rate_limited"
	Draining         Code = "draining"
	NotReady         Code = "not_ready"
	WrongIncarnation Code = "wrong_incarnation"
	WrongVersion     Code = "wrong_version"
	StaleView        Code = "stale_view"
	PastDeadline     Code = "past_deadline"
	Fenced           Code = "fenced"
	Duplicate        Code = "duplicate"
	TableFull        Code = "table_full"
	NotHome          Code = "not_key_home"
	HomeRecovering   Code = "key_home_recovering"
	HomeUnreachable  Code = "key_home_unreachable"
	ViewExpired      Code = "view_expired"
	KeyReused        Code = "key_reused"
	RetryBudget      Code = "retry_budget_spent"
	UpstreamFailed   Code = "upstream_failed"
	MixedVersion     Code = "mixed_version"
	Truncated        Code = "answer_truncated"
	Moved            Code = "moved" // A stream that went on elsewhere, since its replica changes.
	OutcomeUnknown   Code = "outcome_unknown"
	Quarantined      Code = "request_quarantined" // Replicas ended each time that they ran the request.
)

// Codes of failures with weights and configuration.
const (
	Corrupt        Code = "chunk_corrupt"
	NotHeld        Code = "chunk_not_held"
	StoreFull      Code = "store_full"
	Throttled      Code = "throttled"
	BadConfig      Code = "bad_configuration"
	OlderRevision  Code = "older_revision"
	DigestMismatch Code = "digest_mismatch"
	FencedOrder    Code = "order_fenced"
	HistoryGone    Code = "history_gone" // The platform has forgotten the changes that were asked for.
)

// Error is a failure with its type.
type Error struct {
	Code   Code
	Detail string // For people; never parsed.
	Err    error  // The cause, or nil.
	// RetryAt is until when who failed asked to be left alone; zero if it did not.
	RetryAt time.Time
}

// Error implements the error interface.
func (e *Error) Error() string {
	s := string(e.Code)
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New returns a failure of the given type.
func New(c Code, detail string) error {
	return &Error{Code: c, Detail: detail}
}

// Wrap returns a failure of the given type with its cause. The stack of the
// cause is kept by eris for logs at high verbosity.
func Wrap(c Code, err error, detail string) error {
	return &Error{Code: c, Detail: detail, Err: eris.Wrap(err, string(c))}
}

// CodeOf returns the type of err, Internal for an error that has none, and
// the empty code for nil.
func CodeOf(err error) Code {
	if err == nil {
		return ""
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Internal
}

// RetryAt returns until when who failed asked to be left alone, or zero.
func RetryAt(err error) time.Time {
	var e *Error
	if errors.As(err, &e) {
		return e.RetryAt
	}
	return time.Time{}
}

// Is reports whether err is a failure of type c.
func Is(err error, c Code) bool { return CodeOf(err) == c }
