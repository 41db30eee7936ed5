package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/poststand/poststand/platform/platformtest"
)

// recovery is recovery_s.
const recovery = 12 * time.Second

// playForeign: entries of another writer, in a state that the pages don't name, have the addresses of
// the replicas. Right after the store has taken them all processes are killed and start again.
func playForeign(w *world, trouble bool) ([]string, error) {
	s, err := w.newStreams()
	if err != nil {
		return nil, err
	}
	ids := []string{"i-1", "i-2"}
	for _, id := range ids {
		if err := s.startReplica(id, "z1", modeWhole); err != nil {
			return nil, err
		}
	}
	if err := s.awaitListed(ids...); err != nil {
		return nil, err
	}
	const requests = 8
	before := s.countServed("before", requests)
	if trouble {
		for _, id := range ids {
			s.store.Put("servers/old-"+id, platformtest.Body{"service": "llm", "addr": s.addrs[id], "zone": "z1", "slots": 16, "state": "retired", "seq": 9, "models": []platformtest.Body{{"name": "m", "version": 1}}})
		}
		w.note("the store has taken entries of another writer, in the state retired, with the addresses of the replicas")
		s.relay.kill()
		w.note("the relay is killed, and starts again")
		if s.relay, err = w.startRelay("edge-1", "z1"); err != nil {
			return nil, err
		}
	}
	time.Sleep(recovery)
	after := s.countServed("after", requests)
	w.note("served before: %d of %d; from recovery_s after: %d of %d", before, requests, after, requests)
	if 4*before >= requests && 4*after < requests {
		return []string{fmt.Sprintf("RECOVER: %d of %d requests were served before the final fault, and %d of %d of those sent later than recovery_s after the machines were back", before, requests, after, requests)}, nil
	}
	return nil, nil
}

// countServed sends requests one after the other and returns how many were served.
func (s *streams) countServed(name string, n int) (served int) {
	for i := range n {
		id := fmt.Sprintf("%s-%d", name, i)
		a := s.send(s.relay.front, id, http.MethodPost, "/s/"+id)
		<-a.done
		if a.status == http.StatusOK && a.whole {
			served++
		}
		time.Sleep(soundThinking)
	}
	return served
}
