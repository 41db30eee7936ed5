package dispatch

import (
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/wire"
)

// RequestID identifies one attempt at a request across the fleet. A gateway has a new
// incarnation after each restart, so its new IDs never match answers to its old ones.
type RequestID struct {
	Incarnation uint64 // Of the gateway that received the request from the caller.
	Seq         uint64
	Attempt     int // Counts from 0; each attempt is fenced and answered separately.
}

// Dispatch asks a box to run a request.
type Dispatch struct {
	ID           RequestID
	Incarnation  uint64 // Of the agent that it is sent to; zero if it is forwarded to a gateway.
	Service      string
	Digest       string // The version that must answer; empty for a plain service.
	Revision     uint64 // Of the configuration that the gateway used for this dispatch.
	Deadline     time.Time
	Unsafe       bool
	Key          string // Idempotency key prefixed with the organisation, or empty.
	KeyDigest    string // Of the request, to refuse a key that is reused for another request.
	Organisation string
	Priority     int // Higher values start first.
	Stream       bool
	Adapter      string
	Method       string
	Path         string
	ContentType  string
	Body         []byte
}

// AnswerHead is the first message of an answer.
type AnswerHead struct {
	ID          RequestID
	Digest      string // The version that answers.
	Status      int
	ContentType string
}

// AnswerData is a part of an answer's body. Seq counts from 0.
type AnswerData struct {
	ID   RequestID
	Seq  int
	Data []byte
}

// AnswerEnd is the last message of a complete answer.
type AnswerEnd struct {
	ID  RequestID
	Seq int    // The number of AnswerData messages.
	Sum string // Digest of the complete body.
}

// Refusal reports that a dispatch has not run and never will, unless MayHaveRun is set.
type Refusal struct {
	ID         RequestID
	Reason     fault.Code
	MayHaveRun bool      // The outcome is Unknown instead of NotRun.
	RetryAt    time.Time // When to retry, or zero.
}

// Void requests that a dispatch which has not started never start.
type Void struct {
	ID          RequestID
	Incarnation uint64
	Deadline    time.Time // The request's; the fence is kept until then.
}

// VoidState is the answer to a Void.
type VoidState int

// States of a request at the agent that was asked to void it.
const (
	VoidUnknown  VoidState = iota // Another incarnation, no record after the deadline, or no room for a fence.
	VoidFenced                    // Never started, and now it cannot.
	VoidRunning                   // Started and not finished.
	VoidFinished                  // Finished.
)

// VoidReply answers a Void.
type VoidReply struct {
	ID    RequestID
	State VoidState
}

// Attach requests the rest of an answer after a connection was lost.
type Attach struct {
	ID          RequestID
	Incarnation uint64
	From        int // The first AnswerData that is missing.
}

// Report is the state of an agent, sent to gateways.
type Report struct {
	Incarnation uint64
	Service     string
	Digest      string // The confirmed version, or empty.
	Ready       bool
	Draining    bool
	Running     int
	Queued      int
	Slots       int
	At          time.Time // By the agent's clock; only for ordering reports of one agent.
}

// Subscribe requests Reports from an agent. They are sent on the same stream.
type Subscribe struct {
	Box string
}

// StateRequest requests one Report from an agent.
type StateRequest struct{}

// String returns the name of the state for logs and metrics.
func (s VoidState) String() string {
	switch s {
	case VoidFenced:
		return "fenced"
	case VoidRunning:
		return "running"
	case VoidFinished:
		return "finished"
	default:
		return "unknown"
	}
}

// Messages lists the wire messages of this package.
var Messages = []wire.Entry{
	{Kind: 16, Message: &Dispatch{}},
	{Kind: 17, Message: &AnswerHead{}},
	{Kind: 18, Message: &AnswerData{}},
	{Kind: 19, Message: &AnswerEnd{}},
	{Kind: 20, Message: &Refusal{}},
	{Kind: 21, Message: &Void{}},
	{Kind: 22, Message: &VoidReply{}},
	{Kind: 23, Message: &Attach{}},
	{Kind: 24, Message: &Report{}},
	{Kind: 25, Message: &Subscribe{}},
	{Kind: 26, Message: &StateRequest{}},
}
