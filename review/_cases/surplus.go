package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/poststand/poststand/platform/platformtest"
)

// refusal is a replica's answer to a request that it turns away.
func refusal(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: " + id + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
}

// surplusRefusal is what a faulty replica sends besides: the users' example "a server sheds", word for
// word but for its length. Without an ID it belongs to no request.
const surplusRefusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

const shedEvery = 4

// serveShedding answers requests of a plain service on a kept connection. It turns away one in
// shedEvery. With repeats, it sends surplusRefusal after each refusal, late: in the place where the next
// answer is expected.
func (r *replica) serveShedding(nc net.Conn, repeats bool) {
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	surplus := false
	for n := 0; ; n++ {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("X-Attempt-Id")
		if surplus {
			r.printf("%s sends a surplus refusal, without an ID", r.id)
			if _, err := io.WriteString(nc, surplusRefusal); err != nil {
				return
			}
			surplus = false
		}
		if n%shedEvery == shedEvery-1 {
			r.printf("%s turns %s away", r.id, id)
			if _, err := io.WriteString(nc, refusal(id)); err != nil {
				return
			}
			surplus = repeats
			continue
		}
		r.printf("%s runs %s", r.id, id)
		time.Sleep(plainWork)
		body := "answer to " + id
		if _, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Signature: sig.%s.%s\r\nContent-Length: %d\r\n\r\n%s", id, r.id, id, len(body), body); err != nil {
			return
		}
	}
}

// playSurplus: replicas that turn requests away send a refusal more than they should, late. Requests
// that may run once only follow on the same connections.
func playSurplus(w *world, trouble bool) ([]string, error) {
	s, err := w.newStreams()
	if err != nil {
		return nil, err
	}
	w.store.Put("op/config", platformtest.Config(2, platformtest.Route("unsafe", "/u/", "unsafe", "api", platformtest.Body{"attempts": 2, "timeout_ms": 1500, "slo_ms": 300, "priority": 2})))
	mode := modeSheds
	if trouble {
		mode = modeRepeats
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
	const callers, requests, pause = 4, 60, 100 * time.Millisecond
	var all sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]*answer{}
	for c := range callers {
		all.Go(func() {
			for n := range requests {
				id := fmt.Sprintf("u%d-%02d", c, n)
				a := w.send(s.relay.front, id, http.MethodPost, "/u/"+id)
				<-a.done
				mu.Lock()
				answers[id] = a
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	all.Wait()
	s.addReplicaLog()
	return s.checkRuns(answers), nil
}

// checkRuns returns the requests that were run more than once, or although their client was told that
// they were not.
func (s *streams) checkRuns(answers map[string]*answer) (found []string) {
	runs := map[string][]string{}
	for _, e := range s.replicaEvents() {
		var replica, id string
		if n, _ := fmt.Sscanf(e.text, "replica %s runs %s", &replica, &id); n == 2 {
			runs[id] = append(runs[id], replica)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(answers)) {
		if len(runs[id]) > 1 {
			found = append(found, fmt.Sprintf("TWICE: the unsafe request %s was run by %s", id, strings.Join(runs[id], " and by ")))
		}
		switch status := answers[id].status; status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if len(runs[id]) > 0 {
				found = append(found, fmt.Sprintf("REFUSED: the unsafe request %s was answered %d, and run by %s", id, status, strings.Join(runs[id], " and by ")))
			}
		}
	}
	return found
}
