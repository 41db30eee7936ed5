package relay_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

// A replica that turned all away and asked each gateway for 3 s of rest got ten requests of
// one gateway in that time. Four of 20 did so for 9 s, and got 497 requests, three times as
// many as those that worked: a refusal left one alone for 0.1 s, whatever it had asked for,
// and one that runs nothing looks idle, so that it is predicted to answer first. Callers were
// served late, or refused once the bound on repeats was spent.
func TestReplicaThatAsksForRestGetsIt(t *testing.T) {
	rs, got := engines(4, 3), map[int]int{}
	run(t, 2, rs, func(_ *is.I, w *world) {
		rs[0].Shed("3")
		got = w.callers("/s/", 40*time.Millisecond, 6*time.Second)
	})
	check := is.New(t)
	check.Equal(unheard(rs), nil)
	check.Equal(got, map[int]int{200: 150})
}

// retryAfter is when a refused caller is told to come back, in seconds.
func (r *reply) retryAfter(t *testing.T) float64 {
	t.Helper()
	s, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	if err != nil {
		t.Errorf("Retry-After: %v", err)
	}
	return s
}

// For how long a replica that turned a request away is left alone, by what it asked for.
func TestValuesOfRest(t *testing.T) {
	const forever = 1e6
	for value, want := range map[string]float64{
		"3": 3, "0.3": 0.3, "2.5": 2.5, "120": 120, "1e1": 10, "99999999999": forever, "1e999": forever,
		"": 0, "0": 0, "soon": 0, "-3": 0, "NaN": 0, "Inf": 0, "Fri, 31 Dec 1999 23:59:59 GMT": 0,
	} {
		t.Run(value, func(t *testing.T) {
			rs := plain(1)
			rs[0].Handle = func(n int, x *platformtest.Exchange) bool {
				if n == 0 {
					x.Reject(value)
				}
				return n == 0
			}
			check := is.New(t)
			run(t, 1, rs, func(_ *is.I, w *world) {
				first := w.ask(0, "GET", "/safe/", nil)
				if want == 0 {
					time.Sleep(200 * time.Millisecond)
					if w.refusedAtOnce("/safe/") {
						t.Error("it asked for nothing, and is left alone")
					}
					return
				}
				if got := first.retryAfter(t); got < want || got > want+2 && want < forever {
					t.Errorf("the caller is told to come back in %v s, of %v", got, want)
				}
				time.Sleep(time.Duration(min(want, 1000)*float64(time.Second)) - 10*time.Millisecond)
				if !w.refusedAtOnce("/safe/") {
					t.Error("it was not left alone for as long as it asked for")
				}
				if want >= forever {
					return
				}
				time.Sleep(20 * time.Millisecond)
				if got := w.ask(0, "GET", "/safe/", nil).status; got != http.StatusOK {
					t.Errorf("%d after the rest", got)
				}
			})
			check.Equal(len(rs[0].Violations()), 0)
		})
	}
}

// While all replicas of a service rest, callers are refused at once, and told truly when the
// first of them takes requests again: those that come then are served.
func TestAllOfAServiceRest(t *testing.T) {
	rs, first, second := plain(2), reply{}, reply{}
	rests := []string{"3", "5"}
	for i, r := range rs {
		r.Handle = func(n int, x *platformtest.Exchange) bool {
			if n == 0 {
				x.Reject(rests[i])
			}
			return n == 0
		}
	}
	refused, back := false, 0.0
	run(t, 1, rs, func(_ *is.I, w *world) {
		first = w.ask(0, "GET", "/safe/", nil) // Both turn it away.
		back = first.retryAfter(t)
		time.Sleep(time.Second)
		refused = w.refusedAtOnce("/safe/")
		time.Sleep(time.Duration((back - 1) * float64(time.Second)))
		second = w.ask(0, "GET", "/safe/", nil)
	})
	check := is.New(t)
	check.Equal(first.status, http.StatusServiceUnavailable)
	check.True(back >= 3 && back <= 4.5)
	check.True(refused)
	check.Equal(second.status, http.StatusOK)
	check.Equal(second.body, "answer of p0")
	check.Equal(unheard(rs), nil)
}

// Many callers come at the moment when a rest ends: one is sent, and the replica has no more
// at once than it works on until it has answered.
func TestNoRushWhenARestEnds(t *testing.T) {
	const callers = 50
	rs := plain(1)
	var mu sync.Mutex
	var came []time.Time
	rs[0].Handle = func(n int, x *platformtest.Exchange) bool {
		if n == 0 {
			x.Reject("2")
			return true
		}
		mu.Lock()
		came = append(came, time.Now())
		mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		return false
	}
	statuses := map[int]int{}
	run(t, 1, rs, func(_ *is.I, w *world) {
		w.ask(0, "GET", "/safe/", nil)
		time.Sleep(2 * time.Second)
		replies := make(chan reply)
		for range callers {
			go func() { replies <- w.ask(0, "GET", "/safe/", nil) }()
		}
		for range callers {
			got := <-replies
			statuses[got.status]++
			if got.status == http.StatusServiceUnavailable && got.retryAfter(t) > 1 {
				t.Errorf("told to come back in %v s", got.retryAfter(t))
			}
		}
		time.Sleep(time.Second)
		statuses[w.ask(0, "GET", "/safe/", nil).status]++
	})
	check := is.New(t)
	check.Equal(statuses, map[int]int{http.StatusOK: 2, http.StatusServiceUnavailable: callers - 1})
	check.Equal(len(came), 2)
}
