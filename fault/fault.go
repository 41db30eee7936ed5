package fault

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

// Code identifies one kind of error. The zero value means no error.
type Code string

// Codes of transport errors.
const (
	Garbage        Code = "garbage"                  // Bytes that are not a valid frame or message.
	TooLarge       Code = "too_large"                // A frame, body or document exceeds its size limit.
	OldProtocol    Code = "old_protocol"             // The peer uses an unsupported protocol version.
	OtherCluster   Code = "other_cluster"            // The peer belongs to another cluster.
	ConnectionLost Code = "connection_lost"          // The connection ended.
	LinkStalled    Code = "link_stalled"             // Nothing arrived before the deadline.
	UnknownStream  Code = "frame_for_unknown_stream" // A frame was dropped because its stream has ended.
	StreamOverflow Code = "stream_overflow"          // The reader of a stream was too slow and its buffer filled up.
	Busy           Code = "busy"                     // A bounded table or queue is full.
	AcceptFailed   Code = "accept_failed"            // A connection could not be accepted, for lack of descriptors or memory.
	Unsupported    Code = "unsupported"              // There is no handler for this message.
	Unreachable    Code = "unreachable"              // Dialling failed.
	CallerTooSlow  Code = "caller_too_slow"          // What is held for callers that do not read exceeds its bound.
	Cancelled      Code = "cancelled"                // The caller cancelled the request.
	Internal       Code = "internal"                 // An invariant was violated.
	BadRequest     Code = "bad_request"              // The request of a caller is malformed.
	Timeout        Code = "deadline_exceeded"        // The deadline passed.
)

// Codes of refusals by gateways and agents.
const (
	NoService          Code = "no_such_service"
	UnknownKey         Code = "unknown_key"
	NoUpstream         Code = "no_upstream_ready"
	UpstreamLeaving    Code = "upstream_leaving"  // It announced that it is leaving, or was removed, before the request was sent.
	UpstreamBackingOff Code = "upstream_resting"  // It asked for backoff.
	UpstreamCold       Code = "upstream_cold"     // No permit is left of what it bears while it is cold.
	UpstreamLimited    Code = "upstream_limited"  // No permit is left under the rate limit that it set.
	NoAllowedRegion    Code = "no_allowed_region" // No upstream is in a region where the request may be served.
	HallsDrained       Code = "halls_drained"     // The operator has drained all halls that could serve the request.
	QueueFull          Code = "queue_full"
	RateLimited        Code = "rate_limited"
	Draining           Code = "draining"
	NotReady           Code = "not_ready"
	WrongIncarnation   Code = "wrong_incarnation"
	WrongVersion       Code = "wrong_version"
	StaleView          Code = "stale_view"
	PastDeadline       Code = "past_deadline"
	Fenced             Code = "fenced"
	Duplicate          Code = "duplicate"
	TableFull          Code = "table_full"
	NotKeyHome         Code = "not_key_home"
	KeyHomeRecovering  Code = "key_home_recovering"
	KeyHomeUnreachable Code = "key_home_unreachable"
	ViewExpired        Code = "view_expired"
	KeyReused          Code = "key_reused"
	RetryBudget        Code = "retry_budget_spent"
	UpstreamFailed     Code = "upstream_failed"
	MixedVersion       Code = "mixed_version"
	Truncated          Code = "answer_truncated"
	AnswerTooLarge     Code = "answer_too_large" // The header or body of an answer exceeds its size limit, or has no end.
	Moved              Code = "moved"            // The stream continues on another replica because its replica changes version.
	OutcomeUnknown     Code = "outcome_unknown"
	Quarantined        Code = "request_quarantined" // Replicas terminated each time that they ran the request.
)

// Codes of errors about weights and configuration.
const (
	Corrupt        Code = "chunk_corrupt"
	NotHeld        Code = "chunk_not_held"
	StoreFull      Code = "store_full"
	Throttled      Code = "throttled"
	BadConfig      Code = "bad_configuration"
	OlderRevision  Code = "older_revision"
	DigestMismatch Code = "digest_mismatch"
	FencedOrder    Code = "order_fenced"
	HistoryGone    Code = "history_gone" // The platform no longer keeps the requested changes.
)

// Error is an error with a code.
type Error struct {
	Code   Code
	Detail string // Human-readable; never parsed.
	Err    error  // The cause, or nil.
	// RetryAt is the earliest time for a retry that the failing side asked for; zero if
	// it asked for none.
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

// New returns an error with the given code.
func New(c Code, detail string) error {
	return &Error{Code: c, Detail: detail}
}

// Wrap returns an error with the given code and cause. eris keeps the stack trace of the
// cause for logs at high verbosity.
func Wrap(c Code, err error, detail string) error {
	return &Error{Code: c, Detail: detail, Err: eris.Wrap(err, string(c))}
}

// CodeOf returns the code of err, Internal for an error without a code, and the empty
// code for nil.
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

// RetryAt returns the earliest time for a retry that the failing side asked for, or the
// zero time.
func RetryAt(err error) time.Time {
	var e *Error
	if errors.As(err, &e) {
		return e.RetryAt
	}
	return time.Time{}
}

// Is reports whether err has code c.
func Is(err error, c Code) bool { return CodeOf(err) == c }
