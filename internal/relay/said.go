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

// retryAfterHeader is the header that says for how many seconds who answers wants nothing more.
const retryAfterHeader = "Retry-After"

// recordHeaders takes note of what an answer says of its replica: that it leaves, for how long it wants
// rest, and how much it takes. It counts at once, for an answer of any kind, from its head on.
// The list may tell of it much later, or never, while the platform is away, and requests would
// go on to a replica that has said what it wants.
func (a *attempt) recordHeaders(resp *http.Response) {
	who := a.sender(resp)
	a.recordLeaving(resp, who)
	a.recordRest(resp, who)
	a.recordLimit(resp, who)
}

// sender returns the replica that an answer is of. Where another one has the address now, that
// one has turned the request away and said so.
func (a *attempt) sender(resp *http.Response) fleet.Incarnation {
	id := resp.Header.Get(a.relay.headers.Incarnation)
	if id == "" || id == a.to.ID {
		return a.to.Incarnation
	}
	return fleet.Incarnation{ID: id}
}

// leavingValue is the value that says that a replica leaves, and stays the one that does not.
const (
	leavingValue = "1"
	stayingValue = "0"
)

func (a *attempt) recordLeaving(resp *http.Response, who fleet.Incarnation) {
	for _, v := range resp.Header.Values(a.relay.headers.Leaving) {
		switch strings.TrimSpace(v) {
		case leavingValue:
			if a.relay.table.MarkLeaving(who, time.Now()) {
				a.relay.Metrics.Event("upstream_leaves", "")
				a.log("upstream_leaves", resp, who)
			}
		case stayingValue, "":
		default:
			a.logUnreadable(resp, who, a.relay.headers.Leaving, v)
		}
	}
}

// recordRest takes note of the rest that a replica asks for as it turns a request away.
func (a *attempt) recordRest(resp *http.Response, who fleet.Incarnation) {
	if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
		return
	}
	for _, v := range resp.Header.Values(retryAfterHeader) {
		rest, ok := times.ParseSeconds(v)
		switch {
		case !ok:
			a.logUnreadable(resp, who, retryAfterHeader, v)
		case rest > 0:
			now := time.Now()
			a.relay.table.MarkBackoff(who, now, now.Add(rest))
			a.relay.Metrics.Event("upstream_rests", "")
			a.log("upstream_rests", resp, who, "for", rest)
		}
	}
}

// maxLimit is what a limit that is named higher counts as, in requests a second.
const maxLimit = 1e6

// recordLimit takes note of how many requests the replica takes from all gateways together. An
// answer without the word ends that, if its signature shows that it is of this replica.
func (a *attempt) recordLimit(resp *http.Response, who fleet.Incarnation) {
	l := route.Limit{Asked: a.startedAt, Heard: time.Now()}
	if id := resp.Header.Get(a.relay.headers.RequestID); id != "" && id != a.rq.id {
		l.Asked = time.Time{} // It answers a request of any time before.
	}
	values := resp.Header.Values(a.relay.headers.Limit)
	l.PerSecond, l.Named = a.lowestLimit(resp, who, values)
	if !l.Named && (len(values) > 0 || resp.Header.Get(a.relay.headers.Signature) == "") {
		return
	}
	before, after := a.relay.table.UpdateLimit(who, l.Heard, l)
	if !before.SameRate(after) {
		k := a.relay.limiterOf(who.ID)
		a.relay.Metrics.Event("upstream_limit", "")
		a.log("upstream_limit", resp, who, "limit", after, "before", before, "limiter", k.addr, "gateways", k.live, "known", k.known)
		a.relay.queueLimitTwice(who)
	}
}

// lowestLimit returns the lowest of the limits that an answer names, and whether there is one
// that can be read.
func (a *attempt) lowestLimit(resp *http.Response, who fleet.Incarnation, values []string) (least float64, named bool) {
	for _, v := range strings.Split(strings.Join(values, ","), ",") {
		n, ok := decimal.Parse(v)
		switch {
		case ok && (!named || n < least):
			least, named = min(n, maxLimit), true
		case !ok && len(values) > 0:
			a.logUnreadable(resp, who, a.relay.headers.Limit, v)
		}
	}
	return least, named
}

// logUnreadable counts a header that tells nothing: the answer is taken as one without it.
func (a *attempt) logUnreadable(resp *http.Response, who fleet.Incarnation, header, value string) {
	const most = 40
	a.relay.Metrics.Event("upstream_unreadable", header)
	a.log("upstream_unreadable", resp, who, "header", header, "value", value[:min(most, len(value))])
}

// log writes a line of what an answer told, to which request, and what the list said of the
// replica when it was chosen.
func (a *attempt) log(event string, resp *http.Response, who fleet.Incarnation, more ...any) {
	telemetry.Log(event, append([]any{
		"id", who.ID, "addr", a.to.Addr, "service", a.to.Service, "request", a.rq.id, "status", resp.StatusCode,
		"sent_ago", time.Since(a.startedAt), "listed_at", a.to.ListedAt,
	}, more...)...)
}
