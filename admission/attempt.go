package admission

// Attempt says whether a request is its caller's first attempt or a retry after a refusal.
type Attempt int

const (
	FirstAttempt  Attempt = iota
	RetriedOnTime         // A retry no earlier than the Retry-After of the refusal said.
	RetriedEarly          // A retry earlier than that, or more often.
)

// String returns the attempt as log lines and metrics have it.
func (a Attempt) String() string {
	switch a {
	case RetriedOnTime:
		return "on_time"
	case RetriedEarly:
		return "early"
	}
	return "first"
}
