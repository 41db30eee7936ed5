package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/poststand/poststand/platform/platformtest"
)

// world is one small deployment on loopback: the platform's store, relays, replicas, and a record of
// what happens.
type world struct {
	trouble bool
	store   *platformtest.Store
	storeAt string
	dir     string // Temporary.
	began   time.Time

	mu      sync.Mutex
	record  *os.File
	started []*exec.Cmd
	closers []func()
}

func newWorld(record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: os.Getenv("TROUBLE") != "0", store: &platformtest.Store{}, dir: dir, began: time.Now(), record: f}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAt = ln.Addr().String()
	srv := &http.Server{Handler: w.store}
	go func() { _ = srv.Serve(ln) }()
	w.closers = append(w.closers, func() { _ = srv.Close() })
	w.note("trouble=%v", w.trouble)
	return w, nil
}

// note writes a line to the record, with the time since the start.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that were started.
func (w *world) close() {
	for _, c := range w.started {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
		_ = c.Wait()
	}
	for _, f := range w.closers {
		f()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// start starts a process; it is ended with the world at the latest.
func (w *world) start(name string, env []string, program string, args ...string) (*exec.Cmd, error) {
	out, err := os.Create(filepath.Join(w.dir, name+fmt.Sprintf("-%d.log", len(w.started))))
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	c := exec.Command(program, args...)
	c.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.started = append(w.started, c)
	w.mu.Unlock()
	w.note("started %s, process %d", name, c.Process.Pid)
	return c, nil
}

// freeAddr returns a loopback address with a port that is free now, and is not one that the kernel gives to
// outgoing connections.
func freeAddr() (string, error) {
	const first, ports, tries = 10000, 20000, 100
	var err error
	for range tries {
		var ln net.Listener
		if ln, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(ports))); err == nil {
			defer func() { _ = ln.Close() }()
			return ln.Addr().String(), nil
		}
	}
	return "", err
}

// relay is one relay with its settings.
type relay struct {
	name           string
	front, control string
	ready, admin   string
	settings       string
	cmd            *exec.Cmd
}

// bounds of a small deployment, as the users' page on it lists them.
var bounds = map[string]any{
	"grace_s": 8, "drain_ms": 2000, "config_apply_ms": 2000, "version_ms": 8000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 102,
}

// startRelays starts n relays with the command and the template of the deploy file, and waits until all
// are ready.
func (w *world) startRelays(n int) ([]*relay, error) {
	rs := make([]*relay, n)
	var seeds []string
	for i := range rs {
		r := &relay{name: fmt.Sprintf("relay-%d", i+1)}
		for _, a := range []*string{&r.front, &r.control, &r.ready, &r.admin} {
			var err error
			if *a, err = freeAddr(); err != nil {
				return nil, err
			}
		}
		rs[i] = r
		seeds = append(seeds, r.control)
	}
	for _, r := range rs {
		if err := w.writeSettings(r, seeds); err != nil {
			return nil, err
		}
		if err := w.startRelay(r); err != nil {
			return nil, err
		}
	}
	for _, r := range rs {
		if err := w.await(r.name+" is ready", 10*time.Second, func() bool { return isReady(r.ready) }); err != nil {
			return nil, err
		}
	}
	return rs, nil
}

func (w *world) startRelay(r *relay) (err error) {
	r.cmd, err = w.start(r.name, []string{"POSTSTAND_CONFIG=" + r.settings}, "target/poststand", "relay")
	return err
}

var gap = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// writeSettings fills the template of the deploy file. Ports are free ones: all machines share one
// address here.
func (w *world) writeSettings(r *relay, seeds []string) error {
	text, err := os.ReadFile("deploy/gateway.yaml")
	if err != nil {
		return err
	}
	_, adminPort, _ := net.SplitHostPort(r.admin)
	fields := map[string]any{
		"node_name": r.name, "zone": "hall-a", "listen.control": r.control, "listen.front": r.front, "listen.ready": r.ready,
		"port_range.0": adminPort, "ip": "127.0.0.1", "zones": map[string]string{"hall-a": "region-a"}, "platform.addr": w.storeAt, "seeds": seeds,
	}
	for k, v := range bounds {
		fields["bounds."+k] = v
	}
	out, err := fill(string(text), fields)
	if err != nil {
		return err
	}
	r.settings = filepath.Join(w.dir, r.name+".yaml")
	const mode = 0o600
	return os.WriteFile(r.settings, []byte(out), mode)
}

// fill fills a template.
func fill(text string, fields map[string]any) (out string, missing error) {
	out = gap.ReplaceAllStringFunc(text, func(s string) string {
		m := gap.FindStringSubmatch(s)
		v, ok := fields[m[1]]
		if !ok {
			missing = fmt.Errorf("the template has a field that this stand-in does not know: %s", m[1])
		}
		if m[2] != "" {
			b, _ := json.Marshal(v)
			return string(b)
		}
		return fmt.Sprint(v)
	})
	return out, missing
}

func isReady(addr string) bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + addr + "/-/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// await waits until a condition holds.
func (w *world) await(what string, within time.Duration, holds func() bool) error {
	const interval = 20 * time.Millisecond
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(interval) {
		if holds() {
			return nil
		}
	}
	return errors.New("not in time: " + what)
}

// logs returns the lines of the processes' output that have one of the given words.
func (w *world) logs(words ...string) (out []string) {
	files, _ := filepath.Glob(filepath.Join(w.dir, "*.log"))
	for _, f := range files {
		b, _ := os.ReadFile(f)
		for _, line := range strings.Split(string(b), "\n") {
			for _, word := range words {
				if strings.Contains(line, word) {
					out = append(out, filepath.Base(f)+": "+line)
					break
				}
			}
		}
	}
	return out
}
