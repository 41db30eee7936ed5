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

// retryAfter is the header that says for how many seconds who answers wants nothing more.
const retryAfter = "Retry-After"

// hear takes note of what an answer says of its replica: that it leaves, for how long it wants
// rest, and how much it takes. It counts at once, for an answer of any kind, from its head on.
// The list may tell of it much later, or never, while the platform is away, and requests would
// go on to a replica that has said what it wants.
func (a *attempt) hear(resp *http.Response) {
	who := a.speaker(resp)
	a.hearLeaving(resp, who)
	a.hearRest(resp, who)
	a.hearLimit(resp, who)
}

// speaker returns the replica that an answer is of. Where another one has the address now, that
// one has turned the request away and said so.
func (a *attempt) speaker(resp *http.Response) fleet.Life {
	id := resp.Header.Get(a.relay.dialect.Incarnation)
	if id == "" || id == a.to.ID {
		return a.to.Life
	}
	return fleet.Life{ID: id}
}

// leaves is the value that says that a replica leaves, and stays the one that does not.
const (
	leaves = "1"
	stays  = "0"
)

func (a *attempt) hearLeaving(resp *http.Response, who fleet.Life) {
	for _, v := range resp.Header.Values(a.relay.dialect.Leaving) {
		switch strings.TrimSpace(v) {
		case leaves:
			if a.relay.table.Leaves(who, time.Now()) {
				a.relay.Metrics.Event("upstream_leaves", "")
				a.log("upstream_leaves", resp, who)
			}
		case stays, "":
		default:
			a.unreadable(resp, who, a.relay.dialect.Leaving, v)
		}
	}
}

// hearRest takes note of the rest that a replica asks for as it turns a request away.
func (a *attempt) hearRest(resp *http.Response, who fleet.Life) {
	if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
		return
	}
	for _, v := range resp.Header.Values(retryAfter) {
		rest, ok := times.Seconds(v)
		switch {
		case !ok:
			a.unreadable(resp, who, retryAfter, v)
		case rest > 0:
			now := time.Now()
			a.relay.table.Rests(who, now, now.Add(rest))
			a.relay.Metrics.Event("upstream_rests", "")
			a.log("upstream_rests", resp, who, "for", rest)
		}
	}
}

// mostLimit is what a limit that is named higher counts as, in requests a second.
const mostLimit = 1e6

// hearLimit takes note of how many requests the replica takes from all gateways together. An
// answer without the word ends that, if its signature shows that it is of this replica.
func (a *attempt) hearLimit(resp *http.Response, who fleet.Life) {
	l := route.Limit{Asked: a.began, Heard: time.Now()}
	if id := resp.Header.Get(a.relay.dialect.RequestID); id != "" && id != a.rq.id {
		l.Asked = time.Time{} // It answers a request of any time before.
	}
	values := resp.Header.Values(a.relay.dialect.Limit)
	l.PerSecond, l.Named = a.leastOf(resp, who, values)
	if !l.Named && (len(values) > 0 || resp.Header.Get(a.relay.dialect.Signature) == "") {
		return
	}
	before, after := a.relay.table.Limits(who, l.Heard, l)
	if !before.Same(after) {
		k := a.relay.limiterOf(who.ID)
		a.relay.Metrics.Event("upstream_limit", "")
		a.log("upstream_limit", resp, who, "limit", after, "before", before, "limiter", k.addr, "gateways", k.live, "known", k.known)
		a.relay.tellLimitTwice(who)
	}
}

// leastOf returns the lowest of the limits that an answer names, and whether there is one
// that can be read.
func (a *attempt) leastOf(resp *http.Response, who fleet.Life, values []string) (least float64, named bool) {
	for _, v := range strings.Split(strings.Join(values, ","), ",") {
		n, ok := decimal.Parse(v)
		switch {
		case ok && (!named || n < least):
			least, named = min(n, mostLimit), true
		case !ok && len(values) > 0:
			a.unreadable(resp, who, a.relay.dialect.Limit, v)
		}
	}
	return least, named
}

// unreadable counts a header that tells nothing: the answer is taken as one without it.
func (a *attempt) unreadable(resp *http.Response, who fleet.Life, header, value string) {
	const most = 40
	a.relay.Metrics.Event("upstream_unreadable", header)
	a.log("upstream_unreadable", resp, who, "header", header, "value", value[:min(most, len(value))])
}

// log writes a line of what an answer told, to which request, and what the list said of the
// replica when it was chosen.
func (a *attempt) log(event string, resp *http.Response, who fleet.Life, more ...any) {
	telemetry.Log(event, append([]any{
		"id", who.ID, "addr", a.to.Addr, "service", a.to.Service, "request", a.rq.id, "status", resp.StatusCode,
		"sent_ago", time.Since(a.began), "listed_at", a.to.ListedAt,
	}, more...)...)
}
