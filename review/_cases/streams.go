package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/poststand/poststand/platform/platformtest"
)

// streams is a deployment with a relay and replicas of a model that answer with resumable streams.
type streams struct {
	*world
	relay    *relay
	log      string // What the replicas have written.
	replicas map[string]*proc
	addrs    map[string]string
	self     string
}

func (w *world) newStreams() (*streams, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	s := &streams{world: w, log: filepath.Join(w.dir, "replicas.txt"), replicas: map[string]*proc{}, addrs: map[string]string{}, self: self}
	w.store.Put("op/config", platformtest.Config(1, platformtest.Route("stream", "/s/", "stream", "llm", nil)))
	s.relay, err = w.startRelay("edge-1", "z1")
	return s, err
}

// startReplica starts a replica, or starts it again at its address, and lists it.
func (s *streams) startReplica(id, zone, mode string) error {
	s.mu.Lock()
	addr := s.addrs[id]
	s.mu.Unlock()
	if addr == "" {
		var err error
		if addr, err = freeAddr(); err != nil {
			return err
		}
	}
	p, err := s.start("replica-"+id, nil, s.self, "replica", "--addr", addr, "--id", id, "--mode", mode, "--log", s.log)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.replicas[id], s.addrs[id] = p, addr
	s.mu.Unlock()
	err = s.await(5*time.Second, id+" to listen", func() bool {
		nc, err := net.Dial("tcp", addr)
		if err == nil {
			_ = nc.Close()
		}
		return err == nil
	})
	if err != nil {
		return err
	}
	s.store.Put("servers/"+id, entry(addr, zone, mode, time.Now()))
	return nil
}

// awaitListed waits until the relay knows the replicas.
func (s *streams) awaitListed(ids ...string) error {
	for _, id := range ids {
		if err := s.await(5*time.Second, "the relay to know "+id, func() bool { return s.relay.logHas(`"upstream" id="` + id + `"`) }); err != nil {
			return err
		}
	}
	return nil
}

// replicaEvent is a line that a replica has written.
type replicaEvent struct {
	at   time.Time
	text string
}

func (s *streams) replicaEvents() (out []replicaEvent) {
	b, _ := os.ReadFile(s.log)
	for _, line := range strings.Split(strings.TrimSpace(string(b)), "\n") {
		at, text, _ := strings.Cut(line, " ")
		if us, err := strconv.ParseInt(at, 10, 64); err == nil {
			out = append(out, replicaEvent{time.UnixMicro(us), text})
		}
	}
	return out
}

// addReplicaLog adds what the replicas have written to the record, in its place by time.
func (s *streams) addReplicaLog() {
	for _, e := range s.replicaEvents() {
		s.noteAt(e.at, e.text)
	}
}

// checkStream returns how an answer breaks the rules on answers and streams. A stream that ended as
// complete has every event once and in order, and nothing besides; a success has the signature.
func checkStream(id string, a *answer) (found []string) {
	if a.status/100 != 2 {
		return nil
	}
	if a.header.Get("X-Replica-Signature") == "" {
		found = append(found, fmt.Sprintf("MIXED: the client of %s received a success (%d) lacking X-Replica-Signature", id, a.status))
	}
	if !a.whole {
		return found // It is seen to be cut.
	}
	ids, rest := a.events()
	for i, got := range ids {
		if got != i+1 {
			return append(found, fmt.Sprintf("ORDER: the stream %s has event %d in place of %d", id, got, i+1))
		}
	}
	if len(ids) < events {
		found = append(found, fmt.Sprintf("ORDER: the stream %s ends as complete before its last piece: %d of %d events, then %q", id, len(ids), events, rest))
	}
	return found
}

// playUnsigned: one of two replicas sends bytes that are no answer, a 200 without the protocol's
// headers.
func playUnsigned(w *world, trouble bool) ([]string, error) {
	return w.playFaulty(modeUnsigned, trouble)
}

// playInside: one of two replicas stops streams partway through an event. Their chunks end as usual.
func playInside(w *world, trouble bool) ([]string, error) { return w.playFaulty(modeInside, trouble) }

// playFaulty sends requests to a relay with a sound replica and one that is faulty in some way.
func (w *world) playFaulty(mode string, trouble bool) ([]string, error) {
	s, err := w.newStreams()
	if err != nil {
		return nil, err
	}
	if err := s.startReplica("i-1", "z1", modeWhole); err != nil {
		return nil, err
	}
	if !trouble {
		mode = modeWhole
	}
	if err := s.startReplica("i-2", "z1", mode); err != nil {
		return nil, err
	}
	if err := s.awaitListed("i-1", "i-2"); err != nil {
		return nil, err
	}
	const requests = 12
	return s.askAll(requests), nil
}

// askAll sends requests one after the other and returns what breaks the rules.
func (s *streams) askAll(n int) (found []string) {
	for i := range n {
		id := fmt.Sprintf("a%02d", i)
		a := s.send(s.relay.front, id, "POST", "/s/"+id)
		<-a.done
		found = append(found, checkStream(id, a)...)
	}
	s.addReplicaLog()
	return found
}

// playCrash: a replica crashes in the middle of a stream that has neither a length nor chunks, while
// the relay is frozen, and is back before the relay wakes.
func playCrash(w *world, trouble bool) ([]string, error) {
	const before, frozen = 5, 3 * time.Second
	s, err := w.newStreams()
	if err != nil {
		return nil, err
	}
	if err := s.startReplica("i-1", "z1", modeUnframed); err != nil {
		return nil, err
	}
	if err := s.awaitListed("i-1"); err != nil {
		return nil, err
	}
	const id = "a01"
	a := s.send(s.relay.front, id, "POST", "/s/"+id)
	if err := s.startReplica("i-2", "z2", modeWhole); err != nil {
		return nil, err
	}
	err = s.await(5*time.Second, "the first events", func() bool {
		ids, _ := a.events()
		return len(ids) >= before
	})
	if err != nil {
		return nil, err
	}
	if trouble {
		s.relay.signal(syscall.SIGSTOP)
		s.note("the relay freezes")
		time.Sleep(3 * interval)
		s.replicas["i-1"].kill()
		s.note("replica i-1 is killed")
		time.Sleep(frozen / 2)
		if err := s.startReplica("i-1", "z1", modeUnframed); err != nil {
			return nil, err
		}
		s.note("replica i-1 is back at its address")
		time.Sleep(frozen / 2)
		s.relay.signal(syscall.SIGCONT)
		s.note("the relay wakes")
	}
	<-a.done
	s.addReplicaLog()
	return checkStream(id, a), nil
}
