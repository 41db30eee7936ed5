package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/poststand/poststand/platform/platformtest"
)

// playExpired: a version is superseded, and its only replica is slow: it begins a request that was sent
// in time only after the time for the version has passed. It is one of the few that don't drop a
// request when its connection closes.
func playExpired(w *world, trouble bool) ([]string, error) {
	s, err := w.newStreams()
	if err != nil {
		return nil, err
	}
	mode := modeWhole
	if trouble {
		mode = modeLazy
	}
	if err := s.startReplica("i-1", "z1", mode); err != nil {
		return nil, err
	}
	w.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 1})
	if err := s.awaitListed("i-1"); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	w.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 2})
	named := time.Now()
	w.note("version 2 is named")
	time.Sleep(3900 * time.Millisecond)
	a := w.sendTokens(s.relay.front, "v00", "POST", "/s/v00", "200,4000")
	<-a.done
	time.Sleep(6 * time.Second)
	s.addReplicaLog()
	var found []string
	for _, e := range s.replicaEvents() {
		if strings.Contains(e.text, " runs ") && e.at.Sub(named) > 8*time.Second {
			found = append(found, fmt.Sprintf("VERSION: %s, on version 1, %.1f s after version 2 was named", e.text, e.at.Sub(named).Seconds()))
		}
	}
	return found, nil
}
