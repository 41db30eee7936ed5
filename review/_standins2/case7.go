package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poststand/poststand/platform/platformtest"
)

func init() { cases["7"] = largeBodies }

// Figures of case 7.
const (
	memoryMB  = 284     // Of an edge machine of the small deployments.
	bodyBytes = 4194304 // max_body_bytes of these.
	perSecond = 10      // Requests at each relay.
	slowRate  = 1 << 20 // Bytes of a body that a slow replica reads in a second.
	uploadIn  = 6 * time.Second
	playFor   = 25 * time.Second
	// allowedCloses is how often a machine may close a kept connection whose request it has handed on.
	allowedCloses = 3
	restartAfter  = 500 * time.Millisecond
)

// largeBodies lets clients send bodies as long as the configuration allows, while the replicas read
// slowly. The platform kills a process that exceeds the memory of its machine, and starts it again.
func largeBodies(w *world) (bool, error) {
	config := platformtest.Config(1, platformtest.Route("upload", "/upload/", "unsafe", "api", platformtest.Body{
		"timeout_ms": uploadIn.Milliseconds(), "attempts": 1,
	}))
	config["limits"].(platformtest.Body)["max_body_bytes"] = bodyBytes
	w.store.Put("op/config", config)
	for i := range 3 {
		id := fmt.Sprintf("i-%d", i)
		addr, err := freeAddr()
		if err != nil {
			return false, err
		}
		args := []string{"replica", "--addr", addr, "--id", id, "--framed"}
		if w.trouble {
			args = append(args, "--read-rate", strconv.Itoa(slowRate))
		}
		self, err := os.Executable()
		if err != nil {
			return false, err
		}
		if _, err := w.start("replica-"+id, nil, self, args...); err != nil {
			return false, err
		}
		w.store.Put("servers/"+id, platformtest.Body{
			"service": "api", "addr": addr, "zone": "hall-a", "version": "1", "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 1,
			"born": time.Now().UnixMilli(),
		})
	}
	relays, err := w.startRelays(2)
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	killed := make([]atomic.Int64, len(relays))
	highest := make([]atomic.Int64, len(relays))
	for i, r := range relays {
		all.Go(func() { w.enforceMemory(r, &killed[i], &highest[i], stop) })
	}
	body := []byte(strings.Repeat("0123456789abcdef", bodyBytes/16))
	var served, refused, lost atomic.Int64
	var kept []string // Uploads that ended without an answer, on connections that had served a request.
	var mu sync.Mutex
	upload := func(c *http.Client, front string) {
		before := send(c, front, "/upload/x", []byte("a small request"), uploadIn)
		r := send(c, front, "/upload/x", body, uploadIn)
		if r.err != nil && before.status == http.StatusOK && !errors.Is(r.err, context.DeadlineExceeded) {
			mu.Lock()
			kept = append(kept, r.id)
			mu.Unlock()
		}
		switch {
		case r.err != nil:
			lost.Add(1)
			w.note("%s ended without an answer: %v", r.id, r.err)
		case r.status == http.StatusOK:
			served.Add(1)
			w.note("%s answered %d", r.id, r.status)
		default:
			refused.Add(1)
			w.note("%s answered %d", r.id, r.status)
		}
	}
	for _, r := range relays {
		all.Go(func() {
			t := time.NewTicker(time.Second / perSecond)
			defer t.Stop()
			for {
				select {
				case <-t.C:
					all.Go(func() {
						c := newClient()
						defer c.CloseIdleConnections()
						upload(c, r.front)
					})
				case <-stop:
					return
				}
			}
		})
	}
	time.Sleep(playFor)
	close(stop)
	all.Wait()
	for i, r := range relays {
		w.note("%s: highest memory %d MB of %d, ended %d times by itself", r.name, highest[i].Load(), memoryMB, killed[i].Load())
	}
	arrived := map[string]bool{}
	for _, line := range w.logs("arrives ", "run ") {
		w.note("log %s", line)
		if f := strings.Fields(line); f[1] == "arrives" {
			arrived[f[2]] = true
		}
	}
	handedOn := 0
	for _, id := range kept {
		if arrived[id] {
			handedOn++
			w.note("BROKEN: %s was handed on to a replica, and its kept connection was closed without an answer", id)
		}
	}
	w.note("served: %d, other answers: %d, no answer: %d; handed on and closed: %d", served.Load(), refused.Load(), lost.Load(), handedOn)
	return handedOn > allowedCloses, nil
}

// enforceMemory kills a relay that exceeds the memory of its machine, and starts it again.
func (w *world) enforceMemory(r *relay, killed, highest *atomic.Int64, stop <-chan struct{}) {
	const interval = 50 * time.Millisecond
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		mb := residentMB(r.cmd.Process.Pid)
		highest.Store(max(highest.Load(), mb))
		if mb <= memoryMB {
			continue
		}
		_ = r.cmd.Process.Kill()
		_ = r.cmd.Wait()
		killed.Add(1)
		w.note("%s held %d MB of %d and was killed", r.name, mb, memoryMB)
		time.Sleep(restartAfter)
		if err := w.startRelay(r); err != nil {
			w.note("%s not started: %v", r.name, err)
			return
		}
	}
}

// residentMB returns the resident memory of a process in MiB; 0 if it is not known.
func residentMB(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.ParseInt(f[1], 10, 64)
			return kb >> 10
		}
	}
	return 0
}
