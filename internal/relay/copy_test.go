package relay_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// copies are ways in which the store loses changes and what is lost is written again, from
// before readers ask to long after.
var copies = []struct{ lost, away, after int }{
	{lost: 1},
	{lost: 4, after: 1},
	{lost: 4, away: 2},
	{lost: 4, away: 4},
	{lost: 4, away: 9},
	{lost: 12, away: 1, after: 3},
	{lost: 12, away: 12, after: 1},
}

// playCopies plays a test before six gateways in three halls after each way.
func playCopies(t *testing.T, play func(w *world)) {
	for _, c := range copies {
		t.Run(fmt.Sprintf("lost %d, %d written while away, %d after", c.lost, c.away, c.after), func(t *testing.T) {
			run(t, 0, plain(3), func(_ *is.I, w *world) {
				w.startHalls()
				w.changes(c.lost)
				time.Sleep(time.Second) // All have heard of them.
				w.store.Refuse(http.StatusServiceUnavailable)
				w.store.RestoreFromBackup(c.lost)
				w.changes(c.away)
				time.Sleep(1500 * time.Millisecond)
				w.store.Refuse(0)
				time.Sleep(200 * time.Millisecond)
				w.changes(c.after)
				time.Sleep(800 * time.Millisecond)
				play(w)
			})
		})
	}
}

// startHalls starts six gateways in three halls.
func (w *world) startHalls() {
	w.halls = 3
	for i := range 6 {
		w.addGateway(i, w.storeOf(i))
	}
	time.Sleep(3 * time.Second)
}

// slowly has each answer of a store take its time.
func slowly(store http.Handler) http.Handler {
	const takes = 5 * time.Millisecond
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(takes)
		store.ServeHTTP(rw, r)
	})
}

// storeOf is the store as a gateway reaches it.
func (w *world) storeOf(gateway int) http.Handler {
	store := slowly(w.store)
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if only := w.only.Load(); only > 0 && only != int64(gateway+1) {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		store.ServeHTTP(rw, r)
	})
}

// changes has a replica write so many times.
func (w *world) changes(n int) {
	for range n {
		w.store.Put("servers/p2", w.replicas[2].Record("ready"))
	}
}

func TestConfigurationThatFollowsACopyIsInForce(t *testing.T) {
	playCopies(t, func(w *world) {
		w.store.Put("op/config", withoutSafe(2))
		time.Sleep(2 * time.Second)
		for i := range w.gateways {
			if got := w.ask(i, "GET", "/safe/", nil).status; got != http.StatusNotFound {
				w.t.Errorf("gateway %d: a route that was taken away is answered %d", i, got)
			}
		}
	})
}

func TestChangeAtARevisionGivenOutAgainIsHeard(t *testing.T) {
	const lost = 4
	for _, more := range []int{0, lost - 1, lost, 3 * lost} {
		t.Run(fmt.Sprint(more, " changes follow"), func(t *testing.T) {
			run(t, 0, plain(3), func(_ *is.I, w *world) {
				w.startHalls()
				w.changes(lost)
				time.Sleep(time.Second)
				w.store.Refuse(http.StatusServiceUnavailable)
				w.store.RestoreFromBackup(lost)
				w.store.Put("op/config", withoutSafe(2))
				w.changes(more)
				time.Sleep(time.Second)
				w.store.Refuse(0)
				time.Sleep(2 * time.Second)
				for i := range w.gateways {
					if got := w.ask(i, "GET", "/safe/", nil).status; got != http.StatusNotFound {
						w.t.Errorf("gateway %d: a route that was taken away is answered %d", i, got)
					}
				}
			})
		})
	}
}

func TestReplicaThatLeavesAfterACopyIsLeftAlone(t *testing.T) {
	const each = 8 // Requests at each gateway.
	playCopies(t, func(w *world) {
		leaving := w.replicas[0]
		w.store.Put("servers/p0", leaving.Record("draining"))
		time.Sleep(2 * time.Second)
		before := leaving.RequestCount()
		for i := range w.gateways {
			for range each {
				w.ask(i, "GET", "/safe/", nil)
			}
		}
		if n := leaving.RequestCount() - before; n > 0 {
			w.t.Errorf("%d requests reach a replica that said 2 s ago that it leaves", n)
		}
	})
}

// Without an era nobody can tell that what a read brings is newer.
func TestReadersOfACopyThatNamesNoEraPauseBetweenReads(t *testing.T) {
	run(t, 0, plain(3), func(_ *is.I, w *world) {
		const lasts, each = 5, 12 // Seconds, and calls a second of a hall.
		w.store.OmitEra.Store(true)
		w.startHalls()
		w.drill(func() { w.changes(6) })
		time.Sleep(2 * time.Second)
		calls := w.store.Calls()
		time.Sleep(lasts * time.Second)
		if calls = w.store.Calls() - calls; calls > lasts*each*w.halls {
			w.t.Errorf("%d calls in %d s in which nothing changes", calls, lasts)
		}
	})
}

func TestReadersOfACopyPauseBetweenReads(t *testing.T) {
	playCopies(t, func(w *world) {
		const lasts, each = 5, 12 // Seconds, and calls a second of a hall.
		calls, pages := w.store.Calls(), w.store.PageReads()
		time.Sleep(lasts * time.Second)
		calls, pages = w.store.Calls()-calls, w.store.PageReads()-pages
		if calls > lasts*each*w.halls || pages > 0 {
			w.t.Errorf("%d calls, of them %d pages of all records, in %d s in which nothing changes", calls, pages, lasts)
		}
	})
}
