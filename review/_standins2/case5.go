package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poststand/poststand/platform/platformtest"
)

func init() { cases["5"] = endedStream }

// Times of case 5.
const (
	streamIn       = 6 * time.Second // The route's timeout and the clients' deadline.
	streamRounds   = 8
	streamClients  = 30
	streamCalm     = 2 * time.Second
	streamCrash    = 200 * time.Millisecond // After the cut.
	streamBack     = 500 * time.Millisecond // After the crash.
	streamHeal     = 80 * time.Millisecond  // After the restart.
	streamListed   = 300 * time.Millisecond // After the cut has healed: the store lies beyond it as well.
	linkRoundTrip  = 2800 * time.Microsecond
	streamSettling = 300 * time.Millisecond
)

// order returns how a complete answer of a stream breaks ORDER; nil if it does not.
func (r *result) order() error {
	if r.status != http.StatusOK || r.err != nil {
		return nil
	}
	var want strings.Builder
	for n := 1; n <= events; n++ {
		want.WriteString(event(r.id, n))
	}
	if r.body == want.String() {
		return nil
	}
	return fmt.Errorf("a complete answer with %d of %d events (%d of %d bytes)", strings.Count(r.body, "\n\n"), events, len(r.body), want.Len())
}

// endedStream cuts off a replica for less than a second, whose process crashes behind the cut and starts
// again, while clients get streams that may be resumed. The streams end with their connections.
func endedStream(w *world) (bool, error) {
	w.store.Put("op/config", platformtest.Config(1, platformtest.Route("notes", "/notes/", "stream", "api", platformtest.Body{
		"timeout_ms": streamIn.Milliseconds(), "attempts": 2,
	})))
	var replicas []*listed
	for _, id := range []string{"i-a0", "i-b0", "i-c0", "i-d0", "i-e0"} {
		l, err := startListed(w, id, "--stream")
		if err != nil {
			return false, err
		}
		l.link.roundTrip = linkRoundTrip
		replicas = append(replicas, l)
	}
	relays, err := w.startRelays(2)
	if err != nil {
		return false, err
	}
	var whole, other atomic.Int64
	var mu sync.Mutex
	var ids []string // Of complete answers that lack events.
	stop := make(chan struct{})
	var sending sync.WaitGroup
	for i := range streamClients {
		sending.Go(func() {
			c := newClient()
			for {
				select {
				case <-stop:
					return
				default:
				}
				r := send(c, relays[i%len(relays)].front, "/notes/x", []byte("a request"), streamIn)
				switch err := r.order(); {
				case err != nil:
					mu.Lock()
					ids = append(ids, r.id)
					mu.Unlock()
					w.note("BROKEN: %s answered %d, signature %s: %v", r.id, r.status, r.signature, err)
				case r.status == http.StatusOK && r.err == nil:
					whole.Add(1)
					w.note("%s answered %d, whole", r.id, r.status)
				default:
					other.Add(1)
					w.note("%s answered %d, error %v", r.id, r.status, r.err)
					time.Sleep(max(r.retryIn, streamSettling))
				}
			}
		})
	}
	for n := range streamRounds {
		time.Sleep(streamCalm)
		if !w.trouble {
			time.Sleep(streamCrash + streamBack + streamHeal + streamListed)
			continue
		}
		a := replicas[n%len(replicas)]
		a.link.cut()
		w.note("replica %s is cut off", a.id)
		time.Sleep(streamCrash)
		a.crash(false)
		time.Sleep(streamBack)
		if err := a.begin(a.id); err != nil {
			return false, err
		}
		time.Sleep(streamHeal)
		a.link.heal()
		w.note("the cut has healed")
		time.Sleep(streamListed)
		a.list()
	}
	time.Sleep(streamCalm)
	close(stop)
	sending.Wait()
	w.note("whole answers: %d, other ends: %d, complete answers that lack events: %d", whole.Load(), other.Load(), len(ids))
	for _, line := range w.logs(append(ids, "run ", "whole ")...) {
		w.note("log %s", line)
	}
	return len(ids) > 0, nil
}
