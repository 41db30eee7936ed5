package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

// A naming that a copy lacks counts from when it was made, whether it is made again or not, at
// those that knew of it and at one that starts meanwhile.
func TestNamingThatACopyLacksKeepsItsTime(t *testing.T) {
	const early, overdue = 5 * time.Second, 8200 * time.Millisecond
	name := func(w *world) {
		w.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 2})
	}
	cases := []struct {
		name  string
		after func(w *world)
	}{
		{"not made again", func(*world) {}},
		{"made again soon", name},
		{"made again late", func(w *world) { time.AfterFunc(4*time.Second, func() { name(w) }) }},
		{"a newer one is made", func(w *world) {
			time.AfterFunc(time.Second, func() { w.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 3}) })
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			check := is.New(t)
			var before, after []int
			among(t, engines(2, 2), func(w *world) {
				var named time.Time
				w.drill(func() {
					named = time.Now()
					name(w)
				})
				c.after(w)
				time.Sleep(time.Second)
				w.addGateway(6, w.storeOf(6))
				for i := range w.gateways {
					w.tellVersion(i, 1)
				}
				ask := func() (out []int) {
					for i := range w.gateways {
						out = append(out, w.ask(i, "POST", "/s/", nil).status)
					}
					return out
				}
				time.Sleep(time.Until(named.Add(early)))
				before = ask()
				time.Sleep(time.Until(named.Add(overdue)))
				after = ask()
			})
			for i := range before {
				check.Equal(before[i], http.StatusOK)
				check.Equal(after[i], http.StatusServiceUnavailable)
			}
		})
	}
}
