package relay

import (
	"maps"
	"sync"
	"time"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/times"
	"github.com/poststand/poststand/limit"
)

// retryBudgets holds the retries of this gateway's box by service. Call start before use.
type retryBudgets struct {
	spent chan struct{} // Receives a value after a retry was made.

	mu      sync.Mutex
	windows map[string]*limit.RetryWindow // Keyed by service; bounded by the configuration.
	// knownSince is when the first process of the box started of which all retries are known, or zero if
	// all are known.
	knownSince time.Time
	// unconfirmedUntil is until when retries that other gateways have not confirmed are limited.
	unconfirmedUntil time.Time
	inheritedFrom    limit.RetryRecord // What is known of earlier processes.
	seq              int               // Of the last report.
	handedOver       bool              // The last report was sent: no more retries may be made.
	gatewaysTold     int               // The most gateways that others had heard of when this process started.
	// answered holds the gateways that said what they know of earlier processes. A report replaces
	// that, so others get none until askingUntil.
	answered    map[string]bool
	askingUntil time.Time
}

// start begins the retries of a process. On the first start of the system there was none before.
func (b *retryBudgets) start(now time.Time, first bool) {
	b.spent, b.windows, b.answered = make(chan struct{}, 1), map[string]*limit.RetryWindow{}, map[string]bool{}
	b.unconfirmedUntil = now.Add(limit.UnconfirmedFor)
	if !first {
		b.knownSince, b.askingUntil = now, now.Add(takeOverFor)
	}
}

// recordAnswer records that a gateway has said what it knows of earlier processes, and how many
// gateways it has heard of.
func (b *retryBudgets) recordAnswer(addr string, gateways int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answered[addr] = true
	b.gatewaysTold = max(b.gatewaysTold, gateways)
}

// toldGateways returns how many gateways others had heard of when this process started.
func (b *retryBudgets) toldGateways() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.gatewaysTold
}

// mayReport reports whether a gateway may get a report.
func (b *retryBudgets) mayReport(now time.Time, addr string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.answered[addr] || !now.Before(b.askingUntil)
}

// window returns the retries to a service.
func (b *retryBudgets) window(service string) *limit.RetryWindow {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.windowLocked(service)
}

func (b *retryBudgets) windowLocked(service string) *limit.RetryWindow {
	w, ok := b.windows[service]
	if !ok {
		w = &limit.RetryWindow{KnownSince: b.knownSince}
		b.windows[service] = w
	}
	return w
}

// all returns the retries by service.
func (b *retryBudgets) all() map[string]*limit.RetryWindow {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.windows)
}

// signalSpent has the retries reported.
func (b *retryBudgets) signalSpent() {
	select {
	case b.spent <- struct{}{}:
	default:
	}
}

// boundsUnconfirmed reports whether unconfirmed retries are limited.
func (b *retryBudgets) boundsUnconfirmed(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.unconfirmedUntil)
}

// confirm records that other gateways have received a report that was sent at sentAt, with the given
// numbers of retries by service.
func (b *retryBudgets) confirm(sentAt time.Time, retries map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unconfirmedUntil = sentAt.Add(limit.UnconfirmedFor)
	for service, n := range retries {
		b.windowLocked(service).Confirm(n)
	}
}

// inherit counts the retries of earlier processes of the box, if the record is newer than what is
// known of them. It reports whether it did.
func (b *retryBudgets) inherit(r limit.RetryRecord) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.knownSince.IsZero() || !r.Newer(&b.inheritedFrom) {
		return false
	}
	b.inheritedFrom, b.knownSince = r, r.KnownSince
	for service := range r.Services {
		b.windowLocked(service)
	}
	for service, w := range b.windows {
		w.Inherit(r.Services[service].Steps, r.KnownSince)
	}
	return true
}

// inherited reports whether the retries of earlier processes are known, or there were none.
func (b *retryBudgets) inherited() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.inheritedFrom.HeardAt.IsZero() || b.knownSince.IsZero()
}

// handOver ends all retries.
func (b *retryBudgets) handOver() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handedOver = true
}

func (b *retryBudgets) ended() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.handedOver
}

// report returns what is known of the retries of this box, and the number of retries of this process
// by service.
func (b *retryBudgets) report(now time.Time, l limit.RetryLimit) (limit.RetryRecord, map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	r := limit.RetryRecord{Seq: b.seq, HeardAt: now, KnownSince: b.knownSince, Final: b.handedOver, Services: map[string]limit.RetryHistory{}}
	retries := map[string]int{}
	for service, w := range b.windows {
		h, n := w.History(now, l)
		r.KnownSince = times.Later(r.KnownSince, h.KnownSince)
		if len(h.Steps) > 0 {
			r.Services[service] = h
		}
		retries[service] = n
	}
	return r, retries
}

// retryLimit returns this gateway's part of the limit on retries of each service.
func (g *Relay) retryLimit(now time.Time) limit.RetryLimit {
	b := g.bounds.Load()
	return limit.RetryLimit{
		Window: b.RetryWindow, Ratio: b.RetryRatio, Slack: g.retrySlack(b.RetrySlack),
		BoundsUnconfirmed: g.retries.boundsUnconfirmed(now),
	}
}

// retrySlack returns this gateway's part of the retries that are allowed beyond the ratio. A gateway
// with few known peers may be cut off, so it takes a third at most.
func (g *Relay) retrySlack(slack int) float64 {
	const minPeers = 3
	return float64(slack) / float64(max(minPeers, g.retryGateways()))
}

// retryGateways returns how many gateways may make retries. Those that have been silent for a while may
// be cut off, and a process that has just started knows of them from others.
func (g *Relay) retryGateways() int {
	n := g.gossip.RecentCount()
	if time.Since(g.startedAt) < peers.RememberFor {
		n = max(n, g.retries.toldGateways())
	}
	return n
}

// recordRequest counts a request for the limit on retries.
func (g *Relay) recordRequest(rq *request) {
	g.retries.window(rq.service).RecordRequest(rq.arrivedAt, g.bounds.Load().RetryWindow)
}

// spendRetry counts a retry of a request that has reached replicas before, and reports whether it is
// within the limit. When there are few, first retries go before further ones, which are refused again
// more often.
func (g *Relay) spendRetry(now time.Time, rq *request, arrivals int) bool {
	if g.retries.ended() || !g.retries.window(rq.service).TrySpend(now, g.retryLimit(now), rq.rank+arrivals-1) {
		return false
	}
	g.retries.signalSpent()
	return true
}
