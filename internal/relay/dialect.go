package relay

// Headers names the headers of requests and answers, in canonical form.
type Headers struct {
	RequestID     string // Of one attempt of a caller; echoed in its answer.
	Deadline      string // Milliseconds that the caller still waits.
	LastEventID   string // The last event of a stream that the caller has.
	Signature     string // Of the replica that answered.
	Organisation  string // Set by the gateway.
	Incarnation   string // Of the replica that answered.
	ExpectReplica string // The incarnation that alone may run the request.
	NotRun        string // Says that the request did not run.
	Tokens        string // "prompt,answer": the prompt's, and the most of the answer.
	LengthHint    string // A guess of the answer's tokens.
	Rank          string // 0 is let in first.
	Version       string // Of the weights that answered.
	ExpectVersion string // The version that alone may run the request.
	Fault         string // The replica that is the cause of a refusal.
	Leaving       string // Says that the replica which answers leaves.
	Limit         string // Requests a second that the replica which answers takes from all gateways together.
}
