package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/limit"
)

// After the window was made longer, a report must not claim the time that was dropped before, or the next
// process would use the whole part.
func TestReportDoesNotClaimADroppedPast(t *testing.T) {
	is := is.New(t)
	start := time.Date(2026, 12, 2, 18, 0, 0, 0, time.UTC)
	var b retryBudgets
	b.start(start, true)
	b.window("s").RecordRequest(start, 10*time.Second)
	now := start.Add(11 * time.Second)
	r, _ := b.report(now, limit.RetryLimit{Window: 10 * time.Second})
	is.True(r.KnownSince.IsZero())
	r, _ = b.report(now, limit.RetryLimit{Window: 20 * time.Second})
	is.Equal(r.KnownSince, start.Add(time.Second))
}
