package dispatch

import (
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/wire"
)

// RequestID names one attempt at a request in the whole fleet. A gateway that restarts draws
// another incarnation, so its new ids never meet answers to its old ones.
type RequestID struct {
	Incarnation uint64 // Of the gateway that took the request from its caller.
	Seq         uint64
	Attempt     int // Counts from 0; each try is fenced and answered by itself.
}

// Dispatch asks a box to run a request.
type Dispatch struct {
	ID           RequestID
	Incarnation  uint64 // Of the agent it is meant for; zero when it is forwarded to a gateway.
	Service      string
	Digest       string // The version that must answer; empty for a plain service.
	Revision     uint64 // The configuration that decided this dispatch.
	Deadline     time.Time
	Unsafe       bool
	Key          string // Idempotency key with its organisation, or empty.
	KeyDigest    string // Of the request, to refuse a key that is used for two.
	Organisation string
	Priority     int // Higher goes first.
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

// AnswerEnd marks a whole answer.
type AnswerEnd struct {
	ID  RequestID
	Seq int    // The number of AnswerData messages.
	Sum string // Digest of the whole body.
}

// Refusal says that a dispatch was not run and never will be, unless Ran says
// that it may have.
type Refusal struct {
	ID         RequestID
	Reason     fault.Code
	MayHaveRun bool      // The outcome is Unknown and not NotRun.
	RetryAt    time.Time // When to come back, or zero.
}

// Void asks that a request never start.
type Void struct {
	ID          RequestID
	Incarnation uint64
	Deadline    time.Time // The request's; the fence is kept until then.
}

// VoidState is the answer to a Void.
type VoidState int

// States of a request at the agent that was asked to void it.
const (
	VoidUnknown  VoidState = iota // Another incarnation, or no room for a fence.
	VoidFenced                    // Never started, and now it cannot.
	VoidRunning                   // Started and not finished.
	VoidFinished                  // Finished.
)

// VoidReply answers a Void.
type VoidReply struct {
	ID    RequestID
	State VoidState
}

// Attach asks for the rest of an answer, after a connection was lost.
type Attach struct {
	ID          RequestID
	Incarnation uint64
	From        int // The first AnswerData that is missing.
}

// Report tells a gateway how an agent stands.
type Report struct {
	Incarnation uint64
	Service     string
	Digest      string // The confirmed version, or empty.
	Ready       bool
	Draining    bool
	Running     int
	Queued      int
	Slots       int
	At          time.Time // By the agent's clock; only orders reports of one agent.
}

// Subscribe asks an agent for its Reports, on the same stream.
type Subscribe struct {
	Box string
}

// StateRequest asks an agent for one Report.
type StateRequest struct{}

// String names the state for logs and counters.
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

// Messages registers this package's messages.
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
