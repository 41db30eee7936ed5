package admission

// Attempt tells a caller's first attempt at a request from a retry after a refusal.
type Attempt int

const (
	FirstAttempt  Attempt = iota
	RetriedOnTime         // A retry no earlier than the Retry-After of the refusal said.
	RetriedEarly          // A retry earlier than that, or more often.
)
