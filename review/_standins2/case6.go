package main

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poststand/poststand/platform/platformtest"
)

func init() { cases["6"] = surplusRefusals }

// Figures of case 6.
const (
	extraClients   = 24
	faultyReplicas = 3
	extraFor       = 40 * time.Second
	extraShare     = "0.03" // Of the answers of three of five replicas.
)

// surplusRefusals lets three of five replicas send more than an answer now and then, late, while clients send
// requests that may not be repeated.
func surplusRefusals(w *world) (bool, error) {
	w.store.Put("op/config", platformtest.Config(1, platformtest.Route("feed", "/feed/", "unsafe", "api", platformtest.Body{
		"timeout_ms": answerIn.Milliseconds(), "attempts": 1,
	})))
	for i, id := range []string{"i-a", "i-b", "i-c", "i-d", "i-e"} {
		args := []string{"--framed"}
		if w.trouble && i < faultyReplicas {
			args = append(args, "--extra", extraShare)
		}
		if _, err := startListed(w, id, args...); err != nil {
			return false, err
		}
	}
	relays, err := w.startRelays(2)
	if err != nil {
		return false, err
	}
	var whole, other atomic.Int64
	var mu sync.Mutex
	refused := map[string]bool{}
	stop := make(chan struct{})
	var sending sync.WaitGroup
	for i := range extraClients {
		sending.Go(func() {
			c := newClient()
			for {
				select {
				case <-stop:
					return
				default:
				}
				r := send(c, relays[i%len(relays)].front, "/feed/x", []byte("a request"), answerIn)
				w.note("%s answered %d, error %v", r.id, r.status, r.err)
				if r.status == http.StatusOK && r.err == nil {
					whole.Add(1)
					continue
				}
				other.Add(1)
				if r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests {
					mu.Lock()
					refused[r.id] = true
					mu.Unlock()
				}
				time.Sleep(max(r.retryIn, 20*time.Millisecond))
			}
		})
	}
	time.Sleep(extraFor)
	close(stop)
	sending.Wait()
	runs := map[string]int{}
	surplus, twice, ran := 0, 0, 0
	for _, line := range w.logs("run ", "surplus ") {
		w.note("log %s", line)
		switch f := strings.Fields(line); f[1] {
		case "run":
			runs[f[2]]++
		case "surplus":
			surplus++
		}
	}
	for id, n := range runs {
		if n > 1 {
			twice++
			w.note("BROKEN: %s ran %d times", id, n)
		}
		if refused[id] {
			ran++
			w.note("BROKEN: %s ran and was refused", id)
		}
	}
	w.note("whole answers: %d, other ends: %d, surplus answers: %d, run twice: %d, run and refused: %d", whole.Load(), other.Load(), surplus, twice, ran)
	return twice+ran > 0, nil
}
