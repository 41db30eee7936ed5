package relay

// Headers holds the names of request and response headers, in canonical form.
type Headers struct {
	RequestID     string // ID of one attempt of a caller; echoed in the response.
	Deadline      string // Milliseconds until the caller stops waiting.
	LastEventID   string // ID of the last event of a stream that the caller has received.
	Signature     string // Signature of the replica that answered.
	Organisation  string // Organisation of the caller; set by the gateway.
	Incarnation   string // ID of the replica that answered.
	ExpectReplica string // ID of the only replica that may run the request.
	NotRun        string // Set if the request has not run.
	Tokens        string // "prompt,answer": tokens of the prompt, and the maximum of the answer.
	LengthHint    string // Estimated tokens of the answer.
	PromptParts   string // "ID:TOKENS,ID:TOKENS,…": parts of the prompt in order, with hexadecimal IDs; only the last is not shared.
	Rank          string // Priority of the request; 0 is the highest.
	Version       string // Version of the weights that answered.
	ExpectVersion string // The only version of the weights that may run the request.
	Fault         string // ID of the replica that caused a refusal.
	Leaving       string // Set if the answering replica is about to leave.
	Limit         string // Requests per second that the answering replica accepts from all gateways together.
}
