package limit

import (
	"sync"
	"time"
)

// RetryLimit is one gateway's part of the limit on retries of a service, which applies to all
// gateways together. It may differ from call to call.
type RetryLimit struct {
	Window time.Duration // Length of the time spans in which retries are limited.
	Ratio  float64       // Retries allowed for each request.
	Slack  float64       // Retries allowed beyond Ratio.
	// BoundsUnconfirmed reports whether retries that no other gateway has confirmed to know of are
	// limited, so that the next process of the box can tell how many there may have been.
	BoundsUnconfirmed bool
}

// Fractions of a limit that are used. Together they are less than 1, because callers' requests are
// counted where they arrive.
const (
	// knownShare is used by a process that knows all retries of its box in the window.
	knownShare = 0.8
	// unknownShare is earned by a process that does not: in proportion to its own requests and its
	// age. Processes of a box that start within a window earn no more than this together, and
	// beside them only one process may have used knownShare in that window.
	unknownShare = 0.15
)

const (
	// WindowSteps is the number of steps that a window is divided into. A step counts in full while
	// any part of it is within the window, so the limit holds for every span.
	WindowSteps = 20
	// unconfirmedShare is the fraction of the allowed retries that may be unconfirmed, and
	// minUnconfirmed the least number of them.
	unconfirmedShare = 0.125
	minUnconfirmed   = 3
)

// RetryWindow limits the retries of one gateway to a service in every time span of a given length.
// The zero value knows of no requests and retries, and that there were none before.
type RetryWindow struct {
	// KnownSince is the time since when all retries of this box are known; zero if all are. It is
	// set before first use, and later by Inherit.
	KnownSince time.Time

	mu        sync.Mutex
	window    time.Duration // As in the last call.
	own       retrySteps
	inherited retrySteps // Of earlier processes of the box.
	retries   int        // Of this process, ever.
	confirmed int        // How many of these other gateways know of.
	denied    deniedRanks
}

// RetryUsage is how much of a limit on retries is used.
type RetryUsage struct {
	Requests int     // Requests in the window, of earlier processes too.
	Retries  int     // Retries in the window, of earlier processes too.
	Allowed  float64 // Retries that the limit allows in the window.
	Known    bool    // Whether all retries of the box in the window are known.
}

// RecordRequest counts a request. The window is that of the limit.
func (w *RetryWindow) RecordRequest(now time.Time, window time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now, window)
	w.own.add(now, window, 1, 0)
}

// TrySpend counts one retry if the limit allows it, and reports whether it does. While a more urgent
// rank has recently been denied one, the last allowed retry is reserved for it.
func (w *RetryWindow) TrySpend(now time.Time, l RetryLimit, rank int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now, l.Window)
	rank = max(0, min(NumRanks-1, rank))
	needed := 1.0
	if w.denied.moreUrgent(now, rank) {
		needed++
	}
	u := w.usage(now, l)
	if float64(u.Retries)+needed > u.Allowed || l.BoundsUnconfirmed && w.retries-w.confirmed >= maxUnconfirmed(u.Allowed) {
		w.denied[rank] = now
		return false
	}
	w.own.add(now, l.Window, 0, 1)
	w.retries++
	return true
}

// Usage returns how much of the limit is used.
func (w *RetryWindow) Usage(now time.Time, l RetryLimit) RetryUsage {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now, l.Window)
	return w.usage(now, l)
}

// usage implements Usage. The caller holds w.mu.
func (w *RetryWindow) usage(now time.Time, l RetryLimit) RetryUsage {
	var u RetryUsage
	for _, steps := range []retrySteps{w.own, w.inherited} {
		for _, s := range steps {
			u.Requests += s.Requests
			u.Retries += s.Retries
		}
	}
	byRatio := l.Ratio * float64(u.Requests)
	knownFor := now.Sub(w.KnownSince)
	if u.Known = w.KnownSince.IsZero() || knownFor >= l.Window+stepLength(l.Window); u.Known {
		u.Allowed = knownShare * (byRatio + l.Slack)
		return u
	}
	age := min(1, max(0, float64(knownFor))/float64(max(1, l.Window)))
	u.Allowed = unknownShare * (byRatio + l.Slack*age)
	return u
}

// advance drops what no span counts any more. If the window has grown, retries that were dropped
// before are unknown. The caller holds w.mu.
func (w *RetryWindow) advance(now time.Time, window time.Duration) {
	if forgotten := now.Add(-w.window); w.window > 0 && window > w.window && forgotten.After(w.KnownSince) {
		w.KnownSince = forgotten
	}
	w.window = window
	w.own.advance(now, window)
	w.inherited.advance(now, window)
}

// maxUnconfirmed returns how many retries may be unconfirmed.
func maxUnconfirmed(allowed float64) int {
	return max(minUnconfirmed, int(unconfirmedShare*allowed))
}

// RetryHistory is what a gateway knows of the requests and retries of its box to one service.
type RetryHistory struct {
	KnownSince time.Time   // See RetryWindow; not reported for each service.
	Steps      []RetryStep // The oldest first.
	// Unconfirmed is how many retries the gateway may make beyond those in Steps before it reports
	// again.
	Unconfirmed int
}

// RetryStep is the number of requests and retries in a short time span.
type RetryStep struct {
	From, Until time.Time
	Requests    int
	Retries     int
}

// History returns what is known of the window, and the number of retries that this process has
// made, for Confirm.
func (w *RetryWindow) History(now time.Time, l RetryLimit) (h RetryHistory, retries int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now, l.Window)
	h.KnownSince = w.KnownSince
	h.Steps = append(append(h.Steps, w.inherited...), w.own...)
	h.Unconfirmed = maxUnconfirmed(w.usage(now, l).Allowed)
	return h, w.retries
}

// Confirm records that another gateway knows of the first retries of this process, as many as
// History returned.
func (w *RetryWindow) Confirm(retries int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.confirmed = max(w.confirmed, retries)
}

// Inherit replaces what is known of earlier processes of the box: all of their retries since
// knownSince.
func (w *RetryWindow) Inherit(steps []RetryStep, knownSince time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inherited, w.KnownSince = append(retrySteps(nil), steps...), knownSince
}

// retrySteps are consecutive steps, the oldest first.
type retrySteps []RetryStep

func stepLength(window time.Duration) time.Duration { return window / WindowSteps }

// add counts requests and retries at now.
func (s *retrySteps) add(now time.Time, window time.Duration, requests, retries int) {
	n := len(*s)
	if n == 0 || !now.Before((*s)[n-1].Until) {
		*s = append(*s, RetryStep{From: now, Until: now.Add(max(1, stepLength(window)))})
		n++
	}
	(*s)[n-1].Requests += requests
	(*s)[n-1].Retries += retries
}

// advance drops steps that no span of the window's length that ends at now or later includes.
func (s *retrySteps) advance(now time.Time, window time.Duration) {
	dropped := 0
	for dropped < len(*s) && now.Sub((*s)[dropped].Until) >= window {
		dropped++
	}
	*s = append((*s)[:0], (*s)[dropped:]...)
}
