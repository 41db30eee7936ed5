package main

import (
	"net/http"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poststand/poststand/platform/platformtest"
)

func init() { cases["4"] = truncated }

// Times of case 4.
const (
	rounds      = 6
	clients     = 36
	answerIn    = 2 * time.Second        // The route's timeout and the clients' deadline, as those of tally-feed on izbori-live.
	calmFor     = 2 * time.Second        // Before a cut.
	crashAfter  = 20 * time.Millisecond  // After the cut; a request takes 30 to 90 ms.
	backAfter   = 600 * time.Millisecond // After the crash.
	healedAfter = 300 * time.Millisecond // After the restart.
)

// listed is one replica behind its link.
type listed struct {
	w    *world
	link *proxy
	addr string // Where its process listens.
	id   string
	args []string // Further arguments of its process.
	cmd  *exec.Cmd
	born int64 // Start of its process in Unix milliseconds.
}

func (l *listed) record() platformtest.Body {
	return platformtest.Body{
		"service": "api", "addr": l.link.addr(), "zone": "hall-a", "version": "1", "slots": 6, "state": "ready", "cold_left_ms": 0,
		"seq": 1, "born": l.born,
	}
}

// begin starts a process of the replica under an id.
func (l *listed) begin(id string) (err error) {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	l.id, l.born = id, time.Now().UnixMilli()
	if l.cmd, err = l.w.start("replica-"+id, nil, self, append([]string{"replica", "--addr", l.addr, "--id", id}, l.args...)...); err != nil {
		return err
	}
	return nil
}

// list writes the entry of the process that was begun last.
func (l *listed) list() {
	l.w.store.Put("servers/"+l.id, l.record())
	l.w.note("replica %s at %s is listed", l.id, l.link.addr())
}

// crash kills the process. If it starts again under another id, its entry goes after three heartbeats
// without a write.
func (l *listed) crash(renamed bool) {
	_ = l.cmd.Process.Kill()
	_ = l.cmd.Wait()
	l.w.note("replica %s crashed", l.id)
	if renamed {
		id := l.id
		const heartbeat = 1200 * time.Millisecond
		time.AfterFunc(3*heartbeat, func() { l.w.store.Delete("servers/" + id) })
	}
}

func startListed(w *world, id string, args ...string) (*listed, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	p, err := newProxy(addr)
	if err != nil {
		return nil, err
	}
	l := &listed{w: w, link: p, addr: addr, args: args}
	if err := l.begin(id); err != nil {
		return nil, err
	}
	l.list()
	return l, nil
}

// truncated cuts off a replica, whose process crashes behind the cut and starts again, while clients send
// requests that may not be repeated. Its answers end with their connections.
func truncated(w *world) (bool, error) {
	w.store.Put("op/config", platformtest.Config(1, platformtest.Route("feed", "/feed/", "unsafe", "api", platformtest.Body{
		"timeout_ms": answerIn.Milliseconds(), "attempts": 1,
	})))
	var replicas []*listed
	for _, id := range []string{"i-a0", "i-b0", "i-c0", "i-d0", "i-e0"} {
		l, err := startListed(w, id)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, l)
	}
	relays, err := w.startRelays(2)
	if err != nil {
		return false, err
	}
	var whole, other atomic.Int64
	var mu sync.Mutex
	var ids []string // Of successes that are not whole.
	stop := make(chan struct{})
	var sending sync.WaitGroup
	for i := range clients {
		sending.Go(func() {
			c := newClient()
			for {
				select {
				case <-stop:
					return
				default:
				}
				r := send(c, relays[i%len(relays)].front, "/feed/x", []byte("a request"), answerIn)
				switch err := r.mixed(); {
				case err != nil:
					mu.Lock()
					ids = append(ids, r.id)
					mu.Unlock()
					w.note("BROKEN: %s answered %d, signature %s: %v; its body ends with %q", r.id, r.status, r.signature, err, r.body[max(0, len(r.body)-30):])
				case r.status == http.StatusOK && r.err == nil:
					whole.Add(1)
					w.note("%s answered %d, whole", r.id, r.status)
				default:
					other.Add(1)
					w.note("%s answered %d, error %v", r.id, r.status, r.err)
					time.Sleep(max(r.retryIn, 20*time.Millisecond))
				}
			}
		})
	}
	for n := range rounds {
		time.Sleep(calmFor)
		if !w.trouble {
			time.Sleep(crashAfter + backAfter + healedAfter)
			continue
		}
		a := replicas[n%len(replicas)]
		a.link.cut()
		w.note("replica %s is cut off", a.id)
		time.Sleep(crashAfter)
		a.crash(true)
		time.Sleep(backAfter)
		if err := a.begin(a.id[:3] + string(rune('1'+n))); err != nil {
			return false, err
		}
		a.list()
		time.Sleep(healedAfter)
		a.link.heal()
		w.note("the cut has healed")
	}
	time.Sleep(calmFor)
	close(stop)
	sending.Wait()
	w.note("whole answers: %d, other ends: %d, successes that are not whole: %d", whole.Load(), other.Load(), len(ids))
	for _, line := range w.logs(append(ids, "run ", "whole ", "unframed_end")...) {
		w.note("log %s", line)
	}
	return len(ids) > 0, nil
}
