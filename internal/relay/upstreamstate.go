package relay

import (
	"net/http"
	"strings"
	"time"

	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/internal/decimal"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/internal/times"
	"github.com/poststand/poststand/route"
)

// retryAfterHeader is the backoff in seconds that a replica requests.
const retryAfterHeader = "Retry-After"

// recordHeaders records the state of a replica given in the header of a response: that it is
// leaving, the backoff that it requests, and its limit. Responses of any kind count, as soon as
// their header is read. The platform's list may show this much later, or never while the
// platform is unavailable, and requests would continue to go to the replica meanwhile.
func (a *attempt) recordHeaders(resp *http.Response) {
	replica := a.sender(resp)
	a.recordLeaving(resp, replica)
	a.recordBackoff(resp, replica)
	a.recordLimit(resp, replica)
}

// sender returns the replica that sent a response. If another replica has taken over the
// address, it has refused the request and gives its own ID.
func (a *attempt) sender(resp *http.Response) fleet.Incarnation {
	id := resp.Header.Get(a.relay.headers.Incarnation)
	if id == "" || id == a.to.ID {
		return a.to.Incarnation
	}
	return fleet.Incarnation{ID: id}
}

// Values of the Leaving header.
const (
	leavingValue = "1"
	stayingValue = "0"
)

func (a *attempt) recordLeaving(resp *http.Response, replica fleet.Incarnation) {
	for _, v := range resp.Header.Values(a.relay.headers.Leaving) {
		switch strings.TrimSpace(v) {
		case leavingValue:
			if a.relay.table.MarkLeaving(replica, time.Now()) {
				a.relay.Metrics.Event("upstream_leaves", "")
				a.log("upstream_leaves", resp, replica)
			}
		case stayingValue, "":
		default:
			a.logUnreadable(resp, replica, a.relay.headers.Leaving, v)
		}
	}
}

// recordBackoff records the backoff that a replica requests with a refusal (Retry-After).
func (a *attempt) recordBackoff(resp *http.Response, replica fleet.Incarnation) {
	if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
		return
	}
	for _, v := range resp.Header.Values(retryAfterHeader) {
		backoff, ok := times.ParseSeconds(v)
		switch {
		case !ok:
			a.logUnreadable(resp, replica, retryAfterHeader, v)
		case backoff > 0:
			now := time.Now()
			a.relay.table.MarkBackoff(replica, now, now.Add(backoff))
			a.relay.Metrics.Event("upstream_rests", "")
			a.log("upstream_rests", resp, replica, "for", backoff)
		}
	}
}

// maxLimit caps stated limits, in requests per second.
const maxLimit = 1e6

// recordLimit records the number of requests per second that the replica accepts from all
// gateways together. A response without the header ends the limit, provided that its signature
// shows that it is from this replica.
func (a *attempt) recordLimit(resp *http.Response, replica fleet.Incarnation) {
	l := route.Limit{Asked: a.startedAt, Heard: time.Now()}
	if id := resp.Header.Get(a.relay.headers.RequestID); id != "" && id != a.rq.id {
		l.Asked = time.Time{} // The response is to an earlier request, sent at an unknown time.
	}
	values := resp.Header.Values(a.relay.headers.Limit)
	l.PerSecond, l.Named = a.lowestLimit(resp, replica, values)
	if !l.Named && (len(values) > 0 || resp.Header.Get(a.relay.headers.Signature) == "") {
		return
	}
	before, after := a.relay.table.UpdateLimit(replica, l.Heard, l)
	if !before.SameRate(after) {
		lim := a.relay.limiterOf(replica.ID)
		a.relay.Metrics.Event("upstream_limit", "")
		a.log("upstream_limit", resp, replica, "limit", after, "before", before, "limiter", lim.addr, "gateways", lim.live, "known", lim.known)
		a.relay.queueLimitTwice(replica)
	}
}

// lowestLimit returns the lowest of the limits in a response, and whether there is a valid
// one.
func (a *attempt) lowestLimit(resp *http.Response, replica fleet.Incarnation, values []string) (lowest float64, found bool) {
	for _, v := range strings.Split(strings.Join(values, ","), ",") {
		n, ok := decimal.Parse(v)
		switch {
		case ok && (!found || n < lowest):
			lowest, found = min(n, maxLimit), true
		case !ok && len(values) > 0:
			a.logUnreadable(resp, replica, a.relay.headers.Limit, v)
		}
	}
	return lowest, found
}

// logUnreadable counts and logs an invalid header value, which has no effect otherwise.
func (a *attempt) logUnreadable(resp *http.Response, replica fleet.Incarnation, header, value string) {
	const maxLen = 40
	a.relay.Metrics.Event("upstream_unreadable", header)
	a.log("upstream_unreadable", resp, replica, "header", header, "value", value[:min(maxLen, len(value))])
}

// log logs an event about a response, with the request of this attempt and the position of the
// replica's list entry when the replica was chosen.
func (a *attempt) log(event string, resp *http.Response, replica fleet.Incarnation, fields ...any) {
	telemetry.Log(event, append([]any{
		"id", replica.ID, "addr", a.to.Addr, "service", a.to.Service, "request", a.rq.id, "status", resp.StatusCode,
		"sent_ago", time.Since(a.startedAt), "listed_at", a.to.ListedAt,
	}, fields...)...)
}
