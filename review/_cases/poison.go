package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poststand/poststand/platform/platformtest"
)

const (
	poisonPath    = "/u/poison"
	poisonSends   = 24
	poisonEvery   = 1500 * time.Millisecond
	replicaAway   = 3 * time.Second
	contact       = 3 * time.Second // contact_ms.
	allowedAfter  = 3               // Retries that may reach replicas later than contact_ms after the third crash.
	plainWork     = 20 * time.Millisecond
	soundCallers  = 16 // At each relay: so many that connections to the replicas are mostly reused.
	soundThinking = 25 * time.Millisecond
)

// servePlain answers requests of a plain service on a kept connection. With deadly, a request for
// poisonPath crashes the process as it begins to run.
func (r *replica) servePlain(nc net.Conn, deadly bool) {
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("X-Attempt-Id")
		if want := req.Header.Get("X-Expect-Replica"); want != "" && want != r.id {
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nX-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n", id, r.id)
			continue
		}
		if req.URL.Path == poisonPath {
			r.printf("%s begins to run the poison, as %s", r.id, id)
			if deadly {
				if v, err := time.ParseDuration(os.Getenv("POISON_AFTER")); err == nil {
					time.Sleep(v)
				}
				r.printf("%s crashes", r.id)
				os.Exit(1)
			}
		}
		time.Sleep(plainWork)
		body := "answer to " + id
		if _, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Signature: sig.%s.%s\r\nContent-Length: %d\r\n\r\n%s", id, r.id, id, len(body), body); err != nil {
			return
		}
	}
}

// soundCaller sends sound requests, each another one, on a kept connection until stop is closed.
func (w *world) soundCaller(front, name string, stop <-chan struct{}, served, failed *atomic.Int64) {
	var nc net.Conn
	var br *bufio.Reader
	for n := 0; ; n++ {
		select {
		case <-stop:
			if nc != nil {
				_ = nc.Close()
			}
			return
		case <-time.After(soundThinking):
		}
		if nc == nil {
			var err error
			if nc, err = net.Dial("tcp", front); err != nil {
				nc = nil
				continue
			}
			br = bufio.NewReader(nc)
		}
		id := fmt.Sprintf("%s-%d", name, n)
		_, _ = fmt.Fprintf(nc, "POST /u/%s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer k\r\nContent-Length: %d\r\n\r\n%s", id, id, len(id), id)
		resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodPost})
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			served.Add(1)
			continue
		}
		failed.Add(1)
		if err != nil {
			w.note("client has no whole answer to %s: %v", id, err)
		} else {
			w.note("client has %s: status %d", id, resp.StatusCode)
		}
		if err != nil || resp.Close {
			_ = nc.Close()
			nc = nil
		}
	}
}

// playPoison: a request crashes each replica of a plain service that begins to run it. It comes again
// and again, at both relays, among sound requests.
func playPoison(w *world, trouble bool) ([]string, error) {
	s, err := w.newStreams()
	if err != nil {
		return nil, err
	}
	w.store.Put("op/config", platformtest.Config(2, platformtest.Route("unsafe", "/u/", "unsafe", "api", platformtest.Body{"attempts": 1, "timeout_ms": 1500, "slo_ms": 300, "priority": 2})))
	second, err := w.startRelay("edge-2", "z2")
	if err != nil {
		return nil, err
	}
	mode := modePlain
	if trouble {
		mode = modeDeadly
	}
	ids := []string{"i-1", "i-2", "i-3"}
	for _, id := range ids {
		if err := s.startReplica(id, "z1", mode); err != nil {
			return nil, err
		}
	}
	if err := s.awaitListed(ids...); err != nil {
		return nil, err
	}
	time.Sleep(time.Second) // The second relay has the list as well.
	stop := make(chan struct{})
	var callers, minders sync.WaitGroup
	var served, failed atomic.Int64
	fronts := []string{s.relay.front, second.front}
	for i, front := range fronts {
		for c := range soundCallers {
			callers.Go(func() { w.soundCaller(front, fmt.Sprintf("sound-%d-%d", i, c), stop, &served, &failed) })
		}
	}
	for _, id := range ids { // A replica that has crashed is back after some seconds.
		minders.Go(func() { s.mind(id, mode, stop) })
	}
	time.Sleep(time.Second)
	for n := range poisonSends {
		a := w.send(fronts[n%len(fronts)], fmt.Sprintf("poison-%d", n), http.MethodPost, poisonPath)
		time.Sleep(poisonEvery)
		select {
		case <-a.done:
		case <-time.After(10 * time.Second):
			return nil, cannot("the client got no end of its answer")
		}
	}
	close(stop)
	callers.Wait()
	minders.Wait()
	w.note("sound requests: %d served, %d not", served.Load(), failed.Load())
	s.addReplicaLog()
	return s.checkPoison(), nil
}

// mind starts a replica again replicaAway after it has ended.
func (s *streams) mind(id, mode string, stop <-chan struct{}) {
	for {
		s.mu.Lock()
		p := s.replicas[id]
		s.mu.Unlock()
		select {
		case <-stop:
			return
		case <-p.done:
		}
		select {
		case <-stop:
			return
		case <-time.After(replicaAway):
		}
		if err := s.startReplica(id, "z1", mode); err != nil {
			s.note("replica %s did not come back: %v", id, err)
			return
		}
	}
}

// checkPoison counts how often the poison reached replicas later than contact_ms after its third crash.
func (s *streams) checkPoison() []string {
	crashes, late := 0, 0
	var third time.Time
	for _, e := range s.replicaEvents() {
		switch {
		case strings.HasSuffix(e.text, " crashes"):
			crashes++
			if crashes == 3 {
				third = e.at
			}
		case strings.Contains(e.text, "the poison") && !third.IsZero() && e.at.Sub(third) > contact:
			late++
		}
	}
	s.note("the poison crashed replicas %d times; later than %s after the third it reached replicas %d times", crashes, contact, late)
	if late <= allowedAfter {
		return nil
	}
	return []string{fmt.Sprintf("BUDGET: a request that crashes the replicas that run it reached replicas %d times, more than %d, later than contact_ms after it had crashed the third", late, allowedAfter)}
}
