package relay

import (
	"net/http"
	"time"

	"github.com/poststand/poststand/internal/telemetry"
)

// retryAfter is the header that says for how long who answers wants nothing more.
const retryAfter = "Retry-After"

// hear takes note of what an answer says of its replica.
func (a *attempt) hear(resp *http.Response) {
	leaves, rest := resp.Header.Get(a.relay.dialect.Leaving), ""
	if resp.StatusCode == http.StatusServiceUnavailable {
		rest = resp.Header.Get(retryAfter)
	}
	if leaves == "" && rest == "" {
		return
	}
	telemetry.Log("upstream_said", "id", a.to.ID, "addr", a.to.Addr, "service", a.to.Service, "request", a.rq.id, "status", resp.StatusCode,
		"leaving", leaves, "retry_after", rest, "sent_ago", time.Since(a.began), "listed_leaving", a.to.Leaving, "listed_at", a.to.Revision)
}
