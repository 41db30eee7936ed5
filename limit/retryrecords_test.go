package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var retryLimit = RetryLimit{Window: 10 * time.Second, Ratio: 0.2, Slack: 10}

// boxRetries is one box in a simulation: its process, and the record that others hold.
type boxRetries struct {
	window    RetryWindow
	startedAt time.Time
	held      RetryRecords
	seq       int
}

// report has the others hold what the process knows.
func (b *boxRetries) report(now time.Time, final bool) {
	h, n := b.window.History(now, retryLimit)
	b.seq++
	b.held.Store(now, "box", RetryRecord{
		Process: uint64(b.startedAt.UnixNano()), Seq: b.seq, HeardAt: now, KnownSince: b.window.KnownSince, Final: final,
		Services: map[string]RetryHistory{"s": h},
	})
	b.window.Confirm(n)
}

// restart begins a new process, which takes over what the others hold, or nothing if forgotten.
func (b *boxRetries) restart(now time.Time, forgotten bool) {
	if forgotten {
		b.held = RetryRecords{}
	}
	b.window, b.startedAt = RetryWindow{KnownSince: now}, now
	if r, ok := b.held.Take(now, now, "box"); ok {
		b.window.Inherit(r.Services["s"].Steps, r.KnownSince)
	}
}

// However often a box is restarted, as planned or not, and whether others have kept its record or not,
// its retries in any window stay within its part of the limit.
func TestRestartsKeepTheRetryLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = 60 * time.Second
		l := retryLimit
		l.BoundsUnconfirmed = true
		start := epoch.Add(20 * time.Second)
		rate := rapid.SampledFrom([]float64{0.5, 5, 50}).Draw(t, "requests a second")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		restartsPerSecond := rapid.SampledFrom([]float64{0, 0.1, 1}).Draw(t, "restarts a second")
		b := &boxRetries{startedAt: epoch}
		var requests, retries []time.Time
		reportAt := epoch
		for now := epoch; now.Sub(epoch) < length; {
			now = now.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
			requests = append(requests, now)
			b.window.RecordRequest(now, l.Window)
			for now.After(start) && rng.Float64() < 0.7 && b.window.TrySpend(now, l, 0) {
				retries = append(retries, now)
			}
			if !now.Before(reportAt) {
				b.report(now, false)
				reportAt = now.Add(time.Duration(rng.Float64() * float64(time.Second)))
			}
			if rng.Float64() < restartsPerSecond/rate {
				if rng.Float64() < 0.3 {
					b.report(now, true)
				}
				now = now.Add(time.Duration(rng.Float64() * 4 * float64(time.Second)))
				b.restart(now, rng.Float64() < 0.3)
			}
		}
		in := func(ts []time.Time, from, until time.Time) (n float64) {
			for _, at := range ts {
				if !at.Before(from) && at.Before(until) {
					n++
				}
			}
			return n
		}
		for _, end := range retries {
			end = end.Add(1)
			from := end.Add(-l.Window)
			allowed := 0.0 // Requests of the window, of the one before and of the one between count.
			for _, earlier := range []time.Duration{0, l.Window / 2, l.Window} {
				allowed = max(allowed, l.Slack+l.Ratio*in(requests, from.Add(-earlier), end.Add(-earlier)))
			}
			if n := in(retries, from, end); n > allowed {
				t.Fatalf("%v retries in a window, allowed %.1f", n, allowed)
			}
		}
	})
}

// A process that knows its past grants the whole share at once; one that doesn't earns its share by
// requests and age, and has the whole one after a window.
func TestRetriesAllowedByWhatIsKnown(t *testing.T) {
	const requests = 100
	for _, tc := range []struct {
		name     string
		known    time.Duration // How long the past is known; negative for all of it.
		requests int
		allowed  float64
	}{
		{"all", -1, requests, 0.8 * (0.2*requests + 10)},
		{"a window and a step", 10500 * time.Millisecond, requests, 0.8 * (0.2*requests + 10)},
		{"just less", 10499 * time.Millisecond, requests, 0.15 * (0.2*requests + 10)},
		{"half a window", 5 * time.Second, requests, 0.15 * (0.2*requests + 5)},
		{"nothing", 0, requests, 0.15 * 0.2 * requests},
		{"nothing, no requests", 0, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			w := &RetryWindow{}
			if tc.known >= 0 {
				w.KnownSince = epoch.Add(-tc.known)
			}
			for range tc.requests {
				w.RecordRequest(epoch, retryLimit.Window)
			}
			u := w.Usage(epoch, retryLimit)
			is.Equal(fmt.Sprintf("%.6f", u.Allowed), fmt.Sprintf("%.6f", tc.allowed))
			granted := 0
			for w.TrySpend(epoch, retryLimit, 0) {
				granted++
			}
			is.Equal(granted, int(tc.allowed+1e-9))
		})
	}
}

// A planned stop hands over exactly; after a kill, what may not have been reported counts as spent.
// A record that is too old says nothing, and one of a process that has been read includes that the next
// one may end as well before it reports.
func TestRecordOfAnEndedProcess(t *testing.T) {
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	history := RetryHistory{Steps: []RetryStep{{From: at(0), Until: at(500), Requests: 50, Retries: 7}}, Unconfirmed: 3}
	count := func(r RetryRecord) (n int) {
		for _, s := range r.Services["s"].Steps {
			n += s.Retries
		}
		return n
	}
	for _, tc := range []struct {
		name      string
		final     bool
		startedAt int // Milliseconds after the report.
		found     bool
		retries   int
		again     int // What a further process is told that starts a second later.
	}{
		{"planned", true, 200, true, 7, 10},
		{"planned, long ago", true, 60000, true, 7, 10},
		{"killed", false, 500, true, 10, 13},
		{"killed, at the last moment", false, 3000, true, 10, 13},
		{"killed, too long ago", false, 3001, false, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var rs RetryRecords
			rs.Store(at(0), "g", RetryRecord{Process: 1, Seq: 1, HeardAt: at(0), Final: tc.final, Services: map[string]RetryHistory{"s": history}})
			now := at(tc.startedAt)
			r, ok := rs.Take(now, now, "g")
			is.Equal(ok, tc.found)
			is.Equal(count(r), tc.retries)
			now = now.Add(time.Second)
			r, ok = rs.Take(now, now, "g")
			is.Equal(ok, tc.found)
			is.Equal(count(r), tc.again)
			_, ok = rs.Take(now, now, "other")
			is.True(!ok)
		})
	}
}

// A report that was delayed must not replace a later one of the same process.
func TestDelayedReportIsNotNewer(t *testing.T) {
	is := is.New(t)
	var rs RetryRecords
	store := func(process uint64, seq, heardAt, retries int) {
		rs.Store(epoch, "g", RetryRecord{Process: process, Seq: seq, HeardAt: epoch.Add(time.Duration(heardAt)), Services: map[string]RetryHistory{
			"s": {Steps: []RetryStep{{From: epoch, Until: epoch, Retries: retries}}},
		}})
	}
	retries := func() int { return rs.All(epoch)["g"].Services["s"].Steps[0].Retries }
	store(1, 2, 5, 9)
	store(1, 1, 8, 4) // Delayed.
	is.Equal(retries(), 9)
	store(1, 3, 7, 11)
	is.Equal(retries(), 11)
	store(2, 1, 9, 1) // Of the next process.
	is.Equal(retries(), 1)
}

// While a more urgent rank was recently denied a retry, the last one that is allowed is reserved for it.
func TestUrgentRequestsHaveTheRetries(t *testing.T) {
	is := is.New(t)
	w := &RetryWindow{}
	l := RetryLimit{Window: 10 * time.Second, Ratio: 0.05} // A retry for each 25 requests.
	got := map[int]int{}
	for i := range 3000 {
		now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		w.RecordRequest(now, l.Window)
		if rank := []int{7, 7, 1}[i%3]; w.TrySpend(now, l, rank) {
			got[rank]++
		}
	}
	is.True(got[1] >= 90) // Of some 120 in 30 s.
	is.True(got[1] >= 5*got[7])
}

// Retries that nobody has confirmed are limited to what the next process counts as spent, and no
// longer once others are not reached.
func TestUnconfirmedRetriesAreLimited(t *testing.T) {
	is := is.New(t)
	w := &RetryWindow{}
	l := RetryLimit{Window: 10 * time.Second, Slack: 100, BoundsUnconfirmed: true}
	spend := func() (n int) {
		for w.TrySpend(epoch, l, 0) {
			n++
		}
		return n
	}
	h, made := w.History(epoch, l)
	is.Equal(made, 0)
	is.Equal(spend(), h.Unconfirmed) // An eighth of 80.
	is.Equal(h.Unconfirmed, 10)
	_, made = w.History(epoch, l)
	w.Confirm(made)
	is.Equal(spend(), 10)
	l.BoundsUnconfirmed = false
	is.Equal(spend(), 60)
}

// If the window is made longer, retries that were dropped before are unknown.
func TestLongerWindowIsNotKnown(t *testing.T) {
	is := is.New(t)
	w := &RetryWindow{}
	l := RetryLimit{Window: 10 * time.Second, Slack: 100}
	for w.TrySpend(epoch, l, 0) {
	}
	now := epoch.Add(11 * time.Second)
	is.Equal(w.Usage(now, l).Retries, 0)
	l.Window = 20 * time.Second
	u := w.Usage(now, l)
	is.True(!u.Known)
	h, _ := w.History(now, l)
	is.Equal(h.KnownSince, epoch.Add(time.Second)) // The next process must not take it for known.
	is.True(u.Allowed <= 0.15*l.Slack)
	is.True(w.Usage(epoch.Add(22*time.Second), l).Known)
	l.Window = 5 * time.Second
	is.True(w.Usage(epoch.Add(23*time.Second), l).Known)
}
